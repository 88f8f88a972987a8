"""Heartbeats that lay in a socket for a while are not taken for new."""

import unittest

from hypothesis import given, strategies as st

from cinderway.entry.fleet._sent_times import MAX_STEP_MS, HeartbeatSendTimes

HEARTBEAT_MS = 500


class SentTimesTests(unittest.TestCase):
    def test_heartbeats_that_come_in_time_are_new(self):
        times = HeartbeatSendTimes()
        for now_ms in range(0, 5_000, HEARTBEAT_MS):
            self.assertEqual(times.heard(now_ms), now_ms)

    def test_after_a_pause_the_first_may_be_as_old_as_the_pause(self):
        times = HeartbeatSendTimes()
        times.heard(0)
        self.assertEqual(times.heard(9_000), MAX_STEP_MS)

    def test_those_after_it_catch_up(self):
        times = HeartbeatSendTimes()
        times.heard(0)
        heard = [times.heard(9_000 + 500 * number) for number in range(30)]
        self.assertEqual(heard[-1], 9_000 + 500 * 29)

    @given(st.lists(st.integers(500, 900), max_size=30), st.integers(0, 20_000))
    def test_none_is_taken_for_newer_than_it_can_be(self, pauses_ms, woken_at_ms):
        """All that was sent before the entry woke is read at that moment."""
        times, sent_at_ms = HeartbeatSendTimes(), 0
        times.heard(0)
        for pause_ms in pauses_ms:
            sent_at_ms += pause_ms
            if sent_at_ms > woken_at_ms:
                break
            counted_ms = times.heard(woken_at_ms)
            self.assertLessEqual(counted_ms, max(2 * sent_at_ms, MAX_STEP_MS))
