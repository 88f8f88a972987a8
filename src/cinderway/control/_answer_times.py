"""Response times of a service, as entries observed them. Does no I/O.

Requests that are never answered contribute no time: the quantiles say how long to wait
for an answer that does come.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

# Quantiles cover the last one to two windows: a service that becomes slower as a whole
# is tracked within seconds, and a service with little traffic still has enough samples.
WINDOW_MS = 10_000
# With fewer answers the 90th percentile means nothing.
MIN_ANSWERS = 20
MAX_RECORDED_MS = 60_000
SIGNIFICANT_DIGITS = 2

MEDIAN_PERCENTILE = 50
SLOW_PERCENTILE = 90
LATE_PERCENTILE = 95


def _empty_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)


@dataclass(frozen=True)
class Quantiles:
    """The 50th, 90th and 95th percentiles of the response times."""

    p50_ms: float
    p90_ms: float
    p95_ms: float


@dataclass
class AnswerTimes:
    """The response times of one service over a sliding window."""

    window_start_ms: int
    _current: HdrHistogram = field(default_factory=_empty_histogram)
    _previous: HdrHistogram = field(default_factory=_empty_histogram)

    def record(self, times_ms: list[int], now_ms: int) -> None:
        """Record response times."""
        if now_ms - self.window_start_ms >= WINDOW_MS:
            self.window_start_ms = now_ms
            self._previous, self._current = self._current, _empty_histogram()
        for time_ms in times_ms:
            self._current.record_value(min(max(time_ms, 1), MAX_RECORDED_MS))

    def quantiles(self) -> Quantiles | None:
        """Return the quantiles; None with too few answers."""
        merged = _empty_histogram()
        merged.add(self._previous)
        merged.add(self._current)
        if merged.get_total_count() < MIN_ANSWERS:
            return None
        percentiles = merged.get_percentile_to_value_dict(
            [MEDIAN_PERCENTILE, SLOW_PERCENTILE, LATE_PERCENTILE]
        )
        return Quantiles(
            percentiles[MEDIAN_PERCENTILE],
            percentiles[SLOW_PERCENTILE],
            percentiles[LATE_PERCENTILE],
        )
