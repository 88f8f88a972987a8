"""Servers' rate limits as stored by entries and control replicas. Pure."""

from dataclasses import dataclass, field

from cinderway._ids import ServerName

# Maximum number of servers whose limits are kept; the least recently updated ones are
# evicted first.
MAXIMUM_LIMITS = 4_096
# How long a limit is valid after it was last received. Entries that may send to the
# server receive it with each response. They announce it to the others when it changes,
# and otherwise every RENEWAL_INTERVAL_MS.
LIMIT_VALID_MS = 600_000
RENEWAL_INTERVAL_MS = 60_000
# Relative change below which a new value is not announced: a limit that follows the
# server's load changes with each response.
MINIMUM_CHANGE_SHARE = 0.1


@dataclass(frozen=True)
class RateLimit:
    """A server's rate limit and when it was received.

    Without a rate, it records that the server has removed its limit.
    """

    rate_per_s: float | None
    received_at_ms: int

    @property
    def valid_until_ms(self) -> int:
        """When it expires unless it is received again."""
        return self.received_at_ms + LIMIT_VALID_MS

    def differs_from(self, other: "RateLimit") -> bool:
        """Whether the two differ enough that the change must be announced."""
        rates = (self.rate_per_s, other.rate_per_s)
        if None in rates:
            return rates[0] != rates[1]
        return abs(rates[0] - rates[1]) > MINIMUM_CHANGE_SHARE * max(rates)


@dataclass
class RateLimitStore:
    """The most recent rate limit of each server, whichever process received it.

    The removal of a limit is stored like a limit, so that an older update that arrives
    later does not restore it.
    """

    _limits: dict[ServerName, RateLimit] = field(default_factory=dict)
    _announced: dict[ServerName, RateLimit] = field(default_factory=dict)

    def of(self, server: ServerName) -> RateLimit | None:
        """Return a server's most recent limit; None if it never had one."""
        return self._limits.get(server)

    def record_limit(self, server: ServerName, limit: RateLimit) -> bool:
        """Store a limit if it is newer; return True if it must be announced."""
        known = self._limits.pop(server, None)
        if known is not None and limit.received_at_ms < known.received_at_ms:
            self._limits[server] = known
            return False
        if known is None and limit.rate_per_s is None:
            return False
        self._limits[server] = limit
        self._evict_oldest()
        return self._update_announced(server, limit)

    def get_valid(self, now_ms: int) -> dict[ServerName, RateLimit]:
        """Return all limits that have not expired, and all unexpired removals."""
        return {
            server: limit
            for server, limit in self._limits.items()
            if now_ms < limit.valid_until_ms
        }

    def _update_announced(self, server: ServerName, limit: RateLimit) -> bool:
        """Return whether a limit must be announced, and if so mark it as announced."""
        announced = self._announced.get(server)
        if announced is not None and not limit.differs_from(announced):
            if limit.received_at_ms - announced.received_at_ms < RENEWAL_INTERVAL_MS:
                return False
        self._announced[server] = limit
        return True

    def _evict_oldest(self) -> None:
        while len(self._limits) > MAXIMUM_LIMITS:
            server = next(iter(self._limits))
            del self._limits[server]
            self._announced.pop(server, None)
