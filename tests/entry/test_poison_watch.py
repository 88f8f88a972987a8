"""What an entry records of requests during which servers ended, and its reports."""

import unittest
from unittest.mock import patch

from cinderway._ids import RequestDigest
from cinderway.entry import _poison_watch
from cinderway.entry._poison_watch import ANSWERED_LIMIT, REPORT_LIMIT, PoisonWatch
from cinderway.poison import (
    EndedRun,
    PoisonTally,
    RequestRuling,
    RequestRulings,
    RequestRuns,
    RequestStanding,
)

D, E = RequestDigest(b"d" * 16), RequestDigest(b"e" * 16)
SERVERS = ("a", "b", "c")


def refused(digest=D, at_ms=0):
    """Return a replica's ruling on a request during which three servers ended."""
    tally = PoisonTally()
    rulings = [tally.record_end(digest, server, at_ms) for server in SERVERS]
    return RequestRuling.from_ruling(rulings[-1], at_ms)


def rulings_of(*lines):
    return RequestRulings(list(lines))


class PoisonWatchTests(unittest.TestCase):
    def setUp(self):
        self.now_ms = 1_000
        clock = patch.object(_poison_watch, "monotonic_ms", lambda: self.now_ms)
        clock.start()
        self.addCleanup(clock.stop)
        self.woken = []
        self.watch = PoisonWatch(on_refusal=lambda: self.woken.append(self.now_ms))

    def standing(self, digest=D):
        return self.watch.tally.standing_of(digest, self.now_ms)

    def test_a_broken_run_is_reported_once(self):
        self.watch.record_broken_run(D, "a")
        self.assertTrue(self.watch.has_changes.is_set())
        self.assertEqual(self.watch.pop_runs().ended, [EndedRun(D, "a")])
        self.assertEqual(self.watch.pop_runs(), RequestRuns([], []))
        self.assertFalse(self.watch.has_changes.is_set())

    def test_runs_that_could_not_be_reported_come_first_in_the_next_report(self):
        self.watch.record_broken_run(D, "a")
        runs = self.watch.pop_runs()
        self.watch.record_broken_run(E, "b")
        self.watch.requeue(runs)
        self.assertTrue(self.watch.has_changes.is_set())
        ended = self.watch.pop_runs().ended
        self.assertEqual(ended, [EndedRun(D, "a"), EndedRun(E, "b")])

    def test_three_ends_seen_by_one_entry_are_refused_without_a_replica(self):
        for server in SERVERS:
            self.watch.record_broken_run(D, server)
        self.assertIsNotNone(self.watch.find_refusal(D))
        self.assertEqual(len(self.woken), 1)

    def test_after_two_ends_a_request_is_sent_but_not_repeated(self):
        self.watch.record_broken_run(D, "a")
        self.assertTrue(self.watch.can_be_repeated(D))
        self.watch.record_broken_run(D, "b")
        self.assertIsNone(self.watch.find_refusal(D))
        self.assertFalse(self.watch.can_be_repeated(D))

    def test_runs_of_other_entries_count_too(self):
        self.watch.record_broken_run(D, "a")
        self.watch.receive_runs(RequestRuns([EndedRun(D, "b"), EndedRun(D, "c")], []))
        self.assertIs(self.standing(), RequestStanding.REFUSED)
        self.watch.receive_runs(RequestRuns([], [D]))
        self.assertIs(self.standing(), RequestStanding.CLEARED)

    def test_a_ruling_of_the_replica_is_applied_and_waiting_requests_are_woken(self):
        self.watch.receive_rulings(rulings_of(refused()))
        self.assertIsNotNone(self.watch.find_refusal(D))
        self.assertIsNone(self.watch.find_refusal(E))
        self.assertEqual(len(self.woken), 1)

    def test_a_good_answer_is_reported_if_it_clears_a_request(self):
        self.watch.record_good_answer(E)
        self.assertFalse(self.watch.has_changes.is_set())
        self.watch.receive_rulings(rulings_of(refused()))
        self.watch.record_good_answer(D)
        self.assertIsNone(self.watch.find_refusal(D))
        self.assertEqual(self.watch.pop_runs().good, [D])

    def test_a_ruling_is_contradicted_by_a_good_answer_since_then(self):
        """Guards against refusing a frequent read that was in flight at every end."""
        self.watch.record_good_answer(D)
        self.watch.receive_rulings(rulings_of(refused(at_ms=self.now_ms)))
        self.assertIsNone(self.watch.find_refusal(D))
        self.assertEqual(self.watch.pop_runs().good, [D])
        self.assertEqual(self.woken, [])

    def test_good_answers_before_the_first_end_have_no_effect(self):
        self.watch.record_good_answer(D)
        self.now_ms += 1
        self.watch.receive_rulings(rulings_of(refused(at_ms=self.now_ms)))
        self.assertIsNotNone(self.watch.find_refusal(D))

    def test_the_number_of_remembered_good_answers_is_bounded(self):
        for number in range(2 * ANSWERED_LIMIT):
            self.watch.record_good_answer(RequestDigest(number.to_bytes(16)))
        self.assertEqual(len(self.watch._answered_at_ms), ANSWERED_LIMIT)

    def test_runs_that_are_never_collected_are_bounded(self):
        """An entry without a replica and without peers reports to nobody."""
        for number in range(2 * REPORT_LIMIT):
            self.watch.record_broken_run(RequestDigest(number.to_bytes(16)), "a")
        self.assertEqual(len(self.watch._unreported_ends), REPORT_LIMIT)
        self.assertEqual(self.watch._unreported_ends[-1].digest, number.to_bytes(16))

    def test_a_report_is_bounded(self):
        for number in range(2 * REPORT_LIMIT):
            self.watch.record_broken_run(RequestDigest(number.to_bytes(16)), "a")
        self.assertEqual(len(self.watch.pop_runs().ended), REPORT_LIMIT)

    def test_a_replica_without_rulings_gets_the_current_ones(self):
        self.watch.receive_rulings(rulings_of(refused()))
        (line,) = self.watch.rulings().lines
        self.assertIs(line.standing, RequestStanding.REFUSED)
        other = PoisonWatch()
        other.receive_rulings(rulings_of(line))
        self.assertIsNotNone(other.find_refusal(D))
