import unittest

from cinderway.control._displaced_heard import (
    ALIVE_AFTER_MS,
    MAX_HEARTBEAT_GAP_MS,
    DisplacedLiveness,
)


class DisplacedLivenessTests(unittest.TestCase):
    def setUp(self):
        self.heard = DisplacedLiveness()

    def hear(self, *times_ms):
        return [self.heard.record_heartbeat("i-1", time_ms) for time_ms in times_ms]

    def test_a_burst_that_a_cut_held_up_does_not_say_that_it_lives(self):
        self.assertEqual(self.hear(100, 101, 900), [False] * 3)

    def test_one_that_is_heard_again_and_again_lives(self):
        self.assertEqual(self.hear(0, 1_500, 3_000), [False, False, True])

    def test_heartbeats_far_apart_are_no_row(self):
        later_ms = MAX_HEARTBEAT_GAP_MS + ALIVE_AFTER_MS
        self.assertEqual(self.hear(0, later_ms), [False, False])

    def test_servers_are_told_apart(self):
        self.hear(0, 1_500)
        self.assertFalse(self.heard.record_heartbeat("i-2", 3_000))
