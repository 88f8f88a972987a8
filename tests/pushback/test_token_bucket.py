"""The token bucket of an entry for a rate-limited server."""

import unittest

from hypothesis import given, strategies as st

from cinderway.pushback import RateTokenBucket

RATE_PER_S = 2.0
NOW_MS = 5_000


def build_bucket(share_per_s=RATE_PER_S):
    bucket = RateTokenBucket(valid_until_ms=10**9, rate_per_s=RATE_PER_S)
    bucket.set_share(share_per_s, NOW_MS)
    return bucket


class RateTurnsTests(unittest.TestCase):
    def test_a_new_share_starts_without_a_token(self):
        """The previous owner of the share may just have used a token."""
        bucket = build_bucket()
        self.assertFalse(bucket.acquire(NOW_MS))
        self.assertFalse(bucket.acquire(NOW_MS + 499))
        self.assertTrue(bucket.acquire(NOW_MS + 500))

    def test_a_share_that_was_lost_starts_without_a_token_again(self):
        bucket = build_bucket()
        bucket.set_share(0.0, NOW_MS + 10_000)
        self.assertFalse(bucket.acquire(NOW_MS + 20_000))
        bucket.set_share(RATE_PER_S, NOW_MS + 20_000)
        self.assertFalse(bucket.acquire(NOW_MS + 20_000))

    def test_the_bucket_holds_at_most_one_token(self):
        bucket = build_bucket()
        self.assertTrue(bucket.acquire(NOW_MS + 60_000))
        self.assertFalse(bucket.acquire(NOW_MS + 60_001))

    @given(st.lists(st.integers(0, 400), max_size=200))
    def test_any_four_seconds_allow_at_most_the_share_and_one_token(self, pauses_ms):
        bucket, now_ms, used_ms = build_bucket(), NOW_MS, []
        for pause_ms in pauses_ms:
            now_ms += pause_ms
            if bucket.acquire(now_ms):
                used_ms.append(now_ms)
        for at_ms in used_ms:
            window = [ms for ms in used_ms if at_ms <= ms < at_ms + 4_000]
            self.assertLessEqual(len(window), 4 * RATE_PER_S + 1)
