"""What each start of a server asked for, and until when that holds. Pure.

Whoever sends asks twice: when it chooses a server, and again when bytes are about to be
written, since the word may have come in between.
"""

from dataclasses import dataclass, field

from cinderway._ids import ServerName
from cinderway.pushback._words import ServerWords

# Servers that asked for something; the ones that spoke longest ago go first. A tenth of
# the 11,000 servers of the largest fleet that is planned, several times.
PUSHBACK_KEPT_LIMIT = 4_096
# Longer than any server takes to leave. Not for ever: the catalog forgets the names of
# starts that are long over, and a later start that gets one again must get work.
LEAVING_VALID_MS = 3_600_000


@dataclass
class ServerPushback:
    """What one start of a server asked this entry for.

    `rested_ms` is the length of the rest that it asked for last.
    """

    rests_until_ms: int = 0
    rested_ms: int = 0
    leaves_until_ms: int = 0

    def rests(self, now_ms: int) -> bool:
        """Whether it wants nothing from this entry now."""
        return now_ms < self.rests_until_ms

    def leaves(self, now_ms: int) -> bool:
        """Whether it has said that it leaves."""
        return now_ms < self.leaves_until_ms

    def rest(self, rest_ms: int, now_ms: int) -> None:
        """Take a rest over; one that was asked for before and ends later stays.

        Counted from when the answer came, which is later than when it was given.
        """
        self.rested_ms = rest_ms
        self.rests_until_ms = max(self.rests_until_ms, now_ms + rest_ms)

    def leave(self, until_ms: int) -> None:
        """Take over that it leaves; this is to be believed until then."""
        self.leaves_until_ms = max(self.leaves_until_ms, until_ms)


@dataclass
class PushbackBook:
    """Keeps what servers asked for, also while they are not listed.

    `leaving_valid_ms` is how long a word of leaving holds, counted from the last time
    that it was said: shorter where the names of servers outlive their starts.
    """

    leaving_valid_ms: int = LEAVING_VALID_MS
    _servers: dict[ServerName, ServerPushback] = field(default_factory=dict)

    def of(self, server: ServerName) -> ServerPushback:
        """Return what a server asked for; with nothing in it where it asked nothing.

        A server that is listed anew, after a lost heartbeat or a change of its service,
        has the same start and the same wishes.
        """
        return self._servers.get(server) or ServerPushback()

    def note(
        self, server: ServerName, kept: ServerPushback, words: ServerWords, now_ms: int
    ) -> None:
        """Take over what a server's answer said; `kept` is what `of` returned."""
        if words.rest_ms is not None:
            kept.rest(words.rest_ms, now_ms)
        if words.is_leaving:
            kept.leave(now_ms + self.leaving_valid_ms)
        self._servers.pop(server, None)
        if len(self._servers) >= PUSHBACK_KEPT_LIMIT:
            self._servers.pop(next(iter(self._servers)))
        self._servers[server] = kept
