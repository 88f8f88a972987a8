import unittest

from hypothesis import given, strategies as st

from cinderway.limits import RetryPool
from cinderway.limits._retry_pool import WINDOW_MS

events = st.lists(
    st.tuples(st.integers(0, 2_000), st.integers(0, 5), st.integers(0, 8)), max_size=60
)


def take_many(pool, now_ms, asked=100):
    return sum(pool.consume(now_ms) for _ in range(asked))


class RetryPoolTests(unittest.TestCase):
    def test_a_new_pool_grants_no_retries(self):
        pool = RetryPool(percent=20, extra=10, ramped_at_ms=0)
        self.assertFalse(pool.consume(0))

    def test_requests_add_to_the_shared_budget(self):
        pool = RetryPool(percent=20, extra=10, ramped_at_ms=0)
        pool.credit(10, 0)
        self.assertEqual([pool.consume(0) for _ in range(3)], [True, True, False])

    def test_extra_retries_ramp_up_over_one_window(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        self.assertEqual(take_many(pool, WINDOW_MS // 2), 5)
        self.assertEqual(take_many(pool, WINDOW_MS), 5)

    def test_unused_extra_retries_accumulate(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        self.assertEqual(take_many(pool, WINDOW_MS), 10)

    def test_a_granted_retry_is_available_again_after_exactly_one_window(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        take_many(pool, WINDOW_MS)
        self.assertEqual(take_many(pool, 2 * WINDOW_MS - 1), 0)
        self.assertEqual(take_many(pool, 2 * WINDOW_MS), 10)

    def test_a_larger_extra_causes_no_burst(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        take_many(pool, WINDOW_MS)
        pool.extra = 30
        self.assertEqual(take_many(pool, WINDOW_MS + 1), 0)
        self.assertEqual(take_many(pool, WINDOW_MS + WINDOW_MS // 2), 15)

    def test_a_smaller_extra_applies_at_once(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        take_many(pool, WINDOW_MS - 1, asked=2)
        pool.extra = 5
        self.assertEqual(take_many(pool, WINDOW_MS), 3)

    def test_hedges_leave_room_for_as_many_failures_as_in_the_last_window(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        self.assertEqual(take_many(pool, WINDOW_MS, asked=4), 4)
        hedges = [pool.consume(WINDOW_MS, after_failure=False) for _ in range(9)]
        self.assertEqual(sum(hedges), 6)

    def test_refused_failures_also_reserve_room_for_later_failures(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        hedges = [pool.consume(WINDOW_MS, after_failure=False) for _ in range(20)]
        self.assertEqual(sum(hedges), 10)
        self.assertEqual(take_many(pool, WINDOW_MS + 1, asked=7), 0)
        later_ms = 2 * WINDOW_MS
        hedges = [pool.consume(later_ms, after_failure=False) for _ in range(20)]
        self.assertEqual(sum(hedges), 3)
        self.assertEqual(take_many(pool, later_ms, asked=7), 7)

    @given(events, st.integers(0, 30), st.integers(2, 20))
    def test_grants_in_any_window_stay_within_percent_and_extra(
        self, events, percent, extra
    ):
        pool = RetryPool(percent=percent, extra=extra, ramped_at_ms=0)
        now_ms, history = 0, []
        for pause_ms, requests, asked in events:
            now_ms += pause_ms
            pool.credit(requests, now_ms)
            granted = sum(
                pool.consume(now_ms, after_failure=number % 3 == 0)
                for number in range(asked)
            )
            history.append((now_ms, requests, granted))
        for end_ms, _, _ in history:
            window = [h for h in history if end_ms - WINDOW_MS < h[0] <= end_ms]
            requests = sum(h[1] for h in window)
            granted = sum(h[2] for h in window)
            self.assertLessEqual(granted, extra + requests * percent / 100 + 1e-6)
