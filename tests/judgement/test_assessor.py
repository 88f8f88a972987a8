import unittest

from hypothesis import given, strategies as st

from cinderway.judgement import (
    EvidenceReport,
    ReporterState,
    assessors_of,
    verdict_quorum,
)
from cinderway.judgement._assessor import REPORT_VALID_MS
from cinderway.table import EntryReport


def report(sequence, sheet_sequence):
    return EvidenceReport("e1", "suva", 0, sequence, sheet_sequence, [])


def entry(number, hall):
    return EntryReport(f"e{number}", hall, f"10.0.0.{number}:1", 1, 1, 1, False)


FLEETS = st.dictionaries(
    st.integers(1, 60), st.sampled_from(["suva", "lautoka", "nadi"]), min_size=1
)


class ReporterTest(unittest.TestCase):
    def test_duplicate_or_reordered_report_is_dropped(self):
        reporter = ReporterState()
        self.assertTrue(reporter.accept(report(2, 0), 0))
        self.assertFalse(reporter.accept(report(2, 0), 0))
        self.assertFalse(reporter.accept(report(1, 0), 0))

    def test_old_report_is_dropped_by_the_age_of_the_sheet_that_it_names(self):
        reporter = ReporterState()
        reporter.record_sent_sheet(1, now_ms=0)
        reporter.record_sent_sheet(2, now_ms=5_000)
        self.assertFalse(reporter.accept(report(1, 1), REPORT_VALID_MS + 1))
        self.assertTrue(reporter.accept(report(2, 2), 5_000 + REPORT_VALID_MS))


class AssignmentTest(unittest.TestCase):
    @given(FLEETS)
    def test_assessors_are_in_different_halls_if_possible(self, fleet):
        live = [entry(number, hall) for number, hall in fleet.items()]
        chosen = assessors_of(3, live)
        self.assertEqual(len(chosen), min(3, len(live)))
        halls = {report.data_hall for report in chosen}
        self.assertEqual(len(halls), min(3, len(set(fleet.values()))))

    @given(FLEETS, st.randoms(use_true_random=False))
    def test_entries_that_know_the_same_fleet_choose_the_same_assessors(
        self, fleet, rng
    ):
        live = [entry(number, hall) for number, hall in fleet.items()]
        other = list(live)
        rng.shuffle(other)
        self.assertEqual(assessors_of(3, live), assessors_of(3, other))

    @given(st.integers(1, 5))
    def test_two_quorums_always_share_an_assessor(self, assessors):
        self.assertGreater(2 * verdict_quorum(assessors), assessors)
