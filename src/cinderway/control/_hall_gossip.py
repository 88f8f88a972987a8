"""Distributes the state of servers: suspects to all halls, loads within the own hall.

Updates are batched for a moment and sent to all entries at once, encoded once. The time
between batches grows with the number of entries that follow, so that the cost of
sending updates does not grow with the fleet.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field

import anyio
import msgspec

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, DataHall, ServerName
from cinderway.catalog import (
    CATALOG,
    NO_GOOD_ANSWER,
    NO_LOAD,
    AnnounceReplica,
    CatalogMachine,
    HallEntries,
    ServerLoad,
    ServerLoads,
    SuspectServers,
)
from cinderway.control._commands import ReplicaCalls
from cinderway.control._follower import Follower
from cinderway.control._in_flight import InFlightCounts
from cinderway.control._relay_directory import RelayDirectory
from cinderway.control._tellings import BestEffortSender
from cinderway.judgement import SUSPICION_MS

# A suspicion decays from its first moment on; sent much later it is worth little.
REPLICA_SEND_TIMEOUT_S = 0.3
# Updates within this time are sent together: well below the duration of a request.
MIN_BATCH_PERIOD_S = 0.02
# Batches sent per second, summed over all entries: it bounds the cost of sending,
# however many entries follow.
MAX_SENDS_PER_S = 1_200
# The same when a server has just failed a request of the own hall: until the other
# entries know, they send it more.
MAX_URGENT_SENDS_PER_S = 3_000
# Requests cross halls when the own hall has no eligible server left. The requests in
# flight are sent to other halls at this period; a shorter one would cost more messages
# between halls than it saves requests.
CROSS_HALL_PERIOD_S = 0.25
# How often the hall's entries are checked for changes; many connect at the same moment.
HALL_ENTRIES_PERIOD_S = 1.0
# Entries of other halls change often in a large fleet, and few of them are ever asked.
RELAYS_PERIOD_MS = 5_000


@dataclass
class HallGossip:
    """Sends entries' observations to entries that follow here and other replicas."""

    own: AnnounceReplica
    machine: CatalogMachine
    calls: ReplicaCalls
    followers: set[Follower] = field(default_factory=set)
    # Updates not yet sent: from the entries that follow here, and from other replicas.
    _entry_updates: "_PendingUpdates" = field(default_factory=lambda: _PendingUpdates())
    _replica_updates: "_PendingUpdates" = field(
        default_factory=lambda: _PendingUpdates()
    )
    # Requests in flight at servers: of the entries that follow here, and of the entries
    # of other replicas.
    _entries_in_flight: InFlightCounts = field(default_factory=InFlightCounts)
    _replicas_in_flight: InFlightCounts = field(default_factory=InFlightCounts)
    _pending_for_other_halls: set[ServerName] = field(default_factory=set)
    _update_pending: anyio.Event = field(default_factory=anyio.Event)
    _new_suspects: anyio.Event = field(default_factory=anyio.Event)
    _sender: BestEffortSender = field(init=False)

    def __post_init__(self):
        self._sender = BestEffortSender(self.calls, REPLICA_SEND_TIMEOUT_S)
        self._relays = RelayDirectory(self.own.address)

    async def run(self) -> None:
        """Send updates until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._sender.start(tasks)
            tasks.start_soon(self._send_updates)
            tasks.start_soon(self._send_to_other_halls)
            tasks.start_soon(self._send_hall_entries)

    def receive_entry_loads(self, entry: Hashable, loads: Iterable[ServerLoad]) -> None:
        """Receive servers' loads from an entry that follows here."""
        self._record_loads(entry, loads, self._entry_updates, self._entries_in_flight)
        self._pending_for_other_halls.update(load.server for load in loads)

    def receive_replica_loads(
        self, replica: Hashable, loads: Iterable[ServerLoad]
    ) -> None:
        """Receive loads from another replica; they are forwarded to entries only."""
        self._record_loads(
            replica, loads, self._replica_updates, self._replicas_in_flight
        )

    def _record_loads(
        self,
        source: Hashable,
        loads: Iterable[ServerLoad],
        updates: "_PendingUpdates",
        in_flight: InFlightCounts,
    ) -> None:
        updates.add_loads(loads)
        for load in loads:
            in_flight.record(source, load.server, load.in_flight)
        self._update_pending.set()

    def remove_source(self, source: Hashable) -> None:
        """Remove the requests in flight of a disconnected entry or replica."""
        gone = self._entries_in_flight.remove_source(source)
        self._entry_updates.add_loads(ServerLoad(server, NO_LOAD) for server in gone)
        self._pending_for_other_halls.update(gone)
        gone = self._replicas_in_flight.remove_source(source)
        self._replica_updates.add_loads(ServerLoad(server, NO_LOAD) for server in gone)
        self._update_pending.set()

    def receive_entry_suspects(self, suspects: SuspectServers) -> None:
        """Receive changed suspicions from the entries that follow here."""
        self._entry_updates.add_suspects(suspects, monotonic_ms())
        self._update_pending.set()
        self._new_suspects.set()

    def receive_replica_suspects(self, suspects: SuspectServers) -> None:
        """Receive suspects from another replica; they are forwarded to entries only."""
        self._replica_updates.add_suspects(suspects, monotonic_ms())
        self._update_pending.set()

    async def _send_updates(self) -> None:
        while True:
            await self._update_pending.wait()
            self._update_pending = anyio.Event()
            self._new_suspects = anyio.Event()
            self._send_pending(monotonic_ms())
            await self._wait_for_next_batch()

    async def _wait_for_next_batch(self) -> None:
        """Let updates accumulate; a new suspect cuts the wait short."""
        followers = len(self.followers)
        min_wait_s = followers / MAX_URGENT_SENDS_PER_S
        await anyio.sleep(min_wait_s)
        with anyio.move_on_after(batch_period_s(followers) - min_wait_s):
            await self._new_suspects.wait()

    def _send_pending(self, now_ms: int) -> None:
        """Send entries and replicas the updates since the last batch."""
        from_entries, self._entry_updates = self._entry_updates, _PendingUpdates()
        from_replicas, self._replica_updates = self._replica_updates, _PendingUpdates()
        self._send_to_followers(from_entries.merged_with(from_replicas), now_ms)
        if from_entries.suspect_until_ms:
            message = _limit_for_other_halls(from_entries.suspects(now_ms))
            self._sender.send(self._other_replicas(), message)
        if from_entries.loads:
            message = from_entries.server_loads(self._entries_in_flight.total)
            self._sender.send(self._same_hall_replicas(), message)

    def _send_to_followers(self, updates: "_PendingUpdates", now_ms: int) -> None:
        """Send suspects to all entries, and loads to those of the own hall."""
        suspects = [CATALOG.encode(updates.suspects(now_ms))] * bool(
            updates.suspect_until_ms
        )
        message = updates.server_loads(self._fleet_in_flight)
        loads = [CATALOG.encode(message)] * bool(updates.loads)
        for follower in self.followers:
            is_same_hall = follower.data_hall == self.own.data_hall
            follower.queue_frames(suspects + loads if is_same_hall else suspects)

    async def _send_to_other_halls(self) -> None:
        """Send other halls' replicas the requests in flight of the entries here."""
        while True:
            await anyio.sleep(CROSS_HALL_PERIOD_S)
            pending, self._pending_for_other_halls = (
                self._pending_for_other_halls,
                set(),
            )
            if pending:
                total = self._entries_in_flight.total
                loads = [ServerLoad(name, NO_LOAD, total(name)) for name in pending]
                self._sender.send(self._other_hall_replicas(), ServerLoads(loads))

    def _fleet_in_flight(self, server: ServerName) -> int:
        """Return all entries' known requests in flight at a server."""
        entries, replicas = self._entries_in_flight, self._replicas_in_flight
        return entries.total(server) + replicas.total(server)

    def receive_replica_relays(self, replica: str, addresses: list[Address]) -> None:
        """Receive the entries of another replica that can relay requests."""
        self._relays.record_shared(replica, addresses, monotonic_ms())

    async def _send_hall_entries(self) -> None:
        """Send entries each other's addresses, and other replicas those of some.

        The entries of a hall exchange updates directly while control is unreachable,
        and all entries relay requests for each other.
        """
        sent: dict[Follower, HallEntries] = {}
        relays: list[Address] = []
        relays_until_ms = 0
        while True:
            await anyio.sleep(HALL_ENTRIES_PERIOD_S)
            now_ms = monotonic_ms()
            own = [f.peers_address for f in self.followers if f.peers_address]
            shared = self._relays.pop_due(own, now_ms)
            if shared is not None:
                self._sender.send(self._other_replicas(), ServerLoads([], shared))
            if now_ms >= relays_until_ms:
                relays_until_ms = now_ms + RELAYS_PERIOD_MS
                relays = self._relays.select_relays(own, now_ms)
            current = self._build_hall_entries(relays)
            for follower, entries in current.items():
                # Also sent if another follower has the same: a restarted one has none.
                if sent.get(follower) != entries:
                    follower.queue_hall_entries(entries)
            sent = current

    def _build_hall_entries(self, relays: list[Address]) -> dict[Follower, HallEntries]:
        """Return what each follower is told: its own hall's entries, and relays."""
        by_hall: dict[DataHall, list[Address]] = {}
        for follower in self.followers:
            addresses = by_hall.setdefault(follower.data_hall, [])
            if follower.peers_address:
                addresses.append(follower.peers_address)
        messages = {
            hall: HallEntries(
                sorted(addresses), [a for a in relays if a not in addresses]
            )
            for hall, addresses in by_hall.items()
        }
        return {follower: messages[follower.data_hall] for follower in self.followers}

    def _other_replicas(self) -> list[Address]:
        return [a for a in self.machine.replicas if a != self.own.address]

    def _same_hall_replicas(self) -> list[Address]:
        """Return the other replicas of the own hall.

        After a network partition the hall's entries may follow different replicas; each
        would know only a part of what the hall sends to its servers.
        """
        return [
            address
            for address in self._other_replicas()
            if self.machine.replicas[address].data_hall == self.own.data_hall
        ]

    def _other_hall_replicas(self) -> list[Address]:
        """Return the replicas of other halls."""
        return [
            a for a in self._other_replicas() if a not in self._same_hall_replicas()
        ]


