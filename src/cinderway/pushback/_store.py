"""Pushback received from each run of a server, with its expiry times. Pure.

The sender of a request checks this state twice: when it chooses a server, and again
just before it writes the request, since pushback may have arrived in between.
"""

import math
from dataclasses import dataclass, field

from cinderway._ids import EntryName, ServerName
from cinderway.pushback._headers import PushbackHeaders
from cinderway.pushback._limits import RateLimit, RateLimitStore
from cinderway.pushback._rate_shares import (
    MINIMUM_RATE_PER_S,
    EntryGroup,
    compute_share,
)
from cinderway.pushback._token_bucket import RateTokenBucket

# Maximum number of servers whose pushback is kept; the least recently updated ones are
# evicted first. The value is several times a tenth of the 11,000 servers of the largest
# planned fleet.
MAXIMUM_TRACKED_SERVERS = 4_096
# Longer than any server takes to shut down. It must expire, because the catalog forgets
# the names of runs that ended long ago, and a later run that is given such a name again
# must receive requests.
LEAVING_VALID_MS = 3_600_000


@dataclass
class ServerPushback:
    """Pushback that this entry has received from one run of a server."""

    backoff_until_ms: int = 0
    leaves_until_ms: int = 0
    # Token bucket for this entry's share of the server's rate limit, if it has one.
    bucket: RateTokenBucket | None = None

    def is_backing_off(self, now_ms: int) -> bool:
        """Whether this entry must not send it requests now."""
        return now_ms < self.backoff_until_ms

    def is_limited(self, now_ms: int) -> bool:
        """Whether it has a rate limit in force."""
        return self.bucket is not None and now_ms < self.bucket.valid_until_ms

    def can_accept(self, now_ms: int) -> bool:
        """Whether it accepts a request now: no backoff, and a token is available."""
        return now_ms >= self.accepts_at_ms(now_ms)

    def accepts_at_ms(self, now_ms: int) -> float:
        """Return the earliest time at which it accepts a request from this entry."""
        if not self.is_limited(now_ms):
            return self.backoff_until_ms
        token_at_ms = min(self.bucket.next_at_ms, self.bucket.valid_until_ms)
        return max(self.backoff_until_ms, token_at_ms)

    def retry_after_ms(self, now_ms: int) -> int:
        """Return the delay after which a request rejected now may be served.

        If only other entries have a share of the server's rate limit, this is the mean
        interval between requests at that rate: a caller's retry may reach any entry.
        """
        backoff_left_ms = max(self.backoff_until_ms - now_ms, 0)
        if not self.is_limited(now_ms):
            return backoff_left_ms
        return math.ceil(
            max(backoff_left_ms, self.bucket.compute_next_in_fleet_ms(now_ms))
        )

    def compute_capacity_until(self, until_ms: float, now_ms: int) -> float:
        """Return how many requests it accepts from this entry until then."""
        if until_ms < self.backoff_until_ms:
            return 0
        if not self.is_limited(now_ms):
            return math.inf
        return self.bucket.count_tokens_until(until_ms)

    def has_announced_leaving(self, now_ms: int) -> bool:
        """Whether it has announced that it is leaving."""
        return now_ms < self.leaves_until_ms

    def apply_backoff(self, backoff_ms: int, now_ms: int) -> None:
        """Start a backoff, unless an earlier one ends later.

        It counts from the arrival of the response, which is later than its sending.
        """
        self.backoff_until_ms = max(self.backoff_until_ms, now_ms + backoff_ms)

    def leave(self, until_ms: int) -> None:
        """Record that it is leaving; the record is valid until `until_ms`."""
        self.leaves_until_ms = max(self.leaves_until_ms, until_ms)


class RateToken:
    """Rate limit token for one request to a server that may have a rate limit.

    It is acquired at most once: when the server is chosen, or else before the request
    is written, if the server has announced its limit in the meantime.
    """

    def __init__(self, pushback: ServerPushback):
        self._pushback = pushback
        self._acquired_from: RateTokenBucket | None = None

    def acquire(self, now_ms: int) -> bool:
        """Acquire a token if one is needed; return False if none is available."""
        if self._acquired_from is not None or not self._pushback.is_limited(now_ms):
            return True
        if not self._pushback.bucket.acquire(now_ms):
            return False
        self._acquired_from = self._pushback.bucket
        return True

    def release(self) -> None:
        """Return the token to the bucket, because nothing was sent."""
        if self._acquired_from is not None:
            self._acquired_from.release()
            self._acquired_from = None


