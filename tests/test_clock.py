"""Time that passes for others passes here, too."""

import time
import unittest
from unittest.mock import patch

from cinderway import _clock

SECOND_NS = 1_000_000_000


class ClockTests(unittest.TestCase):
    def test_the_time_of_a_suspension_counts(self):
        """A suspended instance's steady clock stands still; what was granted to it, and
        what it promised for a while, was over for all others when it woke.
        """
        times_ns = {time.CLOCK_MONOTONIC: SECOND_NS, time.CLOCK_BOOTTIME: SECOND_NS}

        def clock_ns(clock):
            return times_ns[clock]

        with (
            patch.object(time, "clock_gettime_ns", clock_ns),
            patch.object(time, "monotonic_ns", lambda: times_ns[time.CLOCK_MONOTONIC]),
        ):
            before_ms = _clock.monotonic_ms()
            times_ns[time.CLOCK_BOOTTIME] += 5 * SECOND_NS
            self.assertEqual(_clock.monotonic_ms() - before_ms, 5_000)
