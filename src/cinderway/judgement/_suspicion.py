"""Temporary avoidance of servers that have just failed a request.

Backend servers fail in bursts of a few seconds, which are often over before there is
enough evidence for an ejection. Busy servers fail single requests about as often.
Therefore a failure makes a server suspect at once, and the suspicion decays over the
length of a burst. At first the server gets requests only if no better server is free,
then if the others have a much higher load, finally almost as before. This is not an
ejection: it requires no statistical evidence and removes no capacity.

An overdue request may still be answered. Then the server was slow but does not hang,
and the suspicion ends at once, unless a request has failed there too.

The module does no I/O; the time is passed in.
"""

from collections import Counter
from dataclasses import dataclass, field

from cinderway._ids import ServerName
from cinderway.judgement._evidence import FailureKind

# The bursts of failures observed on the users' servers last about three seconds.
SUSPICION_MS = 2_800
# Each time that a server is unreachable again, it is avoided for twice as long as the
# time before, up to eight times SUSPICION_MS: a server that is gone without notice
# costs the data hall a failed attempt each time.
MAX_UNREACHABLE_DOUBLINGS = 3
# Requests in flight when a server becomes suspect end within about this time.
IN_FLIGHT_MS = 400


def suspicion_left(until_ms: int, now_ms: int) -> float:
    """Return a suspicion's current level: 1 just after a failure, falling to 0."""
    return min(max(until_ms - now_ms, 0) / SUSPICION_MS, 1.0)


@dataclass
class Suspicions:
    """The servers that have recently failed, and when each suspicion ends."""

    _until_ms: dict[ServerName, int] = field(default_factory=dict)
    # Suspects with an overdue request that have not failed any.
    _overdue_only: set[ServerName] = field(default_factory=set)
    # How often each server was unreachable since its last good answer.
    _unreachable_counts: Counter[ServerName] = field(default_factory=Counter)

    def record_alarm(
        self, server: ServerName, kind: FailureKind, now_ms: int
    ) -> int | None:
        """Record a failed or overdue request; return the suspicion's end if it changed.

        Failures within `IN_FLIGHT_MS` of another one do not renew the suspicion, as
        they are mostly requests that were in flight at the time.
        """
        known_until_ms = self._until_ms.get(server, now_ms)
        if kind is not FailureKind.OVERDUE:
            self._overdue_only.discard(server)
        elif known_until_ms <= now_ms:
            self._overdue_only.add(server)
        if now_ms + SUSPICION_MS < known_until_ms + IN_FLIGHT_MS:
            return None
        until_ms = now_ms + self._suspicion_ms(server, kind)
        if kind is FailureKind.UNREACHABLE:
            self._unreachable_counts[server] += 1
        self._until_ms[server] = until_ms
        return until_ms

    def _suspicion_ms(self, server: ServerName, kind: FailureKind) -> int:
        if kind is not FailureKind.UNREACHABLE:
            return SUSPICION_MS
        doublings = min(self._unreachable_counts[server], MAX_UNREACHABLE_DOUBLINGS)
        return SUSPICION_MS * 2**doublings

    def record_good(self, server: ServerName) -> None:
        """Record a good answer, which shows that the server is reachable."""
        self._unreachable_counts.pop(server, None)

    def record_late_answer(self, server: ServerName) -> bool:
        """Record an answer to an overdue request; True if it ends a suspicion."""
        if server not in self._overdue_only:
            return False
        self._overdue_only.remove(server)
        return self._until_ms.pop(server, None) is not None

    def drop_expired(self, now_ms: int) -> None:
        """Drop the suspicions that have ended."""
        self._until_ms = {
            server: until_ms
            for server, until_ms in self._until_ms.items()
            if now_ms < until_ms
        }
        self._overdue_only &= self._until_ms.keys()
