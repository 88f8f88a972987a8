"""Callers of entries that have lost their paths to servers are served nevertheless."""

import unittest
from unittest.mock import patch

from cinderway._ids import DataHall
from cinderway.catalog import RouteKind
from cinderway.experiment import Outcome, play
from cinderway.experiment._declaration import CutMode, Fault, FaultKind
from cinderway.judgement import FailureKind, Suspicions
from cinderway.reachability import Uplink

from ._declared import experiment, route, service

SUVA, NADI = DataHall("suva"), DataHall("nadi")
CUT_AT_MS = 2_000
CUT_FOR_MS = 7_000
# From then on, requests at the entries that are cut off count.
COUNTED_FROM_MS = CUT_AT_MS + 3_000
SERVED = (Outcome.IN_TIME, Outcome.LATE)
SERVED_RATIO = 2 / 3

# One of four entries of a hall, most of a hall, and a whole hall.
SHARES = (0.25, 0.75, 1.0)


def declare_cut(mode, share):
    """Run-once requests on connections of their own and on kept ones, and reads.

    About a third of the slots are in use.
    """
    cut = Fault(
        kind=FaultKind.CUT_OFF_ENTRIES,
        at_ms=CUT_AT_MS,
        for_ms=CUT_FOR_MS,
        share=share,
        hall=SUVA,
        cut=mode,
    )
    return experiment(
        halls=[SUVA, NADI],
        services=[
            service(servers_a_hall=4, work_ms=200),
            service(name="lookup", servers_a_hall=3, work_ms=150),
            service(name="vault", servers_a_hall=3, work_ms=150),
        ],
        routes=[
            route(name="submit", per_s=25),
            route(name="read", kind=RouteKind.REPEATABLE, service="lookup", per_s=20),
            route(name="upload", kind=RouteKind.UPLOAD, service="vault", per_s=10),
            route(name="pull", kind=RouteKind.DOWNLOAD, service="vault", per_s=10),
        ],
        length_ms=CUT_AT_MS + CUT_FOR_MS,
        faults=[cut],
    )


def compute_served_shares(played):
    """Return the shares served at first tries: at cut-off entries, and at the others.

    Only requests count that were sent while the entries were cut off for long enough.
    """
    from_ms = played.began_at_ms + COUNTED_FROM_MS
    counted = [r for r in played.results if r.sent_at_ms >= from_ms]
    groups = (
        [r for r in counted if r.entry in played.cut_off_entries],
        [r for r in counted if r.entry not in played.cut_off_entries],
    )
    return [sum(r.outcome in SERVED for r in g) / max(len(g), 1) for g in groups]


class CutOffEntriesTests(unittest.TestCase):
    def test_callers_of_cut_off_entries_are_served_almost_as_often_as_others(self):
        for mode in CutMode:
            for share in SHARES:
                with self.subTest(mode=mode, share=share):
                    played = play(declare_cut(mode, share), seed=1)
                    at_cut_off, at_others = compute_served_shares(played)
                    self.assertGreaterEqual(at_cut_off, SERVED_RATIO * at_others)

    def test_run_once_requests_reach_one_server_at_most(self):
        for mode in CutMode:
            with self.subTest(mode=mode):
                played = play(declare_cut(mode, share=0.75), seed=2)
                sent = sum(r.route == "submit" for r in played.results)
                arrived = sum(
                    arrivals
                    for server, arrivals in played.server_arrivals.items()
                    if server.startswith("submit")
                )
                self.assertLessEqual(arrived, sent)


class ReportsOfCutOffEntriesTests(unittest.TestCase):
    """Servers that a cut-off entry cannot reach are healthy: nobody may avoid them."""

    def count_alarms(self, mode):
        """Return how often a server was suspected of being unreachable or broken."""
        kinds = []
        record_alarm = Suspicions.record_alarm

        def record(suspicions, server, kind, now_ms):
            kinds.append(kind)
            return record_alarm(suspicions, server, kind, now_ms)

        with patch.object(Suspicions, "record_alarm", record):
            play(declare_cut(mode, share=0.75), seed=1)
        return sum(kind in (FailureKind.UNREACHABLE, FailureKind.CUT) for kind in kinds)

    def test_no_server_is_suspected_of_being_unreachable(self):
        for mode in CutMode:
            with self.subTest(mode=mode):
                self.assertEqual(self.count_alarms(mode), 0)

    def test_without_the_deferral_servers_are(self):
        with patch.object(Uplink, "defer", lambda uplink, record: record()):
            for mode in CutMode:
                with self.subTest(mode=mode):
                    self.assertGreater(self.count_alarms(mode), 0)
