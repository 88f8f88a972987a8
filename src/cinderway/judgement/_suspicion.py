"""Avoid for a moment a server that has just failed a request. Pure.

Backend servers fail in bursts of a few seconds, often over before enough has been seen
to judge them. Busy ones fail single requests about as often. So a failure makes a
server suspect at once, and the suspicion fades over a burst's length: at first the
server gets requests only where nothing better is free, then wherever the others are
much fuller, at last nearly as before. This is no ejection: it needs no proof and takes
no capacity away.

A request that is overdue may still be answered; then its server was slow and does not
hang, and the suspicion ends at once, unless a request has failed there too.
"""

from collections import Counter
from dataclasses import dataclass, field

from cinderway._ids import ServerName
from cinderway.judgement._evidence import Bad

# The bursts that the users' servers show last about three seconds.
FADES_MS = 2_800
# A server that is out of reach each time is avoided for twice as long, up to eight
# times: one that is gone and never says so costs the hall a try each time.
UNREACHED_DOUBLINGS = 3
# Requests that were under way when a server became suspect end within about this time.
UNDER_WAY_MS = 400


def suspicion_left(until_ms: int, now_ms: int) -> float:
    """Return how suspect a server still is, from 1 just after a failure down to 0."""
    return min(max(until_ms - now_ms, 0) / FADES_MS, 1.0)


@dataclass
class Suspicions:
    """The servers that failed a moment ago, and when each suspicion ends."""

    _until_ms: dict[ServerName, int] = field(default_factory=dict)
    # Those that have failed no request yet, but are late with one.
    _late_only: set[ServerName] = field(default_factory=set)
    # How often each was out of reach since it last answered well.
    _unreached: Counter[ServerName] = field(default_factory=Counter)

    def note_alarm(self, server: ServerName, kind: Bad, now_ms: int) -> int | None:
        """Note a failed or overdue request; return when suspicion ends if that is new.

        Failures right after another one do not renew it: they are mostly requests
        that were under way.
        """
        known_until_ms = self._until_ms.get(server, now_ms)
        if kind is not Bad.OVERDUE:
            self._late_only.discard(server)
        elif known_until_ms <= now_ms:
            self._late_only.add(server)
        if now_ms + FADES_MS < known_until_ms + UNDER_WAY_MS:
            return None
        until_ms = now_ms + self._length_ms(server, kind)
        if kind is Bad.UNREACHABLE:
            self._unreached[server] += 1
        self._until_ms[server] = until_ms
        return until_ms

    def _length_ms(self, server: ServerName, kind: Bad) -> int:
        if kind is not Bad.UNREACHABLE:
            return FADES_MS
        doublings = min(self._unreached[server], UNREACHED_DOUBLINGS)
        return FADES_MS * 2**doublings

    def note_good(self, server: ServerName) -> None:
        """Note a good answer: the server is there."""
        self._unreached.pop(server, None)

    def note_late_answer(self, server: ServerName) -> bool:
        """Note an answer to an overdue request; True if that ends a suspicion."""
        if server not in self._late_only:
            return False
        self._late_only.remove(server)
        return self._until_ms.pop(server, None) is not None

    def forget_old(self, now_ms: int) -> None:
        """Drop what no longer says anything."""
        self._until_ms = {
            server: until_ms
            for server, until_ms in self._until_ms.items()
            if now_ms < until_ms
        }
        self._late_only &= self._until_ms.keys()
