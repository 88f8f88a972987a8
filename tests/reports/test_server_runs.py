"""Outcomes of requests by the previous outcome known of their server."""

import unittest
from dataclasses import replace

from cinderway.reports import RequestLine, ServerRun, parse_run, runs_by_service

LINE = RequestLine("r1", "failed", 40, "pay", "desk", ("i-1",), 7, 90)
LOGGED = "2026-01-01 00:00:10,500 INFO cinderway.entry: "


def run(began_at_ms, is_good, took_ms=5, server="i-1"):
    return ServerRun("desk", server, began_at_ms, began_at_ms + took_ms, is_good)


def followed(*runs):
    service = runs_by_service(runs)["desk"]
    counts = {key: (f.count, f.failed) for key, f in service.followed.items()}
    return (service.first.count, service.first.failed), counts


class ParseTests(unittest.TestCase):
    def test_a_request_at_one_server_gives_its_begin_and_outcome(self):
        found = parse_run(f"{LOGGED}{LINE}\n")
        self.assertEqual(found.ended_at_ms - found.began_at_ms, 40)
        self.assertEqual(found.ended_at_ms % 60_000, 10_500)
        self.assertFalse(found.is_good)

    def test_a_request_at_two_servers_or_at_none_is_skipped(self):
        for servers in ((), ("i-1", "i-2")):
            line = replace(LINE, servers=servers)
            self.assertIsNone(parse_run(f"{LOGGED}{line}"))

    def test_a_caller_that_left_and_a_line_without_a_timestamp_are_skipped(self):
        self.assertIsNone(parse_run(f"{LOGGED}{replace(LINE, outcome='caller-left')}"))
        self.assertIsNone(parse_run(str(LINE)))


class FollowedTests(unittest.TestCase):
    def test_a_request_counts_by_the_outcome_before_it_at_its_server(self):
        first, counts = followed(run(0, False), run(600, True), run(700, True))
        self.assertEqual(first, (1, 1))
        self.assertEqual(counts, {(False, 1): (1, 0), (True, 0): (1, 0)})

    def test_runs_still_in_progress_when_it_began_do_not_count(self):
        first, counts = followed(run(0, False, took_ms=50), run(20, False))
        self.assertEqual((first, counts), ((2, 2), {}))

    def test_other_servers_outcomes_do_not_count(self):
        first, counts = followed(run(0, False), run(9_000, True, server="i-2"))
        self.assertEqual((first, counts), ((2, 1), {}))

    def test_a_long_gap_is_counted_separately(self):
        _, counts = followed(run(0, False), run(5_000, False))
        self.assertEqual(counts, {(False, 2): (1, 1)})
