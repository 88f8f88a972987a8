"""What processes tell each other of the rates that servers name."""

from collections.abc import Mapping

from cinderway._ids import Address, EntryName, ServerName
from cinderway.pushback._limits import RateLimit
from cinderway.pushback._rate_shares import EntryGroup
from cinderway.wire import Message, PackedMessage, PackedRow


class ServerLimit(PackedRow, frozen=True):
    """The requests a second that a server takes of the whole fleet.

    `rate_per_s` is None where it names no limit any more. `ago_ms` tells how long ago
    an entry heard it, so that no two clocks are compared.
    """

    server: ServerName
    rate_per_s: float | None
    ago_ms: int

    def limit(self, now_ms: int) -> RateLimit:
        """Return the limit by the clock here."""
        return RateLimit(self.rate_per_s, now_ms - max(self.ago_ms, 0))


class ServerLimits(PackedMessage, frozen=True):
    """Limits that servers have named, or named no more."""

    lines: list[ServerLimit]

    @classmethod
    def of(cls, limits: Mapping[ServerName, RateLimit], now_ms: int) -> "ServerLimits":
        """Return the message that brings limits to another process."""
        return cls(
            [
                ServerLimit(server, limit.rate_per_s, now_ms - limit.heard_at_ms)
                for server, limit in limits.items()
            ]
        )


class FleetEntries(Message, frozen=True):
    """The entries that follow a control replica, and which replicas there are.

    By this each of them knows its part of the rates that servers name.
    """

    replica: Address
    replicas: list[Address]
    entries: list[EntryName]

    @property
    def group(self) -> EntryGroup:
        """The group whose part the entries divide among them."""
        return EntryGroup(
            self.replica, frozenset(self.replicas), frozenset(self.entries)
        )
