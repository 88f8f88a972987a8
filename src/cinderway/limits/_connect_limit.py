"""How long to wait for a connection, learnt from how long connections take. Pure.

A server without power says nothing. Whoever waits long for it loses the time in which
another could have answered; whoever gives up soon where an instance's own link is full
finds no server at all.
"""

from dataclasses import dataclass

# Source: RFC 6298, sections 2.2 to 2.3, which wait for acknowledgements by the same
# estimate: a smoothed time and four times its smoothed deviation.
TIME_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4
# Tens of round trips between data halls; a process that waits for its processor takes
# no longer.
LEAST_MS = 100.0
# A dropped opening packet is sent again after a second only: nothing is won beyond.
MOST_MS = 500.0


@dataclass
class ConnectLimit:
    """The time to wait for the next connection of one process.

    Until a first connection was made it is the longest. Each time that is not enough
    doubles it, up to the next connection that is made: one dead server is no reason to
    wait longer for others, several in a row are.
    """

    _time_ms: float | None = None
    _deviation_ms: float = 0.0
    _misses: int = 0

    @property
    def limit_ms(self) -> float:
        """How long to wait now."""
        if self._time_ms is None:
            return MOST_MS
        usual_ms = max(self._time_ms + DEVIATIONS * self._deviation_ms, LEAST_MS)
        return min(usual_ms * 2 ** max(self._misses - 1, 0), MOST_MS)

    def note_made(self, duration_ms: float) -> None:
        """Note a connection that was made, and how long it took."""
        self._misses = 0
        if self._time_ms is None:
            self._time_ms, self._deviation_ms = duration_ms, duration_ms / 2
            return
        gap_ms = abs(duration_ms - self._time_ms)
        self._deviation_ms += DEVIATION_GAIN * (gap_ms - self._deviation_ms)
        self._time_ms += TIME_GAIN * (duration_ms - self._time_ms)

    def note_missed(self) -> None:
        """Note that the limit passed without a connection."""
        self._misses += 1
