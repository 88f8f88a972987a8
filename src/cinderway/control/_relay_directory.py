"""Knows the entries of the whole fleet that can relay requests for others. Pure.

An entry that loses its paths to servers asks others to relay its requests. If its whole
data hall has lost them, these must be in other halls, which follow other replicas.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cinderway._ids import Address
from cinderway.routing import rendezvous_rank

# Entries of which a replica tells another one, and of which it tells an entry: enough
# to spread the requests of a hall, and a small message in a fleet of a thousand.
SHARED_LIMIT = 32
SENT_LIMIT = 64
# Interval of telling other replicas, which may have restarted; they forget entries of
# which they are not told again for several intervals.
SHARE_INTERVAL_MS = 10_000
FORGET_AFTER_MS = 60_000


@dataclass(frozen=True)
class _Shared:
    addresses: list[Address]
    received_at_ms: int


@dataclass
class RelayDirectory:
    """The addresses that other replicas shared, as known to one replica."""

    own_address: Address
    _by_replica: dict[str, _Shared] = field(default_factory=dict)
    _last_shared: list[Address] = field(default_factory=list)
    _last_shared_at_ms: int | None = None

    def record_shared(
        self, replica: str, addresses: list[Address], now_ms: int
    ) -> None:
        """Record the addresses that another replica shared."""
        self._by_replica[replica] = _Shared(addresses, now_ms)

    def pop_due(
        self, own_entries: Iterable[Address], now_ms: int
    ) -> list[Address] | None:
        """Return the addresses to share with other replicas now; None if not due."""
        shared = self._select(own_entries, SHARED_LIMIT)
        last_ms = self._last_shared_at_ms
        is_due = last_ms is None or now_ms >= last_ms + SHARE_INTERVAL_MS
        if shared == self._last_shared and not is_due:
            return None
        self._last_shared, self._last_shared_at_ms = shared, now_ms
        return shared

    def select_relays(
        self, own_entries: Iterable[Address], now_ms: int
    ) -> list[Address]:
        """Return the entries of which the entries that follow here are told."""
        self._by_replica = {
            replica: shared
            for replica, shared in self._by_replica.items()
            if now_ms < shared.received_at_ms + FORGET_AFTER_MS
        }
        known = set(own_entries)
        for shared in self._by_replica.values():
            known.update(shared.addresses)
        return self._select(known, SENT_LIMIT)

    def _select(self, addresses: Iterable[Address], limit: int) -> list[Address]:
        """Select by a hash, so that one entry more or less changes few others."""
        ranked = sorted(
            addresses, key=lambda entry: rendezvous_rank(self.own_address, entry)
        )
        return sorted(ranked[:limit])
