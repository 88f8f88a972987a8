"""How long a service takes to answer, learnt from what entries saw. Pure.

Requests that are never answered leave no time behind: what is learnt is how long to
wait for an answer that comes.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

# Times are looked at over the last one to two windows: a service that turns slower
# as a whole is followed within seconds, and a quiet one still has enough to go by.
WINDOW_MS = 10_000
# Fewer answers say nothing of how long the slowest tenth takes.
ENOUGH_ANSWERS = 20
LONGEST_MS = 60_000
SIGNIFICANT_DIGITS = 2

USUAL_PERCENTILE = 50
SLOWEST_TENTH_PERCENTILE = 90
LATE_PERCENTILE = 95


def _empty_histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_MS, SIGNIFICANT_DIGITS)


@dataclass(frozen=True)
class Quantiles:
    """Times within which a half, nine tenths and 19 of 20 answers come."""

    usual_ms: float
    slow_ms: float
    late_ms: float


@dataclass
class AnswerTimes:
    """The times of one service's answers over the last seconds."""

    began_at_ms: int
    _newer: HdrHistogram = field(default_factory=_empty_histogram)
    _older: HdrHistogram = field(default_factory=_empty_histogram)

    def add(self, times_ms: list[int], now_ms: int) -> None:
        """Note answers' times."""
        if now_ms - self.began_at_ms >= WINDOW_MS:
            self.began_at_ms = now_ms
            self._older, self._newer = self._newer, _empty_histogram()
        for time_ms in times_ms:
            self._newer.record_value(min(max(time_ms, 1), LONGEST_MS))

    def quantiles(self) -> Quantiles | None:
        """Return what is known; None with too few answers."""
        both = _empty_histogram()
        both.add(self._older)
        both.add(self._newer)
        if both.get_total_count() < ENOUGH_ANSWERS:
            return None
        found = both.get_percentile_to_value_dict(
            [USUAL_PERCENTILE, SLOWEST_TENTH_PERCENTILE, LATE_PERCENTILE]
        )
        return Quantiles(
            found[USUAL_PERCENTILE],
            found[SLOWEST_TENTH_PERCENTILE],
            found[LATE_PERCENTILE],
        )
