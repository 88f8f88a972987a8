"""What an answer's head says of its server, whatever bytes it holds."""

import unittest

from hypothesis import given, strategies as st

from cinderway.pushback import NO_WORDS, REST_LIMIT_MS, ServerWords, words_of

NOW_MS = 1_700_000_000_000
NOW = b"Tue, 14 Nov 2023 22:13:20 GMT"
LEAVING = b"server-leaving"
LIMIT = b"server-limit"


def words(*headers, status=503, is_shed=True):
    return words_of(
        status,
        headers,
        is_shed=is_shed,
        leaving_header=LEAVING,
        limit_header=LIMIT,
        wall_clock_ms=NOW_MS,
    )


def rest_of(*waits, **how):
    return words(*((b"Retry-After", wait) for wait in waits), **how).rest_ms


class RestTests(unittest.TestCase):
    def test_seconds_are_read_whole_and_with_fractions(self):
        self.assertEqual(rest_of(b"3"), 3_000)
        self.assertEqual(rest_of(b" 0.25 "), 250)
        self.assertEqual(rest_of(b".5"), 500)

    def test_a_date_counts_from_the_servers_own_clock(self):
        date = (b"Date", NOW)
        wait = (b"retry-after", b"Tue, 14 Nov 2023 22:13:24 GMT")
        self.assertEqual(words(wait).rest_ms, 4_000)
        behind = (b"Date", b"Tue, 14 Nov 2023 22:13:22 GMT")
        self.assertEqual(words(behind, wait).rest_ms, 2_000)
        self.assertEqual(words(wait, date).rest_ms, 4_000)

    def test_what_cannot_be_read_or_asks_for_nothing_is_no_rest(self):
        unread = [b"", b"0", b"-3", b"1e9", b"NaN", b"inf", b"soon", b"3, 4", b"\xff\0"]
        for text in [*unread, NOW, b"Mon, 99 Foo 0000 99:99:99 GMT"]:
            with self.subTest(text):
                self.assertIsNone(rest_of(text))

    def test_of_several_the_longest_counts(self):
        self.assertEqual(rest_of(b"1", b"3", b"soon"), 3_000)

    def test_an_absurd_rest_is_cut(self):
        self.assertEqual(rest_of(b"999999999999"), REST_LIMIT_MS)

    def test_only_a_server_that_turns_requests_away_asks_for_rest(self):
        self.assertEqual(rest_of(b"3", is_shed=False), 3_000)
        self.assertEqual(rest_of(b"3", status=429), 3_000)
        # By itself this speaks to the caller.
        self.assertIsNone(rest_of(b"3", status=429, is_shed=False))
        self.assertIsNone(rest_of(b"3", status=500))
        self.assertIsNone(rest_of(b"3", status=200, is_shed=False))

    @given(st.binary(max_size=60), st.sampled_from([200, 429, 500, 503]), st.booleans())
    def test_any_bytes_give_a_bounded_rest_or_none(self, text, status, is_shed):
        rest_ms = rest_of(text, status=status, is_shed=is_shed)
        self.assertTrue(rest_ms is None or 0 < rest_ms <= REST_LIMIT_MS)

    @given(st.integers(1, 599_999))
    def test_any_milliseconds_are_read_as_they_are(self, rest_ms):
        self.assertEqual(rest_of(b"%.3f" % (rest_ms / 1000)), rest_ms)


class LeavingTests(unittest.TestCase):
    def test_any_answer_may_say_that_the_server_leaves(self):
        for status in (200, 206, 404, 500, 503):
            with self.subTest(status):
                found = words((b"Server-Leaving", b"1"), status=status)
                self.assertTrue(found.is_leaving)

    def test_a_server_may_say_that_it_does_not_leave(self):
        self.assertIs(words((b"server-leaving", b"0"), status=200), NO_WORDS)

    def test_both_words_may_come_at_once(self):
        found = words((b"server-leaving", b"1"), (b"retry-after", b"2"))
        self.assertEqual(found, ServerWords(2_000, True))

    def test_an_answer_without_either_says_nothing(self):
        self.assertIs(words((b"content-type", b"text/plain"), status=200), NO_WORDS)


def limit_of(*texts, **how):
    return words(*((b"Server-Limit", text) for text in texts), **how)


class LimitTests(unittest.TestCase):
    def test_any_answer_may_name_a_limit(self):
        for status in (200, 206, 404, 421, 500, 503):
            with self.subTest(status):
                found = limit_of(b"1.9", status=status, is_shed=False)
                self.assertEqual(found.rate_limit_per_s, 1.9)

    def test_limits_are_read_whole_with_fractions_and_exponents(self):
        read = {b"2": 2.0, b" .4 ": 0.4, b"0": 0.0, b"1e9": 1e9, b"5.": 5.0}
        for text, expected_per_s in read.items():
            with self.subTest(text):
                self.assertEqual(limit_of(text).rate_limit_per_s, expected_per_s)

    def test_one_that_cannot_be_read_is_told_apart_from_none(self):
        for text in (b"", b"-2", b"NaN", b"inf", b"1,9", b"soon", b"1e999", b"\xff"):
            with self.subTest(text):
                found = limit_of(text)
                self.assertIsNone(found.rate_limit_per_s)
                self.assertTrue(found.names_limit)

    def test_of_several_the_lowest_counts(self):
        self.assertEqual(limit_of(b"3", b"1.5", b"soon").rate_limit_per_s, 1.5)

    @given(st.binary(max_size=40))
    def test_any_bytes_give_a_finite_rate_or_none(self, text):
        rate_per_s = limit_of(text).rate_limit_per_s
        self.assertTrue(rate_per_s is None or 0 <= rate_per_s < float("inf"))
