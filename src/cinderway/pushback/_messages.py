"""Messages by which processes exchange servers' rate limits."""

from collections.abc import Mapping

from cinderway._ids import Address, EntryName, ServerName
from cinderway.pushback._limits import RateLimit
from cinderway.pushback._rate_shares import EntryGroup
from cinderway.wire import Message, PackedMessage, PackedRow


class ServerLimit(PackedRow, frozen=True):
    """The rate limit of one server, in requests per second from the whole fleet.

    `rate_per_s` is None if the server has removed its limit. `ago_ms` is the age of the
    update since an entry received it, so that no clocks are compared across processes.
    """

    server: ServerName
    rate_per_s: float | None
    ago_ms: int

    def limit(self, now_ms: int) -> RateLimit:
        """Return the limit with its time converted to the local clock."""
        return RateLimit(self.rate_per_s, now_ms - max(self.ago_ms, 0))


class ServerLimits(PackedMessage, frozen=True):
    """Rate limits that servers have announced or removed."""

    lines: list[ServerLimit]

    @classmethod
    def of(cls, limits: Mapping[ServerName, RateLimit], now_ms: int) -> "ServerLimits":
        """Build the message that sends limits to another process."""
        return cls(
            [
                ServerLimit(server, limit.rate_per_s, now_ms - limit.received_at_ms)
                for server, limit in limits.items()
            ]
        )


class FleetEntries(Message, frozen=True):
    """The entries connected to one control replica, and the list of all replicas.

    Each entry computes its share of servers' rate limits from this, and its tokens of
    the reserve of client accounts: `reserve_percent` of each account's limit, which is
    computed from the other fields, is divided among `entries` and those `absent`, which
    followed this replica some time ago.
    """

    replica: Address
    replicas: list[Address]
    entries: list[EntryName]
    absent: list[EntryName] = []
    reserve_percent: int = 0
    window_ms: int = 0
    overshoot_ratio: float = 0.0
    slack_requests: float = 0.0

    @property
    def group(self) -> EntryGroup:
        """The group of entries that divide one part of each rate limit."""
        return EntryGroup(
            self.replica, frozenset(self.replicas), frozenset(self.entries)
        )
