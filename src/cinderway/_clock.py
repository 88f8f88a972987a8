"""Clocks for daemons. Decision code does not read a clock: it gets the time passed in.

Leases and timeouts expire for the other processes while this instance is suspended, so
the monotonic clock includes the time of a suspension, which is thus treated like any
other pause of the process. The event loop's timers do not include it and fire late.
Code must therefore compare times to decide whether something is still valid, and must
not rely on a timer that has not fired yet.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager


def _read_boottime_ns() -> int:
    # On Linux, time.monotonic() stops while the instance is suspended.
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


_monotonic_ns: Callable[[], int] = _read_boottime_ns


def monotonic_ms() -> int:
    """Return a monotonic time in milliseconds, comparable within one process only.

    It includes the time for which the instance was suspended.
    """
    return _monotonic_ns() // 1_000_000


def wall_clock_ms() -> int:
    """Return milliseconds since the Unix epoch; may jump forwards or backwards."""
    return time.time_ns() // 1_000_000


@contextmanager
def monotonic_source(source_ns: Callable[[], int]) -> Iterator[None]:
    """Replace the source of monotonic time, as experiments in virtual time do."""
    global _monotonic_ns
    previous, _monotonic_ns = _monotonic_ns, source_ns
    try:
        yield
    finally:
        _monotonic_ns = previous
