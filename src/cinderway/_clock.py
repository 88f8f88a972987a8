"""Time for daemons. Decision code never calls this: time is passed in to it."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

_monotonic_ns: Callable[[], int] = time.monotonic_ns


def monotonic_ms() -> int:
    """Milliseconds that never go back; comparable within one process only."""
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
