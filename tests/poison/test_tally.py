"""Rulings that stop a request from being sent, and their end."""

import unittest

from hypothesis import given, strategies as st

from cinderway._ids import RequestDigest, ServerName
from cinderway.poison import (
    CLEARED_FOR_MS,
    END_MEMORY_MS,
    MAX_TRACKED_REQUESTS,
    REFUSAL_THRESHOLD,
    REFUSED_FOR_MS,
    PoisonTally,
    RequestStanding,
)

D, E = RequestDigest(b"d"), RequestDigest(b"e")


class TallyTests(unittest.TestCase):
    def setUp(self):
        self.tally = PoisonTally()

    def end(self, *servers, digest=D, at_ms=0):
        return [self.tally.record_end(digest, server, at_ms) for server in servers]

    def standing(self, at_ms=0, digest=D):
        return self.tally.standing_of(digest, at_ms)

    def test_a_request_is_refused_once_three_servers_have_ended_under_it(self):
        self.assertEqual(self.end("a"), [None])
        self.assertIs(self.standing(), RequestStanding.UNKNOWN)
        self.end("b")
        self.assertIs(self.standing(), RequestStanding.WATCHED)
        (ruling,) = self.end("c")
        self.assertIs(self.standing(), RequestStanding.REFUSED)
        self.assertEqual(ruling.servers, ("a", "b", "c"))

    def test_one_start_of_a_server_counts_once(self):
        self.end("a", "a", "a", "b", "b")
        self.assertIs(self.standing(), RequestStanding.WATCHED)

    def test_other_requests_are_unaffected(self):
        self.end("a", "b", "c")
        self.assertIs(self.standing(digest=E), RequestStanding.UNKNOWN)

    def test_ends_after_the_refusal_change_nothing(self):
        self.end("a", "b", "c")
        self.assertEqual(self.end("d", "e"), [None, None])

    def test_good_answer_clears_it_and_restarts_the_count(self):
        self.end("a", "b", "c")
        ruling = self.tally.record_good(D, 1)
        self.assertIs(ruling.standing, RequestStanding.CLEARED)
        self.end("d", at_ms=2)
        self.assertIs(self.standing(2), RequestStanding.CLEARED)
        self.end("e", "f", at_ms=2)
        self.assertIs(self.standing(2), RequestStanding.REFUSED)

    def test_good_answer_before_any_ruling_resets_the_count(self):
        self.end("a")
        self.assertIsNone(self.tally.record_good(D, 1))
        self.end("b", at_ms=2)
        self.assertIs(self.standing(2), RequestStanding.UNKNOWN)

    def test_ends_far_apart_are_not_counted_together(self):
        self.end("a", "b")
        self.end("c", at_ms=END_MEMORY_MS + 1)
        self.assertIs(self.standing(END_MEMORY_MS + 1), RequestStanding.UNKNOWN)

    def test_expired_refusal_is_renewed_by_the_next_end(self):
        self.end("a", "b", "c")
        over_ms = REFUSED_FOR_MS
        self.assertIs(self.standing(over_ms - 1), RequestStanding.REFUSED)
        self.assertIs(self.standing(over_ms), RequestStanding.UNKNOWN)
        (ruling,) = self.end("d", at_ms=over_ms + 7)
        self.assertIs(ruling.standing, RequestStanding.REFUSED)
        self.assertEqual(ruling.until_ms, over_ms + 7 + 2 * REFUSED_FOR_MS)

    def test_good_answer_after_an_expired_refusal_resets_the_refusals(self):
        self.end("a", "b", "c")
        self.tally.record_good(D, REFUSED_FOR_MS + 1)
        at_ms = REFUSED_FOR_MS + 1 + CLEARED_FOR_MS
        self.end("d", at_ms=at_ms)
        self.assertIs(self.standing(at_ms), RequestStanding.UNKNOWN)

    def test_refusals_are_reset_long_after_the_last_one_expired(self):
        self.end("a", "b", "c")
        at_ms = REFUSED_FOR_MS + END_MEMORY_MS
        self.end("d", at_ms=at_ms)
        self.assertIs(self.standing(at_ms), RequestStanding.UNKNOWN)

    def test_barred_request_is_sent_again_only_after_an_operator_lifts_it(self):
        self.tally.bar(D, 0)
        self.end("a")
        self.assertIsNone(self.tally.record_good(D, 1))
        self.assertFalse(self.standing(1).is_sent)
        self.tally.lift(D, 2)
        self.assertTrue(self.standing(2).is_sent)

    def test_rulings_of_other_processes_apply_by_round_number(self):
        other = PoisonTally()
        for server in ("a", "b", "c"):
            refused = self.tally.record_end(D, server, 0)
        self.assertTrue(other.apply_ruling(refused, 0))
        self.assertFalse(other.apply_ruling(refused, 0))
        cleared = other.record_good(D, 1)
        self.assertTrue(self.tally.apply_ruling(cleared, 1))
        self.assertFalse(self.tally.apply_ruling(refused, 1))
        self.assertIs(self.standing(1), RequestStanding.CLEARED)

    def test_number_of_tracked_requests_is_bounded(self):
        for number in range(2 * MAX_TRACKED_REQUESTS):
            digest = RequestDigest(number.to_bytes(16))
            self.end(*range(REFUSAL_THRESHOLD), digest=digest)
        self.assertEqual(len(self.tally.rulings(0)), MAX_TRACKED_REQUESTS)
        self.assertIs(self.standing(digest=digest), RequestStanding.REFUSED)


STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.one_of(st.integers(0, 5), st.just("good"), st.just("tell")),
        st.integers(0, 400_000),
    ),
    max_size=40,
)


class AgreementTests(unittest.TestCase):
    @given(STEPS)
    def test_tallies_that_exchange_rulings_agree(self, steps):
        tallies = [PoisonTally() for _ in range(3)]
        now_ms = 0
        for index, what, pause_ms in steps:
            now_ms += pause_ms
            self.step(tallies, index, what, now_ms)
        for _ in range(2):
            for index in range(3):
                self.step(tallies, index, "tell", now_ms)
        held = [
            {ruling.digest: ruling.rank for ruling in tally.rulings(now_ms)}
            for tally in tallies
        ]
        self.assertEqual(held[0], held[1])
        self.assertEqual(held[1], held[2])

    def step(self, tallies, index, what, now_ms):
        tally = tallies[index]
        match what:
            case "good":
                tally.record_good(D, now_ms)
            case "tell":
                for ruling in tally.rulings(now_ms):
                    for other in tallies:
                        other.apply_ruling(ruling, now_ms)
            case server:
                tally.record_end(D, ServerName(f"s{server}"), now_ms)

    @given(STEPS)
    def test_request_with_fewer_than_three_ends_is_never_refused(self, steps):
        tally, ends, now_ms = PoisonTally(), set(), 0
        for _, what, pause_ms in steps:
            now_ms += pause_ms
            if what == "good":
                tally.record_good(D, now_ms)
                ends.clear()
            elif what != "tell":
                tally.record_end(D, ServerName(f"s{what}"), now_ms)
                ends.add(what)
            if len(ends) < REFUSAL_THRESHOLD:
                self.assertIsNot(tally.standing_of(D, now_ms), RequestStanding.REFUSED)
