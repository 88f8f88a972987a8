"""Parsing of pushback headers, also with arbitrary bytes in them."""

import unittest

from hypothesis import given, strategies as st

from cinderway.pushback import (
    MAXIMUM_BACKOFF_MS,
    NO_PUSHBACK,
    PushbackHeaders,
    parse_pushback_headers,
)

NOW_MS = 1_700_000_000_000
NOW = b"Tue, 14 Nov 2023 22:13:20 GMT"
LEAVING = b"server-leaving"
LIMIT = b"server-limit"


def parse(*headers, status=503, is_shed=True):
    return parse_pushback_headers(
        status,
        headers,
        is_shed=is_shed,
        leaving_header=LEAVING,
        limit_header=LIMIT,
        wall_clock_ms=NOW_MS,
    )


def parse_backoff(*waits, **options):
    return parse(*((b"Retry-After", wait) for wait in waits), **options).backoff_ms


class BackoffTests(unittest.TestCase):
    def test_seconds_with_and_without_fractions_are_parsed(self):
        self.assertEqual(parse_backoff(b"3"), 3_000)
        self.assertEqual(parse_backoff(b" 0.25 "), 250)
        self.assertEqual(parse_backoff(b".5"), 500)

    def test_a_date_is_relative_to_the_servers_own_clock(self):
        date = (b"Date", NOW)
        wait = (b"retry-after", b"Tue, 14 Nov 2023 22:13:24 GMT")
        self.assertEqual(parse(wait).backoff_ms, 4_000)
        behind = (b"Date", b"Tue, 14 Nov 2023 22:13:22 GMT")
        self.assertEqual(parse(behind, wait).backoff_ms, 2_000)
        self.assertEqual(parse(wait, date).backoff_ms, 4_000)

    def test_invalid_and_zero_values_give_no_backoff(self):
        invalid = [
            b"",
            b"0",
            b"-3",
            b"1e9",
            b"NaN",
            b"inf",
            b"soon",
            b"3, 4",
            b"\xff\0",
        ]
        for text in [*invalid, NOW, b"Mon, 99 Foo 0000 99:99:99 GMT"]:
            with self.subTest(text):
                self.assertIsNone(parse_backoff(text))

    def test_the_longest_of_several_backoffs_counts(self):
        self.assertEqual(parse_backoff(b"1", b"3", b"soon"), 3_000)

    def test_an_excessive_backoff_is_capped(self):
        self.assertEqual(parse_backoff(b"999999999999"), MAXIMUM_BACKOFF_MS)

    def test_only_a_503_or_a_shed_429_requests_a_backoff(self):
        self.assertEqual(parse_backoff(b"3", is_shed=False), 3_000)
        self.assertEqual(parse_backoff(b"3", status=429), 3_000)
        # A 429 that was not shed is addressed to the caller.
        self.assertIsNone(parse_backoff(b"3", status=429, is_shed=False))
        self.assertIsNone(parse_backoff(b"3", status=500))
        self.assertIsNone(parse_backoff(b"3", status=200, is_shed=False))

    @given(st.binary(max_size=60), st.sampled_from([200, 429, 500, 503]), st.booleans())
    def test_any_bytes_give_a_bounded_backoff_or_none(self, text, status, is_shed):
        backoff_ms = parse_backoff(text, status=status, is_shed=is_shed)
        self.assertTrue(backoff_ms is None or 0 < backoff_ms <= MAXIMUM_BACKOFF_MS)

    @given(st.integers(1, 599_999))
    def test_any_milliseconds_are_parsed_exactly(self, backoff_ms):
        self.assertEqual(parse_backoff(b"%.3f" % (backoff_ms / 1000)), backoff_ms)


class LeavingTests(unittest.TestCase):
    def test_any_response_may_announce_leaving(self):
        for status in (200, 206, 404, 500, 503):
            with self.subTest(status):
                found = parse((b"Server-Leaving", b"1"), status=status)
                self.assertTrue(found.is_leaving)

    def test_a_zero_in_the_leaving_header_means_not_leaving(self):
        self.assertIs(parse((b"server-leaving", b"0"), status=200), NO_PUSHBACK)

    def test_backoff_and_leaving_may_come_in_one_response(self):
        found = parse((b"server-leaving", b"1"), (b"retry-after", b"2"))
        self.assertEqual(found, PushbackHeaders(2_000, True))

    def test_a_response_without_pushback_headers_has_no_pushback(self):
        self.assertIs(parse((b"content-type", b"text/plain"), status=200), NO_PUSHBACK)


def parse_limit(*texts, **options):
    return parse(*((b"Server-Limit", text) for text in texts), **options)


class LimitTests(unittest.TestCase):
    def test_any_response_may_announce_a_limit(self):
        for status in (200, 206, 404, 421, 500, 503):
            with self.subTest(status):
                found = parse_limit(b"1.9", status=status, is_shed=False)
                self.assertEqual(found.rate_limit_per_s, 1.9)

    def test_limits_with_fractions_and_exponents_are_parsed(self):
        read = {b"2": 2.0, b" .4 ": 0.4, b"0": 0.0, b"1e9": 1e9, b"5.": 5.0}
        for text, expected_per_s in read.items():
            with self.subTest(text):
                self.assertEqual(parse_limit(text).rate_limit_per_s, expected_per_s)

    def test_an_invalid_limit_is_distinguished_from_none(self):
        for text in (b"", b"-2", b"NaN", b"inf", b"1,9", b"soon", b"1e999", b"\xff"):
            with self.subTest(text):
                found = parse_limit(text)
                self.assertIsNone(found.rate_limit_per_s)
                self.assertTrue(found.has_limit_header)

    def test_the_lowest_of_several_limits_counts(self):
        self.assertEqual(parse_limit(b"3", b"1.5", b"soon").rate_limit_per_s, 1.5)

    @given(st.binary(max_size=40))
    def test_any_bytes_give_a_finite_rate_or_none(self, text):
        rate_per_s = parse_limit(text).rate_limit_per_s
        self.assertTrue(rate_per_s is None or 0 <= rate_per_s < float("inf"))
