"""What an entry holds of requests under which servers ended, and what it tells."""

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
    Standing,
)

D, E = RequestDigest(b"d" * 16), RequestDigest(b"e" * 16)
SERVERS = ("a", "b", "c")


def refused(digest=D, at_ms=0):
    """Return a replica's line on a request under which three servers ended."""
    tally = PoisonTally()
    rulings = [tally.note_end(digest, server, at_ms) for server in SERVERS]
    return RequestRuling.of(rulings[-1], at_ms)


def told(*lines):
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

    def test_what_broke_off_here_is_told_once(self):
        self.watch.record_broken_run(D, "a")
        self.assertTrue(self.watch.has_news.is_set())
        self.assertEqual(self.watch.take_runs().ended, [EndedRun(D, "a")])
        self.assertEqual(self.watch.take_runs(), RequestRuns([], []))
        self.assertFalse(self.watch.has_news.is_set())

    def test_what_could_not_be_told_is_told_later_and_before_what_came_since(self):
        self.watch.record_broken_run(D, "a")
        runs = self.watch.take_runs()
        self.watch.record_broken_run(E, "b")
        self.watch.put_back(runs)
        self.assertTrue(self.watch.has_news.is_set())
        told = self.watch.take_runs().ended
        self.assertEqual(told, [EndedRun(D, "a"), EndedRun(E, "b")])

    def test_an_entry_that_saw_three_ends_by_itself_needs_no_replica(self):
        for server in SERVERS:
            self.watch.record_broken_run(D, server)
        self.assertIsNotNone(self.watch.find_refusal(D))
        self.assertEqual(len(self.woken), 1)

    def test_after_two_ends_it_is_sent_but_not_a_second_time(self):
        self.watch.record_broken_run(D, "a")
        self.assertTrue(self.watch.can_be_repeated(D))
        self.watch.record_broken_run(D, "b")
        self.assertIsNone(self.watch.find_refusal(D))
        self.assertFalse(self.watch.can_be_repeated(D))

    def test_what_other_entries_saw_counts_as_well(self):
        self.watch.record_broken_run(D, "a")
        self.watch.hear_runs(RequestRuns([EndedRun(D, "b"), EndedRun(D, "c")], []))
        self.assertIs(self.standing(), Standing.REFUSED)
        self.watch.hear_runs(RequestRuns([], [D]))
        self.assertIs(self.standing(), Standing.CLEARED)

    def test_what_the_replica_rules_is_in_force_and_those_that_wait_are_woken(self):
        self.watch.hear_rulings(told(refused()))
        self.assertIsNotNone(self.watch.find_refusal(D))
        self.assertIsNone(self.watch.find_refusal(E))
        self.assertEqual(len(self.woken), 1)

    def test_a_good_answer_is_told_where_it_clears_a_request(self):
        self.watch.record_good_answer(E)
        self.assertFalse(self.watch.has_news.is_set())
        self.watch.hear_rulings(told(refused()))
        self.watch.record_good_answer(D)
        self.assertIsNone(self.watch.find_refusal(D))
        self.assertEqual(self.watch.take_runs().good, [D])

    def test_a_ruling_that_a_good_answer_since_contradicts_is_objected_to(self):
        """A read that is asked for all the time was under way at all that ended."""
        self.watch.record_good_answer(D)
        self.watch.hear_rulings(told(refused(at_ms=self.now_ms)))
        self.assertIsNone(self.watch.find_refusal(D))
        self.assertEqual(self.watch.take_runs().good, [D])
        self.assertEqual(self.woken, [])

    def test_good_answers_before_the_first_end_say_nothing(self):
        self.watch.record_good_answer(D)
        self.now_ms += 1
        self.watch.hear_rulings(told(refused(at_ms=self.now_ms)))
        self.assertIsNotNone(self.watch.find_refusal(D))

    def test_good_answers_are_remembered_for_so_many_requests_only(self):
        for number in range(2 * ANSWERED_LIMIT):
            self.watch.record_good_answer(RequestDigest(number.to_bytes(16)))
        self.assertEqual(len(self.watch._answered_at_ms), ANSWERED_LIMIT)

    def test_what_nobody_takes_does_not_pile_up(self):
        """An entry without a replica and without peers tells nobody."""
        for number in range(2 * REPORT_LIMIT):
            self.watch.record_broken_run(RequestDigest(number.to_bytes(16)), "a")
        self.assertEqual(len(self.watch._unreported_ends), REPORT_LIMIT)
        self.assertEqual(self.watch._unreported_ends[-1].digest, number.to_bytes(16))

    def test_a_telling_is_bounded(self):
        for number in range(2 * REPORT_LIMIT):
            self.watch.record_broken_run(RequestDigest(number.to_bytes(16)), "a")
        self.assertEqual(len(self.watch.take_runs().ended), REPORT_LIMIT)

    def test_a_replica_that_knows_nothing_is_told_what_is_in_force(self):
        self.watch.hear_rulings(told(refused()))
        (line,) = self.watch.rulings().lines
        self.assertIs(line.standing, Standing.REFUSED)
        other = PoisonWatch()
        other.hear_rulings(told(line))
        self.assertIsNotNone(other.find_refusal(D))
