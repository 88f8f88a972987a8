"""What replicas know of requests that end servers, and tell each other and entries.

Each replica counts the ends that all entries saw: its own entries tell it, and the
other replicas tell it of theirs. So each rules by itself, also without a leader.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, RequestDigest
from cinderway.catalog import CATALOG, CatalogMachine
from cinderway.control._commands import ReplicaCalls
from cinderway.control._follower import Follower
from cinderway.control._tellings import Tellings
from cinderway.poison import (
    EndedRun,
    PoisonTally,
    RequestRuling,
    RequestRulings,
    RequestRuns,
    Ruling,
)
from cinderway.wire import Message

logger = logging.getLogger(__name__)

# All that a server has under way ends at the same moment: told together.
GATHER_S = 0.005
# A replica that was cut off or has started again learns within this time which
# requests are refused, and that they are not any more.
REPEAT_S = 2.0
TELL_TIMEOUT_S = 1.0
# Of one telling; the newest are told.
TOLD_LIMIT = 256


@dataclass
class PoisonNews:
    """Counts servers' ends by request, and tells entries what is ruled."""

    own_address: Address
    machine: CatalogMachine
    calls: ReplicaCalls
    followers: Callable[[], set[Follower]]
    tally: PoisonTally = field(default_factory=PoisonTally)
    # Of entries that follow here, and not yet told to other replicas.
    _ended: list[EndedRun] = field(default_factory=list)
    _good: list[RequestDigest] = field(default_factory=list)
    _rulings: dict[RequestDigest, Ruling] = field(default_factory=dict)
    _has_news: anyio.Event = field(default_factory=anyio.Event)
    _tellings: Tellings = field(init=False)

    def __post_init__(self):
        self._tellings = Tellings(self.calls, TELL_TIMEOUT_S)

    async def run(self) -> None:
        """Pass on what is known until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tellings.start(tasks)
            tasks.start_soon(self._repeat_rulings)
            while True:
                await self._has_news.wait()
                await anyio.sleep(GATHER_S)
                self._has_news = anyio.Event()
                self._tell_what_is_new()

    def take_runs(self, runs: RequestRuns) -> None:
        """Take what an entry saw; the other replicas hear of it."""
        self._ended += runs.ended
        self._good += runs.good
        self.hear_runs(runs)

    def hear_runs(self, runs: RequestRuns) -> None:
        """Take what another replica's entries saw."""
        for ruling in self.tally.note_runs(runs, monotonic_ms()):
            self._note(ruling)
        self._has_news.set()

    def learn(self, told: RequestRulings) -> None:
        """Take over what an entry or another replica holds, where it is newer."""
        for ruling in self.tally.learn_all(told, monotonic_ms()):
            self._note(ruling)

    def take_over(self, rulings: Iterable[Ruling]) -> None:
        """Put rulings in force that are newer than what is held."""
        now_ms = monotonic_ms()
        for ruling in rulings:
            if self.tally.learn(ruling, now_ms):
                self._note(ruling)

    def bar(self, digest: RequestDigest) -> None:
        """Refuse a request on an operator's word."""
        self._rule(self.tally.bar(digest, monotonic_ms()))

    def lift(self, digest: RequestDigest) -> None:
        """Let a request be sent again on an operator's word."""
        self._rule(self.tally.lift(digest, monotonic_ms()))

    def _rule(self, ruling: Ruling) -> None:
        self._note(ruling)
        self._tell_replicas(_told([ruling]))

    def rulings(self) -> RequestRulings:
        """Return what an entry needs to know that follows from now on."""
        return _told(self.tally.rulings(monotonic_ms()))

    def _note(self, ruling: Ruling) -> None:
        self._rulings[ruling.digest] = ruling
        self._has_news.set()
        logger.info("%s", ruling)

    def _tell_what_is_new(self) -> None:
        rulings, self._rulings = self._rulings, {}
        if rulings:
            frame = CATALOG.encode(_told(list(rulings.values())))
            for follower in self.followers():
                follower.tell_news([frame])
        ended, self._ended = self._ended[-TOLD_LIMIT:], []
        good, self._good = self._good[-TOLD_LIMIT:], []
        if ended or good:
            self._tell_replicas(RequestRuns(ended, good))

    async def _repeat_rulings(self) -> None:
        while True:
            await anyio.sleep(REPEAT_S)
            told = self.rulings()
            if told.lines:
                self._tell_replicas(told)

    def _tell_replicas(self, message: Message) -> None:
        others = [a for a in self.machine.replicas if a != self.own_address]
        self._tellings.tell(others, message)


def _told(rulings: list[Ruling]) -> RequestRulings:
    now_ms = monotonic_ms()
    lines = [RequestRuling.of(ruling, now_ms) for ruling in rulings[-TOLD_LIMIT:]]
    return RequestRulings(lines)
