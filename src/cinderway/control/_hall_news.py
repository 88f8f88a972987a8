"""What a replica passes on of servers: suspects to all, loads within its hall."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio

from cinderway._errors import CinderwayError
from cinderway._ids import Address, EntryName, ServerName
from cinderway.catalog import (
    AnnounceReplica,
    CatalogMachine,
    HallEntries,
    ServerLoad,
    ServerLoads,
    SuspectServers,
)
from cinderway.control._commands import ReplicaCalls
from cinderway.control._follower import Follower
from cinderway.judgement import FADES_MS

logger = logging.getLogger(__name__)

# A suspicion fades from its first moment on; told much later it is worth little.
TELL_TIMEOUT_S = 0.3
# Loads that entries tell within this time are passed on together: well below the time
# of a request, and at most fifty messages a second to an entry, however many there are.
LOAD_PAUSE_S = 0.02
# Between two looks whether the hall's entries have changed: many come at one moment.
HALL_ENTRIES_PAUSE_S = 1.0


@dataclass
class HallNews:
    """Tells the entries that follow here, and other replicas, what entries saw."""

    own: AnnounceReplica
    machine: CatalogMachine
    calls: ReplicaCalls
    followers: set[Follower] = field(default_factory=set)
    _loads: dict[ServerName, ServerLoad] = field(default_factory=dict)
    _loads_changed: anyio.Event = field(default_factory=anyio.Event)
    _tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Pass news on until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._share_loads)
            tasks.start_soon(self._share_hall_entries)

    def take_loads(self, loads: Iterable[ServerLoad]) -> None:
        """Take what an entry told of servers' loads."""
        self._loads.update((load.server, load) for load in loads)
        self._loads_changed.set()

    def tell_loads(self, loads: list[ServerLoad]) -> None:
        """Tell the entries of the own hall that follow here; none cross halls."""
        for follower in self.followers:
            if follower.data_hall == self.own.data_hall:
                follower.tell_loads(loads)

    def tell_suspects(
        self, suspects: SuspectServers, without: EntryName | None = None
    ) -> None:
        """Tell all entries that follow here, but the one that knows already."""
        for follower in self.followers:
            if follower.entry != without:
                follower.tell_suspects(suspects)

    def tell_replicas_of_suspects(self, suspects: SuspectServers) -> None:
        """Tell all other replicas of servers that failed in this hall."""
        told = _for_other_halls(suspects)
        for address in self.machine.replicas:
            if address != self.own.address:
                self._tasks.start_soon(self._tell_replica, address, told)

    async def _share_loads(self) -> None:
        while True:
            await self._loads_changed.wait()
            self._loads_changed = anyio.Event()
            loads, self._loads = list(self._loads.values()), {}
            self.tell_loads(loads)
            for address in self._hall_replicas():
                self._tasks.start_soon(self._tell_replica, address, ServerLoads(loads))
            await anyio.sleep(LOAD_PAUSE_S)

    async def _share_hall_entries(self) -> None:
        """Tell the own hall's entries of each other, for when control is away."""
        told_to: set[Follower] = set()
        while True:
            await anyio.sleep(HALL_ENTRIES_PAUSE_S)
            home = {f for f in self.followers if f.data_hall == self.own.data_hall}
            if home == told_to:
                continue
            # Also where the addresses are the same: one that was restarted knows none.
            told_to = home
            addresses = sorted(f.peers_address for f in home if f.peers_address)
            for follower in home:
                follower.tell_hall_entries(HallEntries(addresses))

    def _hall_replicas(self) -> list[Address]:
        """Return the other replicas of the own hall.

        After a cut the hall's entries may follow different ones; each would know only
        a part of what the hall sends to its servers.
        """
        return [
            address
            for address, replica in self.machine.replicas.items()
            if replica.data_hall == self.own.data_hall and address != self.own.address
        ]

    async def _tell_replica(
        self, address: Address, news: SuspectServers | ServerLoads
    ) -> None:
        try:
            await self.calls.call(address, news, TELL_TIMEOUT_S)
        except CinderwayError as error:
            logger.debug("a replica was not told of servers: %s", error)


def _for_other_halls(suspects: SuspectServers) -> SuspectServers:
    """Return what other halls are to avoid: not for long what only this one misses."""
    for_ms = [min(left_ms, FADES_MS) for left_ms in suspects.for_ms]
    return SuspectServers(suspects.servers, for_ms)
