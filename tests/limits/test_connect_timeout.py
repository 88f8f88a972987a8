import unittest

from hypothesis import given, strategies as st

from cinderway.limits import ConnectTimeout
from cinderway.limits._connect_timeout import MAXIMUM_TIMEOUT_MS, MINIMUM_TIMEOUT_MS


class ConnectLimitTests(unittest.TestCase):
    def train(self, duration_ms):
        limit = ConnectTimeout()
        for _ in range(50):
            limit.record_connect_time(duration_ms)
        return limit

    def test_initial_timeout_is_the_maximum(self):
        self.assertEqual(ConnectTimeout().current_ms, MAXIMUM_TIMEOUT_MS)

    def test_fast_connections_give_the_minimum_timeout(self):
        self.assertEqual(self.train(4).current_ms, MINIMUM_TIMEOUT_MS)

    def test_slow_connections_give_a_longer_timeout(self):
        self.assertGreater(self.train(250).current_ms, 250)

    def test_a_single_timeout_does_not_lengthen_it(self):
        limit = self.train(4)
        limit.record_timeout()
        self.assertEqual(limit.current_ms, MINIMUM_TIMEOUT_MS)

    def test_consecutive_timeouts_lengthen_it_until_a_connection_succeeds(self):
        limit = self.train(4)
        for _ in range(3):
            limit.record_timeout()
        self.assertEqual(limit.current_ms, 4 * MINIMUM_TIMEOUT_MS)
        limit.record_connect_time(4)
        self.assertEqual(limit.current_ms, MINIMUM_TIMEOUT_MS)

    @given(st.lists(st.one_of(st.none(), st.floats(0, 5_000)), max_size=80))
    def test_it_stays_between_its_bounds(self, durations_ms):
        limit = ConnectTimeout()
        for duration_ms in durations_ms:
            if duration_ms is None:
                limit.record_timeout()
            else:
                limit.record_connect_time(duration_ms)
            self.assertTrue(
                MINIMUM_TIMEOUT_MS <= limit.current_ms <= MAXIMUM_TIMEOUT_MS
            )
