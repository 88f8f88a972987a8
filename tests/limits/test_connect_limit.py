import unittest

from hypothesis import given, strategies as st

from cinderway.limits import ConnectLimit
from cinderway.limits._connect_limit import LEAST_MS, MOST_MS


class ConnectLimitTests(unittest.TestCase):
    def settled(self, duration_ms):
        limit = ConnectLimit()
        for _ in range(50):
            limit.note_made(duration_ms)
        return limit

    def test_before_anything_is_known_it_is_the_longest(self):
        self.assertEqual(ConnectLimit().limit_ms, MOST_MS)

    def test_where_connections_are_fast_a_silent_server_is_given_up_soon(self):
        self.assertEqual(self.settled(4).limit_ms, LEAST_MS)

    def test_where_the_link_is_full_it_is_longer(self):
        self.assertGreater(self.settled(250).limit_ms, 250)

    def test_one_silent_server_does_not_lengthen_it(self):
        limit = self.settled(4)
        limit.note_missed()
        self.assertEqual(limit.limit_ms, LEAST_MS)

    def test_several_in_a_row_do_until_a_connection_is_made(self):
        limit = self.settled(4)
        for _ in range(3):
            limit.note_missed()
        self.assertEqual(limit.limit_ms, 4 * LEAST_MS)
        limit.note_made(4)
        self.assertEqual(limit.limit_ms, LEAST_MS)

    @given(st.lists(st.one_of(st.none(), st.floats(0, 5_000)), max_size=80))
    def test_it_stays_between_its_bounds(self, durations_ms):
        limit = ConnectLimit()
        for duration_ms in durations_ms:
            if duration_ms is None:
                limit.note_missed()
            else:
                limit.note_made(duration_ms)
            self.assertTrue(LEAST_MS <= limit.limit_ms <= MOST_MS)
