import unittest

from hypothesis import given, strategies as st

from cinderway.membership import Fleet, LiveState
from cinderway.membership._fleet import (
    GONE_AFTER_MS,
    SILENT_AFTER_MS,
    UNLISTED_GONE_AFTER_MS,
)
from cinderway.table import EntryReport, HeardReport


def report(name="e1", revision=1, level=1, is_leaving=False):
    return EntryReport(name, "suva", "10.0.0.1:1", revision, 0, level, is_leaving)


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()

    def test_entry_with_heartbeats_is_live_even_if_the_list_omits_it(self):
        self.fleet.apply_platform_list(frozenset())
        self.fleet.record_report(report(), 0)
        self.assertIs(self.fleet.state_of("e1", 100), LiveState.LIVE)

    def test_listed_entry_without_heartbeats_is_not_live(self):
        self.fleet.apply_platform_list(frozenset({"e1"}))
        self.fleet.record_report(report(), 0)
        self.assertIs(self.fleet.state_of("e1", SILENT_AFTER_MS), LiveState.SILENT)
        self.assertIs(self.fleet.state_of("e1", GONE_AFTER_MS), LiveState.GONE)

    def test_list_only_shortens_the_timeout_of_a_silent_entry(self):
        self.fleet.record_report(report(), 0)
        self.fleet.apply_platform_list(frozenset({"other"}))
        state = self.fleet.state_of("e1", UNLISTED_GONE_AFTER_MS)
        self.assertIs(state, LiveState.GONE)

    def test_silent_entry_limits_the_table_format(self):
        self.fleet.record_report(report(level=1), 0)
        self.fleet.record_report(report("e2", level=2), SILENT_AFTER_MS)
        self.assertEqual(self.fleet.lowest_table_level(SILENT_AFTER_MS), 1)

    @given(st.permutations(range(6)))
    def test_newest_of_reordered_gossiped_reports_is_kept(self, order):
        fleet = Fleet()
        for ago_ms in order:
            heard = HeardReport(report(revision=10 - ago_ms), ago_ms)
            fleet.record_reports([heard], now_ms=100)
        self.assertEqual(fleet.entries()[0].report.revision, 10)

    @given(st.lists(st.integers(1, 50), min_size=1))
    def test_highest_revision_of_an_entry_is_kept(self, revisions):
        fleet = Fleet()
        for at_ms, revision in enumerate(revisions):
            highest = fleet.record_report(report(revision=revision), at_ms)
        self.assertEqual(highest, max(revisions))
