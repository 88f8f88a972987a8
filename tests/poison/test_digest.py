"""Repeats of one request have the same digest; different requests differ."""

import unittest

from hypothesis import given, strategies as st

from cinderway.poison import RequestDigests

PARTS = st.tuples(*[st.binary(max_size=6)] * 5)


def lower_host(parts):
    method, host, *others = parts
    return (method, host.lower(), *others)


class DigestTests(unittest.TestCase):
    digests = RequestDigests(b"a key")

    def test_entries_with_the_same_key_agree(self):
        parts = (b"GET", b"a.example", b"/p/x?q=1", b"acme", b"body")
        self.assertEqual(self.digests.of(*parts), RequestDigests(b"a key").of(*parts))

    @given(PARTS, PARTS)
    def test_requests_that_differ_in_any_part_differ(self, one, other):
        are_same = self.digests.of(*one) == self.digests.of(*other)
        self.assertEqual(are_same, lower_host(one) == lower_host(other))

    def test_boundaries_between_parts_are_significant(self):
        one = self.digests.of(b"GET", b"", b"/a", b"b", b"")
        self.assertNotEqual(one, self.digests.of(b"GET", b"", b"/ab", b"", b""))

    def test_case_of_the_host_is_ignored(self):
        one = self.digests.of(b"GET", b"A.example", b"/", b"", b"")
        self.assertEqual(one, self.digests.of(b"GET", b"a.EXAMPLE", b"/", b"", b""))

    def test_digest_depends_on_the_key(self):
        parts = (b"GET", b"a.example", b"/", b"", b"")
        self.assertNotEqual(self.digests.of(*parts), RequestDigests(b"b").of(*parts))
