"""Choose the control replica that an entry follows. Pure: time is passed in."""

from dataclasses import dataclass, field

from cinderway._ids import Address, DataHall, EntryName
from cinderway.catalog import ReplicaAddress
from cinderway.routing import rank_of

# How long a replica that failed comes last in the order.
AVOID_MS = 5_000
# One without a leader may have one again after an election, 1.5 s at most.
LEADERLESS_AVOID_MS = 2_000


@dataclass
class ReplicaChoice:
    """Orders the control replicas that one entry knows.

    Replicas of the entry's own data hall come first, those that failed a moment ago
    last. `seeds` are HTTP addresses; the replicas on their hosts are known to the entry
    before any replica has told it of others.
    """

    entry: EntryName
    data_hall: DataHall
    control_port: int
    seeds: tuple[Address, ...]
    replicas: list[ReplicaAddress] = field(default_factory=list)
    # The one that serves the entry now.
    followed: Address | None = None
    _avoid_until_ms: dict[Address, int] = field(default_factory=dict)

    def learn(self, replicas: list[ReplicaAddress]) -> None:
        """Take over what a replica says of all; one just started may know of none."""
        if replicas:
            self.replicas = replicas

    def candidates(self, now_ms: int) -> list[Address]:
        """Replicas in the order to try them; each entry has its own order."""
        halls = {replica.address: replica.data_hall for replica in self.replicas}
        addresses = set(halls) | set(self._seed_addresses())

        def rank(address: Address) -> tuple:
            is_home = halls.get(address) == self.data_hall
            # All entries of a hall choose the same one: observations are judged
            # together there.
            key = self.data_hall if is_home else self.entry
            is_avoided = self._is_avoided(address, now_ms)
            return (is_avoided, not is_home, rank_of(key, address))

        return sorted(addresses, key=rank)

    def standbys(self, now_ms: int) -> list[Address]:
        """Replicas besides the followed one, in the order to try them."""
        return [a for a in self.candidates(now_ms) if a != self.followed]

    def avoid(self, address: Address, now_ms: int, for_ms: int = AVOID_MS) -> None:
        """Put a replica last for a while: it failed."""
        self._avoid_until_ms[address] = now_ms + for_ms

    def has_other(self, address: Address, now_ms: int) -> bool:
        """Whether a replica besides this one is known that did not just fail."""
        return any(
            other != address and not self._is_avoided(other, now_ms)
            for other in self.candidates(now_ms)
        )

    def hall_of(self, address: Address) -> str:
        """Return a replica's data hall, or "" while it is not known."""
        for replica in self.replicas:
            if replica.address == address:
                return replica.data_hall
        return ""

    def is_home(self, address: Address) -> bool:
        """Whether a replica is known to stand in the entry's own data hall."""
        return self.hall_of(address) == self.data_hall

    def has_better(self, address: Address, now_ms: int) -> bool:
        """Whether a replica of the own hall is known, and this one is not in it."""
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
