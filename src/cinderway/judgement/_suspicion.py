"""Avoid for a moment a server that has just failed a request. Pure.

Backend servers fail in short bursts, often over before enough has been seen to judge
them. One failure makes it likely that the next request fails as well, so for about a
burst's length the server gets requests only where nothing better is free. This is no
ejection: it needs no proof and takes no capacity away.
"""

from dataclasses import dataclass, field

from cinderway._ids import ServerName

# About as long as the short bursts of failures that the users' servers show.
FIRST_MS = 1_000
LONGEST_MS = 4_000
# A failure within this time after a suspicion ended continues it, for twice as long.
CONTINUES_MS = 1_500


@dataclass
class _Suspicion:
    began_at_ms: int
    until_ms: int
    length_ms: int = FIRST_MS


@dataclass
class Suspicions:
    """The servers that failed a moment ago, and until when each is avoided."""

    _by_server: dict[ServerName, _Suspicion] = field(default_factory=dict)

    def note_failure(self, server: ServerName, now_ms: int) -> int:
        """Note a failed request; return until when the server is suspect.

        Failures while it is suspect already do not prolong it: they are mostly
        requests that were under way.
        """
        known = self._by_server.get(server)
        if known is None or now_ms >= known.until_ms + CONTINUES_MS:
            known = _Suspicion(now_ms, now_ms + FIRST_MS)
        elif now_ms >= known.until_ms:
            length_ms = min(known.length_ms * 2, LONGEST_MS)
            known = _Suspicion(now_ms, now_ms + length_ms, length_ms)
        self._by_server[server] = known
        return known.until_ms

    def began_since(self, since_ms: int, now_ms: int) -> dict[ServerName, int]:
        """Return the suspicions that began since then, with what is left of each."""
        return {
            server: suspicion.until_ms - now_ms
            for server, suspicion in self._by_server.items()
            if suspicion.began_at_ms >= since_ms and suspicion.until_ms > now_ms
        }

    def forget_old(self, now_ms: int) -> None:
        """Drop what no longer says anything."""
        self._by_server = {
            server: suspicion
            for server, suspicion in self._by_server.items()
            if now_ms < suspicion.until_ms + CONTINUES_MS
        }