class _HeldToken(RateToken):
    """A token that another entry holds for its request."""

    def __init__(self):
        super().__init__(ServerPushback())

    def acquire(self, now_ms: int) -> bool:
        """Acquire nothing, as the request has its token."""
        return True


HELD_TOKEN = _HeldToken()


@dataclass
class PushbackStore:
    """Stores the pushback of servers, also while they are not in the catalog.

    `leaving_valid_ms` is how long an announcement of leaving is valid, counted from its
    last repetition. It is shorter where a server keeps its name when it restarts.
    """

    leaving_valid_ms: int = LEAVING_VALID_MS
    entry: EntryName = EntryName("")
    group: EntryGroup | None = None
    limits: RateLimitStore = field(default_factory=RateLimitStore)
    _servers: dict[ServerName, ServerPushback] = field(default_factory=dict)

    def of(self, server: ServerName) -> ServerPushback:
        """Return the pushback of a server, a new empty one if there is none.

        A server that is listed again, after a lost heartbeat or a change of its
        service, is still the same run, so that its pushback stays valid.
        """
        return self._servers.get(server) or ServerPushback()

    def record_headers(
        self,
        server: ServerName,
        pushback: ServerPushback,
        headers: PushbackHeaders,
        now_ms: int,
    ) -> None:
        """Apply backoff and leaving from a response; `apply_limit` applies rate limits.

        `pushback` is what `of` returned.
        """
        if headers.backoff_ms is not None:
            pushback.apply_backoff(headers.backoff_ms, now_ms)
        if headers.is_leaving:
            pushback.leave(now_ms + self.leaving_valid_ms)
        self._store(server, pushback)

    def apply_limit(
        self,
        server: ServerName,
        pushback: ServerPushback,
        limit: RateLimit,
        now_ms: int,
    ) -> bool:
        """Apply a server's rate limit or its removal.

        Returns True if the other processes must be informed. `pushback` is what `of`
        returned.
        """
        must_announce = self.limits.record_limit(server, limit)
        newest = self.limits.of(server)
        if newest is None or newest.rate_per_s is None:
            pushback.bucket = None
        else:
            self._update_bucket(server, pushback, newest, now_ms)
        return must_announce

    def apply_group(self, group: EntryGroup, now_ms: int) -> None:
        """Apply a new group of entries with which this entry divides rate limits."""
        if group == self.group:
            return
        self.group = group
        for server, pushback in self._servers.items():
            if pushback.is_limited(now_ms):
                self._apply_share(server, pushback.bucket, now_ms)

    def _update_bucket(
        self,
        server: ServerName,
        pushback: ServerPushback,
        limit: RateLimit,
        now_ms: int,
    ) -> None:
        rate_per_s = max(limit.rate_per_s, MINIMUM_RATE_PER_S)
        if not pushback.is_limited(now_ms):
            pushback.bucket = RateTokenBucket(limit.valid_until_ms, rate_per_s)
            self._apply_share(server, pushback.bucket, now_ms)
        elif pushback.bucket.rate_per_s != rate_per_s:
            pushback.bucket.rate_per_s = rate_per_s
            self._apply_share(server, pushback.bucket, now_ms)
        pushback.bucket.valid_until_ms = limit.valid_until_ms
        self._store(server, pushback)

    def _apply_share(
        self, server: ServerName, bucket: RateTokenBucket, now_ms: int
    ) -> None:
        share = compute_share(server, bucket.rate_per_s, self.entry, self.group)
        bucket.set_share(share, now_ms)

    def _store(self, server: ServerName, pushback: ServerPushback) -> None:
        self._servers.pop(server, None)
        if len(self._servers) >= MAXIMUM_TRACKED_SERVERS:
            self._servers.pop(next(iter(self._servers)))
        self._servers[server] = pushback
