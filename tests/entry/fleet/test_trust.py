import unittest

from cinderway.entry.fleet._trust import LEADER_GRACE_MS, TrustEvidence, can_trust_table


def trusts(evidence, revision=5, peers=4, waited_ms=LEADER_GRACE_MS):
    return can_trust_table(
        evidence, revision=revision, configured_peers=peers, waited_ms=waited_ms
    )


class TrustTest(unittest.TestCase):
    def test_leader_confirmed_by_a_quorum_suffices(self):
        evidence = TrustEvidence(is_confirmed_by_leader=True)
        self.assertTrue(trusts(evidence, waited_ms=0))

    def test_entry_never_serves_by_less_than_it_had_in_force(self):
        evidence = TrustEvidence(is_confirmed_by_leader=True)
        evidence.record_own_revision(6)
        self.assertFalse(trusts(evidence, revision=5))
        self.assertTrue(trusts(evidence, revision=6))

    def test_two_serving_peers_suffice_while_control_is_away(self):
        evidence = TrustEvidence()
        evidence.record_trusted_peer("a")
        self.assertFalse(trusts(evidence))
        evidence.record_trusted_peer("b")
        self.assertTrue(trusts(evidence))

    def test_leader_is_given_its_time_first(self):
        evidence = TrustEvidence(trusted_peers={"a", "b"})
        self.assertFalse(trusts(evidence, waited_ms=LEADER_GRACE_MS - 1))

    def test_without_a_table_or_a_peer_it_stays_not_ready(self):
        self.assertFalse(trusts(TrustEvidence(is_confirmed_by_leader=True), revision=0))
        self.assertFalse(trusts(TrustEvidence(), peers=0))
