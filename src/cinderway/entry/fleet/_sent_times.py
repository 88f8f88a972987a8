"""How old a replica's word may be by the time it is read here. Pure."""

from dataclasses import dataclass

# Twice the time between two heartbeats: those that are read after a pause were sent one
# after the other within it.
STEP_MS = 1_000


@dataclass
class SentTimes:
    """When the heartbeats of one connection were sent, at the earliest.

    An entry that stood still, or was suspended, wakes to heartbeats of long before that
    lay in its socket. Taken for new, they would make it answer 404 by a sheet that is
    as old as its pause, where 503 tells callers to come back. A link that was stalled
    brings them late in the same way.
    """

    _sent_at_ms: int | None = None

    def heard(self, now_ms: int) -> int:
        """Note a heartbeat that is read now; return when its age was true."""
        if self._sent_at_ms is None:
            self._sent_at_ms = now_ms
        else:
            self._sent_at_ms = min(now_ms, self._sent_at_ms + STEP_MS)
        return self._sent_at_ms
