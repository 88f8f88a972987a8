"""Counts requests over several sliding windows in bounded memory.

Does no I/O; the time is passed in.
"""

from collections import deque
from dataclasses import dataclass, field

MINUTE_S = 60
HOUR_S = 3600
WINDOWS_S = (5 * MINUTE_S, HOUR_S, 6 * HOUR_S, 72 * HOUR_S)
# Each window advances in 60 steps, so its length is exact to one 60th.
STEPS_PER_WINDOW = 60
FULL_PERCENT = 100.0


@dataclass
class _Bucket:
    step: int
    requests: int = 0
    missed: int = 0


@dataclass
class LevelCounter:
    """Counts one service's requests on one entry, by window.

    Each window keeps a bucket for each of its steps in which requests ended.
    """

    _buckets: dict[int, deque[_Bucket]] = field(
        default_factory=lambda: {window_s: deque() for window_s in WINDOWS_S}
    )

    def count(self, is_missed: bool, now_ms: int) -> None:
        """Record a request that met or missed the objective."""
        for window_s, buckets in self._buckets.items():
            step = _step(window_s, now_ms)
            if not buckets or buckets[-1].step != step:
                buckets.append(_Bucket(step))
                _drop_expired(buckets, step)
            buckets[-1].requests += 1
            buckets[-1].missed += is_missed

    def read(self, now_ms: int) -> dict[int, tuple[int, int]]:
        """Return the counts of all and of missed requests, keyed by the window in s."""
        found = {}
        for window_s, buckets in self._buckets.items():
            _drop_expired(buckets, _step(window_s, now_ms))
            requests = sum(bucket.requests for bucket in buckets)
            missed = sum(bucket.missed for bucket in buckets)
            found[window_s] = (requests, missed)
        return found


def burn_rate(requests: int, missed: int, objective_percent: float) -> float:
    """Return the error budget's burn rate: the share of misses over the allowed share.

    A constant rate of 1.0 uses the budget up exactly over the objective's period. It is
    0 without requests.
    """
    if not requests:
        return 0.0
    budget = 1 - objective_percent / FULL_PERCENT
    return missed / requests / budget


def _step(window_s: int, now_ms: int) -> int:
    return now_ms * STEPS_PER_WINDOW // (window_s * 1000)


def _drop_expired(buckets: deque[_Bucket], step: int) -> None:
    while buckets and buckets[0].step <= step - STEPS_PER_WINDOW:
        buckets.popleft()
