"""Model entries: the code that serves callers, over links that only take time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache

import anyio
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, EntryName
from cinderway._operators import Metrics
from cinderway.catalog import (
    CATALOG,
    AskAllowances,
    HallEntries,
    ServerLoads,
    TakeRetry,
    VerdictBatch,
)
from cinderway.entry._blackboard import Blackboard, ServiceState
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._attempts import Attempts
from cinderway.entry.callers._route_handler import RouteHandler
from cinderway.entry.fleet._allowances import Allowances
from cinderway.entry.fleet._catalog_reports import CatalogReports
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._messages import DEFAULT_HEADER_NAMES
from cinderway.experiment._connections import ModelConnections
from cinderway.experiment._halls import ModelHall
from cinderway.experiment._servers import ModelServer
from cinderway.experiment._virtual_time import call_later
from cinderway.judgement import EvidenceLog
from cinderway.wire import Message

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
# As many frames as one moment's news to all halls comes to.
FRAMES_REMEMBERED = 256


@lru_cache(maxsize=FRAMES_REMEMBERED)
def _decoded(frame: bytes) -> Message:
    """Return a frame's message; all entries of a hall are told the same frames."""
    return CATALOG.decode(frame, peer="model").message


@dataclass(eq=False)
class ModelEntry:
    """One entry, from its start to its end. Also its source of retries."""

    name: EntryName
    hall: ModelHall
    servers: dict[Address, ModelServer]
    tasks: TaskGroup
    rng: random.Random
    peers_address: Address = Address("")
    _scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    _serving: set[anyio.CancelScope] = field(default_factory=set)

    def __post_init__(self):
        experiment = self.hall.experiment
        self.data_hall = self.hall.name
        self._way_ms = experiment.own_hall_ms
        board = Blackboard(self.name, self.data_hall, self.rng)
        evidence = EvidenceLog()
        self.state = CatalogBoard(board, evidence, experiment.retry_percent)
        self.connections = ModelConnections(
            experiment, self.servers, self.data_hall, self.tasks
        )
        dispatcher = Dispatcher(board, self.connections, evidence)
        attempts = Attempts(
            dispatcher,
            Metrics(),
            ANSWER_LIMIT_BYTES,
            consumes_budget_for_sheds=True,
            budget=self,
        )
        self.handler = RouteHandler(
            self.state,
            attempts,
            DEFAULT_HEADER_NAMES,
            Metrics(),
            Allowances(self._ask_allowances),
        )
        self._reports = CatalogReports(self.name, self.data_hall, self.state)

    @property
    def entry(self) -> EntryName:
        """Its name, as a follower of the replica has it."""
        return self.name

    @property
    def is_dark(self) -> bool:
        """Whether it has lost power."""
        return self.connections.is_dark

    async def run(self) -> None:
        """Follow the hall's replica until power is lost."""
        with self._scope:
            await anyio.sleep(2 * self._way_ms / 1000)
            self.state.install(self.hall.machine.update_since(0), monotonic_ms())
            self.hall.service.followers.add(self)
            known = self.hall.service.poison.rulings()
            self.queue_frames([CATALOG.encode(known)])
            self.queue_frames([CATALOG.encode(self.hall.service.limits.limits())])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._reports.send_evidence, self)
                tasks.start_soon(self._reports.send_loads, self)
                tasks.start_soon(self._reports.send_ended_runs, self)
                tasks.start_soon(self._reports.send_rejecting_servers, self)
                tasks.start_soon(self._reports.send_limits, self)

    async def serve(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one request; without power it is never answered."""
        with anyio.CancelScope() as own:
            self._serving.add(own)
            try:
                await self.handler(scope, receive, send)
            finally:
                self._serving.discard(own)

    def lose_power(self) -> None:
        """End at once, without a word to anybody."""
        self.connections.is_dark = True
        self.hall.service.followers.discard(self)
        self.hall.service.gossip.remove_source(self.name)
        self._scope.cancel()
        for scope in self._serving:
            scope.cancel()

    # To the replica.

    async def send(self, message: Message) -> None:
        """Send what the entry reports, as over its connection to the replica."""
        call_later(self._way_ms, self.hall.take, self.name, message)

    async def aclose(self) -> None:
        """Close nothing: the model's link does not break."""

    def credit(self, service: ServiceState) -> None:
        """Note a request that came in."""
        self._reports.first_requests[service.row.name] += 1

    async def consume(
        self, service: ServiceState, *, until_ms: float, after_failure: bool = True
    ) -> bool:
        """Take one retry from the shared budget; False if there is none left."""
        await anyio.sleep(2 * self._way_ms / 1000)
        return self.hall.service.grant_retry(TakeRetry(service.row.name, after_failure))

    async def _ask_allowances(self, asked: AskAllowances, timeout_s: float) -> None:
        """Answer nothing: the model has no accounts."""

    # From the replica.

    def queue_frames(self, frames: list[bytes]) -> None:
        """Take news of servers, as a follower of the replica does."""
        for frame in frames:
            call_later(self._way_ms, self._hear, frame)

    def queue_verdicts(self, frame: bytes) -> None:
        """Take verdicts, as a follower of the replica does."""
        call_later(self._way_ms, self._hear, frame)

    def queue_hall_entries(self, entries: HallEntries) -> None:
        """Take nothing: control never goes away in the model."""

    def _hear(self, frame: bytes) -> None:
        match _decoded(frame):
            case VerdictBatch() as verdicts:
                self.state.apply(verdicts)
            case ServerLoads() as loads:
                self.state.receive_fleet_loads(loads, monotonic_ms())
            case news:
                self.state.receive_message(news, monotonic_ms())
