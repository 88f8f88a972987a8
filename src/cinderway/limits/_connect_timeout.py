"""Adaptive connect timeout, estimated from how long connections take. Pure.

A server without power sends nothing, not even a refusal. A long timeout wastes the time
in which another server could have answered. A short timeout reaches no server at all
where the instance's own network link is saturated.
"""

from dataclasses import dataclass

# Source: RFC 6298, sections 2.2 to 2.3 (TCP's retransmission timeout), which uses the
# same estimate: a smoothed time plus four times its smoothed deviation.
TIME_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4
# Tens of round trips between data halls. A process that waits to be scheduled on its
# processor takes no longer either.
MINIMUM_TIMEOUT_MS = 100.0
# A lost SYN is retransmitted only after one second, so a longer timeout gains nothing.
MAXIMUM_TIMEOUT_MS = 500.0


@dataclass
class ConnectTimeout:
    """The connect timeout of one process.

    Until the first connection succeeds, it is the maximum. Each consecutive timeout
    after the first doubles it until a connection succeeds: one dead server is no reason
    to wait longer for others, several in a row are.
    """

    _smoothed_ms: float | None = None
    _deviation_ms: float = 0.0
    _consecutive_timeouts: int = 0

    @property
    def base_ms(self) -> float:
        """The timeout as long as no attempt times out."""
        if self._smoothed_ms is None:
            return MAXIMUM_TIMEOUT_MS
        estimate_ms = self._smoothed_ms + DEVIATION_FACTOR * self._deviation_ms
        return min(max(estimate_ms, MINIMUM_TIMEOUT_MS), MAXIMUM_TIMEOUT_MS)

    @property
    def current_ms(self) -> float:
        """The timeout for the next connection attempt."""
        factor = 2 ** max(self._consecutive_timeouts - 1, 0)
        return min(self.base_ms * factor, MAXIMUM_TIMEOUT_MS)

    def record_connect_time(self, duration_ms: float) -> None:
        """Record the time that a successful connection took."""
        self._consecutive_timeouts = 0
        if self._smoothed_ms is None:
            self._smoothed_ms, self._deviation_ms = duration_ms, duration_ms / 2
            return
        difference_ms = abs(duration_ms - self._smoothed_ms)
        self._deviation_ms += DEVIATION_GAIN * (difference_ms - self._deviation_ms)
        self._smoothed_ms += TIME_GAIN * (duration_ms - self._smoothed_ms)

    def record_timeout(self) -> None:
        """Record a connection attempt that timed out."""
        self._consecutive_timeouts += 1
