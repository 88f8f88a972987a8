"""Avoid for a moment a server that has just failed a request. Pure.

Backend servers fail in bursts of a few seconds, often over before enough has been seen
to judge them. Busy ones fail single requests about as often. So after a failure a
server gets requests only where nothing better is free, first for a short while; if it
fails again right after, for about a burst's length. This is no ejection: it needs no
proof and takes no capacity away.
"""

from dataclasses import dataclass, field

from cinderway._ids import ServerName

# Several requests of a busy service: at its peak, one failure in two is by chance.
FIRST_MS = 400
# The bursts that the users' servers show last three to four seconds.
CONTINUED_MS = 2_800
# A failure within this time after a suspicion ended continues it.
CONTINUES_MS = 1_500


@dataclass
class Suspicions:
    """The servers that failed a moment ago, and until when each is avoided."""

    _until_ms: dict[ServerName, int] = field(default_factory=dict)

    def note_failure(self, server: ServerName, now_ms: int) -> int | None:
        """Note a failed request; return until when to avoid the server if that is new.

        Failures while it is suspect already do not prolong it: they are mostly
        requests that were under way.
        """
        known_ms = self._until_ms.get(server)
        if known_ms is not None and now_ms < known_ms:
            return None
        length_ms = FIRST_MS
        if known_ms is not None and now_ms < known_ms + CONTINUES_MS:
            length_ms = CONTINUED_MS
        self._until_ms[server] = now_ms + length_ms
        return now_ms + length_ms

    def forget_old(self, now_ms: int) -> None:
        """Drop what no longer says anything."""
        self._until_ms = {
            server: until_ms
            for server, until_ms in self._until_ms.items()
            if now_ms < until_ms + CONTINUES_MS
        }
