import unittest

from cinderway.entry.fleet._table_trust import (
    LEADER_GRACE_MS,
    TrustEvidence,
    can_trust_table,
)


def can_serve(evidence, revision=5, peers=4, waited_ms=LEADER_GRACE_MS):
    return can_trust_table(
        evidence, revision=revision, configured_peers=peers, waited_ms=waited_ms
    )


class TrustTest(unittest.TestCase):
    def test_leader_confirmed_by_a_quorum_suffices(self):
        evidence = TrustEvidence(is_confirmed_by_leader=True)
        self.assertTrue(can_serve(evidence, waited_ms=0))

    def test_entry_never_serves_with_an_older_revision_than_it_reported(self):
        evidence = TrustEvidence(is_confirmed_by_leader=True)
        evidence.record_own_revision(6)
        self.assertFalse(can_serve(evidence, revision=5))
        self.assertTrue(can_serve(evidence, revision=6))

    def test_two_serving_peers_suffice_while_control_is_unreachable(self):
        evidence = TrustEvidence()
        evidence.record_trusted_peer("a")
        self.assertFalse(can_serve(evidence))
        evidence.record_trusted_peer("b")
        self.assertTrue(can_serve(evidence))

    def test_peers_do_not_count_before_the_leaders_grace_period_ends(self):
        evidence = TrustEvidence(trusted_peers={"a", "b"})
        self.assertFalse(can_serve(evidence, waited_ms=LEADER_GRACE_MS - 1))

    def test_without_a_table_or_a_peer_it_stays_not_ready(self):
        self.assertFalse(
            can_serve(TrustEvidence(is_confirmed_by_leader=True), revision=0)
        )
        self.assertFalse(can_serve(TrustEvidence(), peers=0))
