import unittest

from hypothesis import given, strategies as st

from cinderway.limits import RetryPool
from cinderway.limits._retry_pool import WINDOW_MS

events = st.lists(
    st.tuples(st.integers(0, 2_000), st.integers(0, 5), st.integers(0, 8)), max_size=60
)


def taken(pool, now_ms, asked=100):
    return sum(pool.take(now_ms) for _ in range(asked))


class RetryPoolTests(unittest.TestCase):
    def test_a_new_pool_has_nothing(self):
        pool = RetryPool(percent=20, extra=10, ramped_at_ms=0)
        self.assertFalse(pool.take(0))

    def test_requests_of_all_entries_earn_retries_for_any(self):
        pool = RetryPool(percent=20, extra=10, ramped_at_ms=0)
        pool.earn(10, 0)
        self.assertEqual([pool.take(0) for _ in range(3)], [True, True, False])

    def test_a_pool_comes_to_its_extra_retries_over_a_window(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        self.assertEqual(taken(pool, WINDOW_MS // 2), 5)
        self.assertEqual(taken(pool, WINDOW_MS), 5)

    def test_all_extra_retries_may_be_saved_up(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        self.assertEqual(taken(pool, WINDOW_MS), 10)

    def test_what_was_granted_comes_back_after_a_window_and_not_before(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        taken(pool, WINDOW_MS)
        self.assertEqual(taken(pool, 2 * WINDOW_MS - 1), 0)
        self.assertEqual(taken(pool, 2 * WINDOW_MS), 10)

    def test_entries_that_come_from_another_pool_bring_no_burst(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        taken(pool, WINDOW_MS)
        pool.extra = 30
        self.assertEqual(taken(pool, WINDOW_MS + 1), 0)
        self.assertEqual(taken(pool, WINDOW_MS + WINDOW_MS // 2), 15)

    def test_entries_that_leave_take_their_share_with_them_at_once(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        taken(pool, WINDOW_MS - 1, asked=2)
        pool.extra = 5
        self.assertEqual(taken(pool, WINDOW_MS), 3)

    def test_second_tries_beside_slow_ones_leave_room_for_as_many_failures(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        self.assertEqual(taken(pool, WINDOW_MS, asked=4), 4)
        slow = [pool.take(WINDOW_MS, after_failure=False) for _ in range(9)]
        self.assertEqual(sum(slow), 6)

    def test_refused_failures_make_room_for_those_to_come(self):
        pool = RetryPool(percent=0, extra=10, ramped_at_ms=0)
        slow = [pool.take(WINDOW_MS, after_failure=False) for _ in range(20)]
        self.assertEqual(sum(slow), 10)
        self.assertEqual(taken(pool, WINDOW_MS + 1, asked=7), 0)
        later_ms = 2 * WINDOW_MS
        slow = [pool.take(later_ms, after_failure=False) for _ in range(20)]
        self.assertEqual(sum(slow), 3)
        self.assertEqual(taken(pool, later_ms, asked=7), 7)

    @given(events, st.integers(0, 30), st.integers(2, 20))
    def test_no_window_grants_more_than_its_share_and_the_extra(
        self, events, percent, extra
    ):
        pool = RetryPool(percent=percent, extra=extra, ramped_at_ms=0)
        now_ms, happened = 0, []
        for pause_ms, requests, asked in events:
            now_ms += pause_ms
            pool.earn(requests, now_ms)
            granted = sum(
                pool.take(now_ms, after_failure=number % 3 == 0)
                for number in range(asked)
            )
            happened.append((now_ms, requests, granted))
        for end_ms, _, _ in happened:
            window = [h for h in happened if end_ms - WINDOW_MS < h[0] <= end_ms]
            requests = sum(h[1] for h in window)
            granted = sum(h[2] for h in window)
            self.assertLessEqual(granted, extra + requests * percent / 100 + 1e-6)
