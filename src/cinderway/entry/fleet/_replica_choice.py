"""Choose the control replica that an entry follows. Pure: time is passed in."""

from dataclasses import dataclass, field

from cinderway._ids import Address, DataHall, EntryName
from cinderway.catalog import ReplicaAddress
from cinderway.routing import rendezvous_rank

# How long a replica that failed stays at the end of the order.
AVOID_MS = 5_000
# Shorter for a replica that has no leader: an election takes at most 1.5 s.
LEADERLESS_AVOID_MS = 2_000


@dataclass
class ReplicaChoice:
    """Orders the control replicas that one entry knows.

    Replicas of the entry's own data hall come first, those that failed recently last.
    `seeds` are HTTP addresses; their hosts run control replicas, which the entry can
    try before any replica has listed the others.
    """

    entry: EntryName
    data_hall: DataHall
    control_port: int
    seeds: tuple[Address, ...]
    replicas: list[ReplicaAddress] = field(default_factory=list)
    # The replica that the entry follows now.
    followed: Address | None = None
    _avoid_until_ms: dict[Address, int] = field(default_factory=dict)

    def update_replicas(self, replicas: list[ReplicaAddress]) -> None:
        """Replace the known replicas; an empty list, from a new replica, is ignored."""
        if replicas:
            self.replicas = replicas

    def candidates(self, now_ms: int) -> list[Address]:
        """Return replicas in the order to try them, which differs between entries."""
        halls = {replica.address: replica.data_hall for replica in self.replicas}
        addresses = set(halls) | set(self._seed_addresses())

        def rank(address: Address) -> tuple:
            is_home = halls.get(address) == self.data_hall
            # All entries of a data hall prefer the same replica of that hall, so that
            # their evidence is assessed together.
            key = self.data_hall if is_home else self.entry
            is_avoided = self._is_avoided(address, now_ms)
            return (is_avoided, not is_home, rendezvous_rank(key, address))

        return sorted(addresses, key=rank)

    def standbys(self, now_ms: int) -> list[Address]:
        """Return all replicas but the followed one, in the order to try them."""
        return [a for a in self.candidates(now_ms) if a != self.followed]

    def avoid(self, address: Address, now_ms: int, for_ms: int = AVOID_MS) -> None:
        """Move a failed replica to the end of the order for a while."""
        self._avoid_until_ms[address] = now_ms + for_ms

    def has_alternative(self, address: Address, now_ms: int) -> bool:
        """Whether another replica is known that has not failed recently."""
        return any(
            other != address and not self._is_avoided(other, now_ms)
            for other in self.candidates(now_ms)
        )

    def find_hall(self, address: Address) -> str:
        """Return a replica's data hall, or "" if it is not known."""
        for replica in self.replicas:
            if replica.address == address:
                return replica.data_hall
        return ""

    def is_home(self, address: Address) -> bool:
        """Whether a replica is known to be in the entry's own data hall."""
        return self.find_hall(address) == self.data_hall

    def has_home_alternative(self, address: Address, now_ms: int) -> bool:
        """Whether this replica is in another data hall and one of the own is usable."""
        if self.is_home(address):
            return False
        return any(
            replica.data_hall == self.data_hall
            and not self._is_avoided(replica.address, now_ms)
            for replica in self.replicas
        )

    def _seed_addresses(self) -> list[Address]:
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [Address(f"{host}:{self.control_port}") for host in hosts]

    def _is_avoided(self, address: Address, now_ms: int) -> bool:
        return self._avoid_until_ms.get(address, 0) > now_ms
