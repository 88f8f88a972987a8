import unittest

from cinderway.control._displaced_liveness import (
    ALIVE_AFTER_MS,
    MAX_HEARTBEAT_GAP_MS,
    DisplacedLiveness,
)


class DisplacedLivenessTests(unittest.TestCase):
    def setUp(self):
        self.liveness = DisplacedLiveness()

    def record(self, *times_ms):
        return [self.liveness.record_heartbeat("i-1", time_ms) for time_ms in times_ms]

    def test_a_burst_that_a_partition_held_up_does_not_prove_liveness(self):
        self.assertEqual(self.record(100, 101, 900), [False] * 3)

    def test_repeated_heartbeats_prove_liveness(self):
        self.assertEqual(self.record(0, 1_500, 3_000), [False, False, True])

    def test_heartbeats_far_apart_do_not_form_a_streak(self):
        later_ms = MAX_HEARTBEAT_GAP_MS + ALIVE_AFTER_MS
        self.assertEqual(self.record(0, later_ms), [False, False])

    def test_servers_are_tracked_separately(self):
        self.record(0, 1_500)
        self.assertFalse(self.liveness.record_heartbeat("i-2", 3_000))
