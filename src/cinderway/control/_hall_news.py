"""What a replica passes on of servers: suspects to all, loads within its hall.

News is gathered for a moment and told to all entries in one go, encoded once. How often
that happens depends on how many entries listen, so that what a replica spends on news
does not grow with the fleet.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, ServerName
from cinderway.catalog import (
    CATALOG,
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
from cinderway.control._in_flight import InFlight
from cinderway.control._tellings import Tellings
from cinderway.judgement import FADES_MS

# A suspicion fades from its first moment on; told much later it is worth little.
TELL_TIMEOUT_S = 0.3
# News of this time is told together: well below the time of a request.
NEWS_PAUSE_S = 0.02
# Times that entries are told news in a second, all of them together: it bounds what a
# replica spends on that, however many entries follow.
TELLINGS_PER_S = 1_200
# The same where a server has just failed a request of the own hall: until the others
# know, they send it more.
URGENT_TELLINGS_PER_S = 3_000
# Requests cross halls where the own one has no server left to choose; what other halls
# have under way at theirs is told at this pause. Sooner would cost more messages
# between halls than it saves requests.
AFAR_PAUSE_S = 0.25
# Between two looks whether the hall's entries have changed: many come at one moment.
HALL_ENTRIES_PAUSE_S = 1.0


@dataclass
class HallNews:
    """Tells the entries that follow here, and other replicas, what entries saw."""

    own: AnnounceReplica
    machine: CatalogMachine
    calls: ReplicaCalls
    followers: set[Follower] = field(default_factory=set)
    # Of the own hall's entries, and what other replicas told.
    _seen: "_News" = field(default_factory=lambda: _News())
    _heard: "_News" = field(default_factory=lambda: _News())
    # What is under way at servers, by the entries that follow here and by what other
    # replicas tell of theirs.
    _entries_in_flight: InFlight = field(default_factory=InFlight)
    _replicas_in_flight: InFlight = field(default_factory=InFlight)
    _untold_afar: set[ServerName] = field(default_factory=set)
    _has_news: anyio.Event = field(default_factory=anyio.Event)
    _has_failures: anyio.Event = field(default_factory=anyio.Event)
    _tellings: Tellings = field(init=False)

    def __post_init__(self):
        self._tellings = Tellings(self.calls, TELL_TIMEOUT_S)

    async def run(self) -> None:
        """Pass news on until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tellings.start(tasks)
            tasks.start_soon(self._share_news)
            tasks.start_soon(self._share_afar)
            tasks.start_soon(self._share_hall_entries)

    def take_loads(self, entry: Hashable, loads: Iterable[ServerLoad]) -> None:
        """Take what an entry told of servers' loads."""
        self._take_loads(entry, loads, self._seen, self._entries_in_flight)
        self._untold_afar.update(load.server for load in loads)

    def hear_loads(self, replica: Hashable, loads: Iterable[ServerLoad]) -> None:
        """Take what another replica told; it goes to entries only."""
        self._take_loads(replica, loads, self._heard, self._replicas_in_flight)

    def _take_loads(
        self,
        teller: Hashable,
        loads: Iterable[ServerLoad],
        news: "_News",
        in_flight: InFlight,
    ) -> None:
        news.add_loads(loads)
        for load in loads:
            in_flight.note(teller, load.server, load.in_flight)
        self._has_news.set()

    def forget(self, teller: Hashable) -> None:
        """Drop the requests in flight of an entry or replica that is gone."""
        gone = self._entries_in_flight.forget(teller)
        self._seen.add_loads(ServerLoad(server, NO_LOAD) for server in gone)
        self._untold_afar.update(gone)
        gone = self._replicas_in_flight.forget(teller)
        self._heard.add_loads(ServerLoad(server, NO_LOAD) for server in gone)
        self._has_news.set()

    def take_suspects(self, suspects: SuspectServers) -> None:
        """Take what the entries that follow here made suspect or cleared."""
        self._seen.add_suspects(suspects, monotonic_ms())
        self._has_news.set()
        self._has_failures.set()

    def hear_suspects(self, suspects: SuspectServers) -> None:
        """Take what another replica told; it goes to entries only."""
        self._heard.add_suspects(suspects, monotonic_ms())
        self._has_news.set()

    async def _share_news(self) -> None:
        while True:
            await self._has_news.wait()
            self._has_news = anyio.Event()
            self._has_failures = anyio.Event()
            self._tell_all(monotonic_ms())
            await self._pause()

    async def _pause(self) -> None:
        """Let news gather; a server's failure cuts that short."""
        followers = len(self.followers)
        least_s = followers / URGENT_TELLINGS_PER_S
        await anyio.sleep(least_s)
        with anyio.move_on_after(news_pause_s(followers) - least_s):
            await self._has_failures.wait()

    def _tell_all(self, now_ms: int) -> None:
        """Tell entries and replicas what has come since the last time."""
        seen, self._seen = self._seen, _News()
        heard, self._heard = self._heard, _News()
        self._tell_followers(seen.followed_by(heard), now_ms)
        if seen.suspect_until_ms:
            told = _for_other_halls(seen.suspects(now_ms))
            self._tellings.tell(self._other_replicas(), told)
        if seen.loads:
            told = seen.server_loads(self._entries_in_flight.total)
            self._tellings.tell(self._hall_replicas(), told)

    def _tell_followers(self, news: "_News", now_ms: int) -> None:
        """Tell all entries of suspects, and those of the own hall of loads."""
        suspects = [CATALOG.encode(news.suspects(now_ms))] * bool(news.suspect_until_ms)
        told = news.server_loads(self._fleet_in_flight)
        loads = [CATALOG.encode(told)] * bool(news.loads)
        for follower in self.followers:
            is_home = follower.data_hall == self.own.data_hall
            follower.tell_news(suspects + loads if is_home else suspects)

    async def _share_afar(self) -> None:
        """Tell other halls' replicas what the entries here have under way."""
        while True:
            await anyio.sleep(AFAR_PAUSE_S)
            untold, self._untold_afar = self._untold_afar, set()
            if untold:
                total = self._entries_in_flight.total
                loads = [ServerLoad(name, NO_LOAD, total(name)) for name in untold]
                self._tellings.tell(self._far_replicas(), ServerLoads(loads))

    def _fleet_in_flight(self, server: ServerName) -> int:
        """Return what all entries have under way at a server, as far as known."""
        entries, replicas = self._entries_in_flight, self._replicas_in_flight
        return entries.total(server) + replicas.total(server)

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

    def _other_replicas(self) -> list[Address]:
        return [a for a in self.machine.replicas if a != self.own.address]

    def _hall_replicas(self) -> list[Address]:
        """Return the other replicas of the own hall.

        After a cut the hall's entries may follow different ones; each would know only
        a part of what the hall sends to its servers.
        """
        return [
            address
            for address in self._other_replicas()
            if self.machine.replicas[address].data_hall == self.own.data_hall
        ]

    def _far_replicas(self) -> list[Address]:
        """Return the replicas of other halls."""
        return [a for a in self._other_replicas() if a not in self._hall_replicas()]


