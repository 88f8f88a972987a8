import unittest

from hypothesis import given, strategies as st

from cinderway.limits import RetryPool
from cinderway.limits._retry_pool import WINDOW_MS

events = st.lists(
    st.tuples(st.integers(0, 2_000), st.integers(0, 5), st.integers(0, 8)), max_size=60
)


class RetryPoolTests(unittest.TestCase):
    def test_a_new_pool_has_nothing(self):
        pool = RetryPool(percent=20, extra=10, refilled_at_ms=0)
        self.assertFalse(pool.take(0))

    def test_requests_of_all_entries_earn_retries_for_any(self):
        pool = RetryPool(percent=20, extra=10, refilled_at_ms=0)
        pool.earn(10)
        self.assertEqual([pool.take(0) for _ in range(3)], [True, True, False])

    def test_time_brings_the_extra_retries_back(self):
        pool = RetryPool(percent=0, extra=10, refilled_at_ms=0)
        self.assertTrue(pool.take(WINDOW_MS))
        self.assertEqual(sum(pool.take(WINDOW_MS) for _ in range(9)), 4)

    @given(events, st.integers(0, 30), st.integers(2, 20))
    def test_no_window_grants_more_than_its_share_and_the_extra(
        self, events, percent, extra
    ):
        pool = RetryPool(percent=percent, extra=extra, refilled_at_ms=0)
        now_ms, happened = 0, []
        for pause_ms, requests, asked in events:
            now_ms += pause_ms
            pool.earn(requests)
            granted = sum(pool.take(now_ms) for _ in range(asked))
            happened.append((now_ms, requests, granted))
        for end_ms, _, _ in happened:
            window = [h for h in happened if end_ms - WINDOW_MS < h[0] <= end_ms]
            requests = sum(h[1] for h in window)
            granted = sum(h[2] for h in window)
            self.assertLessEqual(granted, extra + requests * percent / 100 + 1e-6)
