import unittest

from hypothesis import given, settings, strategies as st

from cinderway.limits import HeldBytes

LIMIT_BYTES = 1 << 20
SIZES = st.lists(st.integers(1, LIMIT_BYTES), max_size=60)


class HeldBytesTests(unittest.TestCase):
    @given(SIZES, st.integers(0, LIMIT_BYTES))
    def test_admitted_bodies_stay_within_the_bound(self, sizes, unread_bytes):
        """Guards against bodies that together take more memory than allowed."""
        held = HeldBytes(LIMIT_BYTES)
        for size_bytes in sizes:
            if held.admits(size_bytes, unread_bytes):
                held.add(size_bytes)
        self.assertLessEqual(held.held_bytes, LIMIT_BYTES)

    @given(SIZES, st.integers(0, LIMIT_BYTES), st.integers(0, LIMIT_BYTES))
    def test_the_largest_bodies_are_refused_first(self, sizes, one, other):
        """Guards against refusing a small request where a larger one is admitted."""
        held = HeldBytes(LIMIT_BYTES, held_bytes=min(sum(sizes), LIMIT_BYTES))
        small, large = sorted((one, other))
        if held.admits(large):
            self.assertTrue(held.admits(small))

    def test_a_body_of_any_size_is_admitted_where_nothing_is_held(self):
        """Guards against refusing for ever a body that the route sheet allows."""
        held = HeldBytes(LIMIT_BYTES)
        self.assertTrue(held.admits(10 * LIMIT_BYTES))
        self.assertFalse(held.admits(10 * LIMIT_BYTES, unread_bytes=1))

    @settings(max_examples=25)
    @given(st.integers(1, 40), st.integers(32 * 1024, 64 * 1024))
    def test_answers_without_end_are_ended_within_the_bound(self, count, piece_bytes):
        """Guards against servers whose answers together fill the memory."""
        held = HeldBytes(32 * LIMIT_BYTES)
        sizes = [0] * count
        for _ in range(2 * held.limit_bytes // piece_bytes):
            for i, size_bytes in enumerate(sizes):
                held.add(piece_bytes)
                sizes[i] = size_bytes + piece_bytes
                if not held.admits_answer(sizes[i]):
                    held.remove(sizes[i])
                    sizes[i] = 0
            self.assertLessEqual(held.held_bytes, held.limit_bytes)
            if 0 in sizes:
                return
        self.fail("no answer was ended")

    def test_small_answers_are_read_without_any_room(self):
        """Guards against losing the answer to a request that has run."""
        held = HeldBytes(LIMIT_BYTES, held_bytes=2 * LIMIT_BYTES)
        held.add(100_000)
        self.assertTrue(held.admits_answer(100_000, unread_bytes=LIMIT_BYTES))

    def test_a_request_without_a_body_is_refused_only_without_any_room(self):
        """Guards against refusing everything while large bodies fill the memory."""
        held = HeldBytes(LIMIT_BYTES, held_bytes=LIMIT_BYTES - 1)
        self.assertTrue(held.admits(0))
        held.add(1)
        self.assertFalse(held.admits(0))
