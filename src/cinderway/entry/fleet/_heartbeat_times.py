"""Bound the age of a heartbeat by the time it is read. Pure: time is passed in."""

from dataclasses import dataclass

# Twice the heartbeat interval. Heartbeats that are read together after a pause were
# sent one after another during it, so each counts as sent at most this long after the
# previous one.
MAX_STEP_MS = 1_000


@dataclass
class HeartbeatSendTimes:
    """Earliest times at which the heartbeats of one connection may have been sent.

    A process that was stalled or suspended finds old heartbeats in its socket buffer
    when it resumes. If it took them for new, it would answer 404 by a route sheet as
    old as the pause, where 503 tells callers to retry. A stalled link delivers
    heartbeats late in the same way.
    """

    _sent_at_ms: int | None = None

    def record_heartbeat(self, now_ms: int) -> int:
        """Record a heartbeat that is read now; return when it may have been sent."""
        if self._sent_at_ms is None:
            self._sent_at_ms = now_ms
        else:
            self._sent_at_ms = min(now_ms, self._sent_at_ms + MAX_STEP_MS)
        return self._sent_at_ms
