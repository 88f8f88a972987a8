"""The monotonic clock includes the time of a suspension."""

import time
import unittest
from unittest.mock import patch

from cinderway import _clock

SECOND_NS = 1_000_000_000


class ClockTests(unittest.TestCase):
    def test_monotonic_time_includes_a_suspension(self):
        """CLOCK_MONOTONIC stops while an instance is suspended. With it, an instance
        would still rely on its leases, and still be bound by its own promises, after
        they have expired for all other processes.
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
