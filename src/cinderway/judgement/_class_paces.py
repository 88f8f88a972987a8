"""Answer times of classes of work that share a service, relative to the service's.

What is learnt is by how much a class takes longer or shorter than the service usually
does. When all answers of the service become slower, so do the estimates for a class
that has had no answer since.
"""

import math
from dataclasses import dataclass

from cinderway._ids import RouteName, ServiceName

# Standard normal quantiles of the 90th and 95th percentile. Answer times are about
# log-normally distributed.
SLOW_QUANTILE = 1.2816
LATE_QUANTILE = 1.6449
# The service's pace counts as this many answers of a class.
PRIOR_ANSWERS = 4
# Weight of the newest answer in the moving averages, once there are enough of them.
GAIN = 0.05
# About as many routes as the largest sheets have; the oldest class goes first.
MAX_CLASSES = 16_384

ClassKey = tuple[ServiceName, RouteName]


@dataclass(slots=True)
class _Ratio:
    """Mean and variance of the logarithm of a class's time over the service's usual."""

    mean: float
    variance: float
    count: int = PRIOR_ANSWERS

    def add(self, sample: float) -> None:
        self.count += 1
        gain = max(GAIN, 1 / self.count)
        difference = sample - self.mean
        self.mean += gain * difference
        self.variance += gain * (difference**2 * (1 - gain) - self.variance)


@dataclass(frozen=True)
class ClassQuantiles:
    """The 50th, 90th and 95th percentile of a class's answer times."""

    p50_ms: float
    p90_ms: float
    p95_ms: float


class ClassPaces:
    """The relative answer times of the classes that one entry has sent requests of."""

    def __init__(self):
        self._ratios: dict[ClassKey, _Ratio] = {}

    def record(
        self, key: ClassKey, duration_ms: float, usual_ms: float, slow_ms: float
    ) -> None:
        """Record an answer, with the quantiles that the service has meanwhile."""
        ratio = self._ratios.get(key)
        if ratio is None:
            spread = math.log(max(slow_ms / usual_ms, 1.0)) / SLOW_QUANTILE
            ratio = self._ratios[key] = _Ratio(0.0, spread**2)
            if len(self._ratios) > MAX_CLASSES:
                del self._ratios[next(iter(self._ratios))]
        ratio.add(math.log(max(duration_ms, 1.0) / usual_ms))

    def compute_factor(self, key: ClassKey) -> float:
        """Return how often a class takes the service's usual time; 1 if unknown."""
        ratio = self._ratios.get(key)
        return 1.0 if ratio is None else math.exp(ratio.mean)

    def compute_quantiles(
        self, key: ClassKey, usual_ms: float
    ) -> ClassQuantiles | None:
        """Return a class's quantiles; None if it has had no answer."""
        ratio = self._ratios.get(key)
        if ratio is None:
            return None
        spread = math.sqrt(max(ratio.variance, 0.0))
        p50_ms = usual_ms * math.exp(ratio.mean)
        return ClassQuantiles(
            p50_ms,
            p50_ms * math.exp(SLOW_QUANTILE * spread),
            p50_ms * math.exp(LATE_QUANTILE * spread),
        )

    def keep_only(self, services: set[ServiceName]) -> None:
        """Forget the classes of services that nothing shares any more."""
        self._ratios = {k: r for k, r in self._ratios.items() if k[0] in services}
