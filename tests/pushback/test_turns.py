"""An entry's turns at a server that names a rate."""

import unittest

from hypothesis import given, strategies as st

from cinderway.pushback import RateTurns

RATE_PER_S = 2.0
NOW_MS = 5_000


def turns(share_per_s=RATE_PER_S):
    found = RateTurns(valid_until_ms=10**9, rate_per_s=RATE_PER_S)
    found.set_share(share_per_s, NOW_MS)
    return found


class RateTurnsTests(unittest.TestCase):
    def test_whoever_gets_a_part_begins_without_a_turn(self):
        """Another entry may just have used the last one."""
        found = turns()
        self.assertFalse(found.take(NOW_MS))
        self.assertFalse(found.take(NOW_MS + 499))
        self.assertTrue(found.take(NOW_MS + 500))

    def test_a_part_that_was_lost_begins_anew(self):
        found = turns()
        found.set_share(0.0, NOW_MS + 10_000)
        self.assertFalse(found.take(NOW_MS + 20_000))
        found.set_share(RATE_PER_S, NOW_MS + 20_000)
        self.assertFalse(found.take(NOW_MS + 20_000))

    def test_one_turn_is_saved_up_and_no_more(self):
        found = turns()
        self.assertTrue(found.take(NOW_MS + 60_000))
        self.assertFalse(found.take(NOW_MS + 60_001))

    @given(st.lists(st.integers(0, 400), max_size=200))
    def test_no_four_seconds_bring_more_than_the_part_and_one(self, pauses_ms):
        found, now_ms, used_ms = turns(), NOW_MS, []
        for pause_ms in pauses_ms:
            now_ms += pause_ms
            if found.take(now_ms):
                used_ms.append(now_ms)
        for at_ms in used_ms:
            window = [ms for ms in used_ms if at_ms <= ms < at_ms + 4_000]
            self.assertLessEqual(len(window), 4 * RATE_PER_S + 1)
