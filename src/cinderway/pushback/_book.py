"""What each start of a server asked for, and until when that holds. Pure.

Whoever sends asks twice: when it chooses a server, and again when bytes are about to be
written, since the word may have come in between.
"""

import math
from dataclasses import dataclass, field

from cinderway._ids import EntryName, ServerName
from cinderway.pushback._limits import LimitRecord, RateLimit
from cinderway.pushback._rate_shares import (
    LEAST_RATE_PER_S,
    EntryGroup,
    share_of,
)
from cinderway.pushback._turns import RateTurns
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
    # Of a server that has named a rate for the whole fleet.
    turns: RateTurns | None = None

    def rests(self, now_ms: int) -> bool:
        """Whether it wants nothing from this entry now."""
        return now_ms < self.rests_until_ms

    def is_limited(self, now_ms: int) -> bool:
        """Whether it has named a rate that is to be kept."""
        return self.turns is not None and now_ms < self.turns.valid_until_ms

    def is_open(self, now_ms: int) -> bool:
        """Whether a request may go there now: it does not rest, and a turn is due."""
        return now_ms >= self.opens_at_ms(now_ms)

    def opens_at_ms(self, now_ms: int) -> float:
        """Return when it next takes a request of this entry, as far as known."""
        if not self.is_limited(now_ms):
            return self.rests_until_ms
        turn_at_ms = min(self.turns.next_at_ms, self.turns.valid_until_ms)
        return max(self.rests_until_ms, turn_at_ms)

    def back_in_ms(self, now_ms: int) -> int:
        """Return after what time a request that is refused now may be served.

        Where other entries have the server's turns, that is the time between two turns:
        a caller that comes back reaches any of them.
        """
        left_ms = max(self.rests_until_ms - now_ms, 0)
        if not self.is_limited(now_ms):
            return left_ms
        return math.ceil(max(left_ms, self.turns.next_in_fleet_ms(now_ms)))

    def room_until(self, until_ms: float, now_ms: int) -> float:
        """Return how many requests it takes of this entry until then."""
        if until_ms < self.rests_until_ms:
            return 0
        if not self.is_limited(now_ms):
            return math.inf
        return self.turns.count_until(until_ms)

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


class Turn:
    """Leave to send one request to a server that may name a rate.

    It is taken once: when the server is chosen, or else before anything is written,
    where the server has named its rate meanwhile.
    """

    def __init__(self, kept: ServerPushback):
        self._kept = kept
        self._taken_from: RateTurns | None = None

    def take(self, now_ms: int) -> bool:
        """Use a turn where one is needed; False if none is due."""
        if self._taken_from is not None or not self._kept.is_limited(now_ms):
            return True
        if not self._kept.turns.take(now_ms):
            return False
        self._taken_from = self._kept.turns
        return True

    def give_back(self) -> None:
        """Leave the turn to the next request: nothing was sent."""
        if self._taken_from is not None:
            self._taken_from.give_back()
            self._taken_from = None


@dataclass
class PushbackBook:
    """Keeps what servers asked for, also while they are not listed.

    `leaving_valid_ms` is how long a word of leaving holds, counted from the last time
    that it was said: shorter where the names of servers outlive their starts.
    """

    leaving_valid_ms: int = LEAVING_VALID_MS
    entry: EntryName = EntryName("")
    group: EntryGroup | None = None
    limits: LimitRecord = field(default_factory=LimitRecord)
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
        """Take over rest and leaving of an answer; `learn_limit` takes the limit.

        `kept` is what `of` returned.
        """
        if words.rest_ms is not None:
            kept.rest(words.rest_ms, now_ms)
        if words.is_leaving:
            kept.leave(now_ms + self.leaving_valid_ms)
        self._keep(server, kept)

    def learn_limit(
        self, server: ServerName, kept: ServerPushback, limit: RateLimit, now_ms: int
    ) -> bool:
        """Take over a server's limit, or its end; True if others are to be told.

        `kept` is what `of` returned.
        """
        is_news = self.limits.learn(server, limit)
        newest = self.limits.of(server)
        if newest is None or newest.rate_per_s is None:
            kept.turns = None
        else:
            self._use_limit(server, kept, newest, now_ms)
        return is_news

    def use_group(self, group: EntryGroup, now_ms: int) -> None:
        """Take over who divides servers' rates with this entry."""
        if group == self.group:
            return
        self.group = group
        for server, kept in self._servers.items():
            if kept.is_limited(now_ms):
                self._use_share(server, kept.turns, now_ms)

    def _use_limit(
        self, server: ServerName, kept: ServerPushback, limit: RateLimit, now_ms: int
    ) -> None:
        rate_per_s = max(limit.rate_per_s, LEAST_RATE_PER_S)
        if not kept.is_limited(now_ms):
            kept.turns = RateTurns(limit.valid_until_ms, rate_per_s)
            self._use_share(server, kept.turns, now_ms)
        elif kept.turns.rate_per_s != rate_per_s:
            kept.turns.rate_per_s = rate_per_s
            self._use_share(server, kept.turns, now_ms)
        kept.turns.valid_until_ms = limit.valid_until_ms
        self._keep(server, kept)

    def _use_share(self, server: ServerName, turns: RateTurns, now_ms: int) -> None:
        share = share_of(server, turns.rate_per_s, self.entry, self.group)
        turns.set_share(share, now_ms)

    def _keep(self, server: ServerName, kept: ServerPushback) -> None:
        self._servers.pop(server, None)
        if len(self._servers) >= PUSHBACK_KEPT_LIMIT:
            self._servers.pop(next(iter(self._servers)))
        self._servers[server] = kept
