"""Heartbeats that waited in a socket buffer are not taken for new."""

import unittest

from hypothesis import given, strategies as st

from cinderway.entry.fleet._heartbeat_times import MAX_STEP_MS, HeartbeatSendTimes

HEARTBEAT_MS = 500


class SentTimesTests(unittest.TestCase):
    def test_heartbeats_that_arrive_in_time_are_new(self):
        times = HeartbeatSendTimes()
        for now_ms in range(0, 5_000, HEARTBEAT_MS):
            self.assertEqual(times.record_heartbeat(now_ms), now_ms)

    def test_the_first_heartbeat_after_a_pause_may_be_as_old_as_the_pause(self):
        times = HeartbeatSendTimes()
        times.record_heartbeat(0)
        self.assertEqual(times.record_heartbeat(9_000), MAX_STEP_MS)

    def test_later_heartbeats_catch_up(self):
        times = HeartbeatSendTimes()
        times.record_heartbeat(0)
        sent = [times.record_heartbeat(9_000 + 500 * number) for number in range(30)]
        self.assertEqual(sent[-1], 9_000 + 500 * 29)

    @given(st.lists(st.integers(500, 900), max_size=30), st.integers(0, 20_000))
    def test_no_heartbeat_is_taken_for_newer_than_it_can_be(
        self, pauses_ms, resumed_at_ms
    ):
        """All heartbeats sent before the entry resumes are read when it resumes."""
        times, sent_at_ms = HeartbeatSendTimes(), 0
        times.record_heartbeat(0)
        for pause_ms in pauses_ms:
            sent_at_ms += pause_ms
            if sent_at_ms > resumed_at_ms:
                break
            counted_ms = times.record_heartbeat(resumed_at_ms)
            self.assertLessEqual(counted_ms, max(2 * sent_at_ms, MAX_STEP_MS))
