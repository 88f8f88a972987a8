"""The rates that servers name, as entries and control replicas hold them. Pure."""

from dataclasses import dataclass, field

from cinderway._ids import ServerName

# Servers whose limits are kept; the ones heard of longest ago go first.
LIMITS_KEPT = 4_096
# A limit is believed for so long after it was last heard: those who may send to the
# server hear it with each answer, and tell the others at a change and now and then.
LIMIT_VALID_MS = 600_000
RENEW_MS = 60_000
# A limit that follows the server's load moves with each answer. What moves less than
# this is not told.
CHANGE_SHARE = 0.1


@dataclass(frozen=True)
class RateLimit:
    """What a server named, and when; without a rate it ends an earlier limit."""

    rate_per_s: float | None
    heard_at_ms: int

    def holds(self, now_ms: int) -> bool:
        """Whether the server is still to be spared."""
        return self.rate_per_s is not None and now_ms < self.valid_until_ms

    @property
    def valid_until_ms(self) -> int:
        """Until when it is believed, unless it is heard again."""
        return self.heard_at_ms + LIMIT_VALID_MS

    def differs_from(self, other: "RateLimit") -> bool:
        """Whether somebody who knows the other has to be told of this one."""
        rates = (self.rate_per_s, other.rate_per_s)
        if None in rates:
            return rates[0] != rates[1]
        return abs(rates[0] - rates[1]) > CHANGE_SHARE * max(rates)


@dataclass
class LimitRecord:
    """The newest word of each server, whoever heard it.

    The end of a limit is kept like any other word: an older one that comes later must
    not bring the limit back.
    """

    _limits: dict[ServerName, RateLimit] = field(default_factory=dict)
    _told: dict[ServerName, RateLimit] = field(default_factory=dict)

    def of(self, server: ServerName) -> RateLimit | None:
        """Return what a server said last; None if it never named a limit."""
        return self._limits.get(server)

    def learn(self, server: ServerName, limit: RateLimit) -> bool:
        """Take a word over where it is newer; True if others are to be told of it."""
        known = self._limits.pop(server, None)
        if known is not None and limit.heard_at_ms < known.heard_at_ms:
            self._limits[server] = known
            return False
        if known is None and limit.rate_per_s is None:
            return False
        self._limits[server] = limit
        self._drop_oldest()
        return self._is_news(server, limit)

    def held(self, now_ms: int) -> dict[ServerName, RateLimit]:
        """Return all words that count, also those that a limit has ended."""
        return {
            server: limit
            for server, limit in self._limits.items()
            if now_ms < limit.valid_until_ms
        }

    def _is_news(self, server: ServerName, limit: RateLimit) -> bool:
        told = self._told.get(server)
        if told is not None and not limit.differs_from(told):
            if limit.heard_at_ms - told.heard_at_ms < RENEW_MS:
                return False
        self._told[server] = limit
        return True

    def _drop_oldest(self) -> None:
        while len(self._limits) > LIMITS_KEPT:
            server = next(iter(self._limits))
            del self._limits[server]
            self._told.pop(server, None)
