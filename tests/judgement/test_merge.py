"""Merging of verdict sheets that arrive late, more than once or not at all."""

import unittest

from hypothesis import given, strategies as st

from cinderway.judgement import (
    Capacity,
    HeldSheet,
    ServerStanding,
    ServerVerdict,
    VerdictSheet,
    merge_sheets,
    permitted_ejections,
)

LEASE_MS = 2_000
SERVERS = [f"s{n}" for n in range(6)]
SLOTS = 3
FLOOR_SLOTS = 9


def verdict(
    server,
    standing=ServerStanding.EJECTED,
    halls=(),
    score=9.0,
    share=0.0,
    is_draining=False,
):
    return ServerVerdict(
        "lookup",
        server,
        standing,
        list(halls),
        LEASE_MS,
        score,
        share,
        0.0,
        "",
        False,
        is_draining,
    )


def held(assessor, verdicts, sent_at_ms=0):
    return HeldSheet(VerdictSheet(assessor, 0, 1, 1, [], list(verdicts)), sent_at_ms)


def ejected(sheets, now_ms=0, hall="suva"):
    agreed = merge_sheets(sheets, hall, 2, now_ms)
    return {server for (_, server), said in agreed.items() if said.is_ejected}


class MergeTest(unittest.TestCase):
    def test_one_assessor_alone_ejects_nothing(self):
        self.assertEqual(ejected([held("a", [verdict("s0")]), held("b", [])]), set())

    def test_two_of_three_assessors_eject(self):
        sheets = [held(name, [verdict("s0")]) for name in "ab"]
        self.assertEqual(ejected([*sheets, held("c", [])]), {"s0"})

    def test_ejection_ends_when_its_lease_expires(self):
        sheets = [held(name, [verdict("s0")], sent_at_ms=100) for name in "ab"]
        self.assertEqual(ejected(sheets, now_ms=100 + LEASE_MS - 1), {"s0"})
        self.assertEqual(ejected(sheets, now_ms=100 + LEASE_MS), set())

    def test_verdict_for_one_data_hall_holds_only_there(self):
        sheets = [held(name, [verdict("s0", halls=["nadi"])]) for name in "ab"]
        self.assertEqual(ejected(sheets, hall="suva"), set())
        self.assertEqual(ejected(sheets, hall="nadi"), {"s0"})

    def test_drain_signal_from_one_assessor_suffices(self):
        drained = verdict("s0", ServerStanding.HEALTHY, share=1.0, is_draining=True)
        agreed = merge_sheets([held("a", [drained])], "suva", 2, 0)["lookup", "s0"]
        self.assertTrue(agreed.is_draining)
        self.assertFalse(agreed.is_ejected)

    def test_server_on_trial_gets_the_share_that_a_quorum_asks_for(self):
        trial = verdict("s0", ServerStanding.TRIAL, share=0.1)
        agreed = merge_sheets([held("a", [trial]), held("b", [trial])], "suva", 2, 0)
        self.assertEqual(agreed["lookup", "s0"].share, 0.1)

    @given(st.data())
    def test_entries_with_different_sheets_do_not_go_below_the_floor_together(
        self, data
    ):
        """Guards against entries that together eject more than the floor permits.

        Each entry enforces the floor by itself. The servers that no entry uses are a
        subset of those that any single entry has ejected, so they keep the floor too.
        """
        sheets = [
            held(
                assessor,
                [
                    verdict(server, score=data.draw(st.floats(0, 30)))
                    for server in data.draw(st.sets(st.sampled_from(SERVERS)))
                ],
                data.draw(st.integers(0, 4_000)),
            )
            for assessor in "abcabc"
        ]
        unused = set(SERVERS)
        for _ in range(3):
            heard = data.draw(st.lists(st.sampled_from(sheets), max_size=5))
            out = ejected(heard, now_ms=data.draw(st.integers(0, 6_000)))
            leaving = data.draw(st.sets(st.sampled_from(SERVERS), max_size=2))
            capacities = [
                Capacity(s, SLOTS, s not in leaving, s in out, 1.0) for s in SERVERS
            ]
            gone = permitted_ejections(capacities, FLOOR_SLOTS)
            used = set(SERVERS) - gone - leaving
            self.assertGreaterEqual(len(used) * SLOTS, FLOOR_SLOTS)
            unused &= gone
        self.assertGreaterEqual((len(SERVERS) - len(unused)) * SLOTS, FLOOR_SLOTS)