@dataclass
class _PendingUpdates:
    """Updates since the last batch, only the newest of each server."""

    loads: dict[ServerName, ServerLoad] = field(default_factory=dict)
    # When each suspicion ends; in the past if it was withdrawn.
    suspect_until_ms: dict[ServerName, int] = field(default_factory=dict)

    def add_loads(self, loads: Iterable[ServerLoad]) -> None:
        for load in loads:
            known = self.loads.get(load.server)
            if known is None:
                self.loads[load.server] = load
            else:
                newest = known if load.load == NO_LOAD else load
                other = load if newest is known else known
                self.loads[load.server] = _keep_newest_good_answer(newest, other)

    def add_suspects(self, suspects: SuspectServers, now_ms: int) -> None:
        for server, remaining_ms in zip(suspects.servers, suspects.for_ms, strict=True):
            self.suspect_until_ms[server] = now_ms + remaining_ms

    def merged_with(self, later: "_PendingUpdates") -> "_PendingUpdates":
        """Return the union; `later` wins where both have a server."""
        merged = _PendingUpdates(
            dict(self.loads), self.suspect_until_ms | later.suspect_until_ms
        )
        merged.add_loads(later.loads.values())
        return merged

    def server_loads(self, in_flight: Callable[[ServerName], int]) -> ServerLoads:
        return ServerLoads(
            [
                msgspec.structs.replace(load, in_flight=in_flight(load.server))
                for load in self.loads.values()
            ]
        )

    def suspects(self, now_ms: int) -> SuspectServers:
        remaining_ms = [
            max(until_ms - now_ms, 0) for until_ms in self.suspect_until_ms.values()
        ]
        return SuspectServers(list(self.suspect_until_ms), remaining_ms)


def _keep_newest_good_answer(load: ServerLoad, other: ServerLoad) -> ServerLoad:
    """Return a load with the newest good answer that it or another one reports.

    Their ages are compared as if both had arrived now: they arrived within one batch.
    """
    ages_ms = {load.good_age_ms, other.good_age_ms} - {NO_GOOD_ANSWER}
    if not ages_ms or min(ages_ms) == load.good_age_ms:
        return load
    return msgspec.structs.replace(load, good_age_ms=min(ages_ms))


def batch_period_s(followers: int) -> float:
    """Return the usual time between two batches to this many entries."""
    return max(MIN_BATCH_PERIOD_S, followers / MAX_SENDS_PER_S)


def _limit_for_other_halls(suspects: SuspectServers) -> SuspectServers:
    """Shorten suspicions for other halls to SUSPICION_MS at most.

    A server may be unreachable from this hall alone; then other halls must not avoid it
    for long.
    """
    for_ms = [min(remaining_ms, SUSPICION_MS) for remaining_ms in suspects.for_ms]
    return SuspectServers(suspects.servers, for_ms)
