import unittest

from hypothesis import given, strategies as st

from cinderway.reports import WINDOWS_S, LevelCounter, burn_rate


class LevelTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 600_000), st.booleans()), max_size=60))
    def test_each_window_counts_the_requests_in_it(self, requests):
        counter = LevelCounter()
        requests.sort()
        for at_ms, is_missed in requests:
            counter.count(is_missed, at_ms)
        now_ms = 600_000
        for window_s, (count, _) in counter.read(now_ms).items():
            step_ms = window_s * 1000 // 60
            min_count = sum(
                now_ms - at < window_s * 1000 - step_ms for at, _ in requests
            )
            max_count = sum(now_ms - at <= window_s * 1000 for at, _ in requests)
            self.assertTrue(min_count <= count <= max_count)

    def test_old_requests_leave_every_window(self):
        counter = LevelCounter()
        counter.count(True, 0)
        after_all_ms = (max(WINDOWS_S) + 1) * 1000 * 2
        self.assertEqual(set(counter.read(after_all_ms).values()), {(0, 0)})

    def test_rate_of_one_uses_the_budget_up_exactly(self):
        self.assertAlmostEqual(burn_rate(1000, 1, 99.9), 1.0)
        self.assertEqual(burn_rate(0, 0, 99.9), 0.0)