@dataclass
class _News:
    """What is known of servers since the last telling, the newest of each."""

    loads: dict[ServerName, ServerLoad] = field(default_factory=dict)
    # When each suspicion ends; in the past where it was taken back.
    suspect_until_ms: dict[ServerName, int] = field(default_factory=dict)

    def add_loads(self, loads: Iterable[ServerLoad]) -> None:
        for load in loads:
            if load.load != NO_LOAD or load.server not in self.loads:
                self.loads[load.server] = load

    def add_suspects(self, suspects: SuspectServers, now_ms: int) -> None:
        for server, left_ms in zip(suspects.servers, suspects.for_ms, strict=True):
            self.suspect_until_ms[server] = now_ms + left_ms

    def followed_by(self, later: "_News") -> "_News":
        """Return both, the later one's word first where both know a server."""
        both = _News(dict(self.loads), self.suspect_until_ms | later.suspect_until_ms)
        both.add_loads(later.loads.values())
        return both

    def server_loads(self, in_flight: Callable[[ServerName], int]) -> ServerLoads:
        return ServerLoads(
            [
                ServerLoad(load.server, load.load, in_flight(load.server))
                for load in self.loads.values()
            ]
        )

    def suspects(self, now_ms: int) -> SuspectServers:
        left_ms = [max(at_ms - now_ms, 0) for at_ms in self.suspect_until_ms.values()]
        return SuspectServers(list(self.suspect_until_ms), left_ms)


def news_pause_s(followers: int) -> float:
    """Return the usual time between two tellings to this many entries."""
    return max(NEWS_PAUSE_S, followers / TELLINGS_PER_S)


def _for_other_halls(suspects: SuspectServers) -> SuspectServers:
    """Return what other halls are to avoid: not for long what only this one misses."""
    for_ms = [min(left_ms, FADES_MS) for left_ms in suspects.for_ms]
    return SuspectServers(suspects.servers, for_ms)
