"""What replicas know of the rates that servers name, and tell of them."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, ServerName
from cinderway.catalog import CATALOG, CatalogMachine
from cinderway.control._commands import ReplicaCalls
from cinderway.control._follower import Follower
from cinderway.control._tellings import Tellings
from cinderway.pushback import LimitRecord, ServerLimits

TELL_TIMEOUT_S = 1.0
# What is new is told again to the other replicas, for those that were cut off.
REPEAT_S = 5.0
REPEATED_FOR_MS = 20_000


@dataclass
class LimitNews:
    """Passes on what entries hear from servers that name a rate."""

    own_address: Address
    machine: CatalogMachine
    calls: ReplicaCalls
    followers: Callable[[], set[Follower]]
    record: LimitRecord = field(default_factory=LimitRecord)
    _untold: set[ServerName] = field(default_factory=set)
    # Of these, what entries that follow here told: the other replicas hear of it.
    _untold_afar: set[ServerName] = field(default_factory=set)
    _has_news: anyio.Event = field(default_factory=anyio.Event)
    _tellings: Tellings = field(init=False)

    def __post_init__(self):
        self._tellings = Tellings(self.calls, TELL_TIMEOUT_S)

    async def run(self) -> None:
        """Pass on what is known until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tellings.start(tasks)
            tasks.start_soon(self._repeat)
            while True:
                await self._has_news.wait()
                self._has_news = anyio.Event()
                self._tell_what_is_new(monotonic_ms())

    def take(self, told: ServerLimits) -> None:
        """Take what an entry that follows here heard."""
        self._untold_afar.update(self._learn(told))

    def hear(self, told: ServerLimits) -> None:
        """Take what another replica knows; it goes to entries only."""
        self._learn(told)

    def limits(self) -> ServerLimits:
        """Return what an entry needs to know that follows from now on."""
        now_ms = monotonic_ms()
        return ServerLimits.of(self.record.held(now_ms), now_ms)

    def _learn(self, told: ServerLimits) -> list[ServerName]:
        """Take over what is newer; return the servers that others are to hear of."""
        now_ms = monotonic_ms()
        news = [
            line.server
            for line in told.lines
            if self.record.learn(line.server, line.limit(now_ms))
        ]
        if news:
            self._untold.update(news)
            self._has_news.set()
        return news

    def _tell_what_is_new(self, now_ms: int) -> None:
        untold, self._untold = self._untold, set()
        frame = CATALOG.encode(self._told(untold, now_ms))
        for follower in self.followers():
            follower.tell_news([frame])
        afar, self._untold_afar = self._untold_afar, set()
        if afar:
            self._tell_replicas(self._told(afar, now_ms))

    def _told(self, servers: set[ServerName], now_ms: int) -> ServerLimits:
        held = self.record.held(now_ms)
        return ServerLimits.of({s: held[s] for s in servers & held.keys()}, now_ms)

    async def _repeat(self) -> None:
        while True:
            await anyio.sleep(REPEAT_S)
            now_ms = monotonic_ms()
            recent = {
                server: limit
                for server, limit in self.record.held(now_ms).items()
                if now_ms - limit.heard_at_ms < REPEATED_FOR_MS
            }
            if recent:
                self._tell_replicas(ServerLimits.of(recent, now_ms))

    def _tell_replicas(self, told: ServerLimits) -> None:
        others = [a for a in self.machine.replicas if a != self.own_address]
        self._tellings.tell(others, told)
