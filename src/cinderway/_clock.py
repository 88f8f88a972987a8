"""Time for daemons. Decision code never calls this: time is passed in to it.

What others granted, or go by, is over for them also while this instance is suspended.
So the clock here counts that time: a suspension is a standstill like any other. Timers
of the event loop do not count it, and end late; nothing is taken to be valid because a
timer has not fired.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager


def _since_boot_ns() -> int:
    # The steady clock of the library stands still while an instance is suspended.
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


_monotonic_ns: Callable[[], int] = _since_boot_ns


def monotonic_ms() -> int:
    """Milliseconds that never go back; comparable within one process only.

    They include the time for which the instance was suspended.
    """
    return _monotonic_ns() // 1_000_000


def wall_clock_ms() -> int:
    """Milliseconds since the epoch; may jump."""
    return time.time_ns() // 1_000_000


@contextmanager
def monotonic_source(source_ns: Callable[[], int]) -> Iterator[None]:
    """Take monotonic time from elsewhere: an experiment's time runs by itself."""
    global _monotonic_ns
    former, _monotonic_ns = _monotonic_ns, source_ns
    try:
        yield
    finally:
        _monotonic_ns = former
