"""Model entries: the proxy's own request handling, over simulated links.

A simulated link delays messages and never loses them.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache

import anyio
import xxhash
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
from cinderway.entry.fleet._relay_server import RelayServer
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._messages import DEFAULT_HEADER_NAMES
from cinderway.entry.servers._relays import Relays
from cinderway.entry.servers._uplink_check import UplinkCheck
from cinderway.experiment._connections import ModelConnections
from cinderway.experiment._halls import ModelHall
from cinderway.experiment._relays import RelayLinks
from cinderway.experiment._servers import ModelServer
from cinderway.experiment._virtual_time import call_later
from cinderway.judgement import EvidenceLog
from cinderway.wire import Identity, Message

IDENTITY = Identity("model", b"")
ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
# Enough for the different frames that the control replicas of all halls send to their
# entries at about the same time.
DECODED_FRAME_CACHE_SIZE = 256


@lru_cache(maxsize=DECODED_FRAME_CACHE_SIZE)
def _decode_frame(frame: bytes) -> Message:
    """Decode a frame. Cached, since all entries of a hall receive the same frames."""
    return CATALOG.decode(frame, peer="model").message


@dataclass(eq=False)
class ModelEntry:
    """One entry process, from its start until it loses power.

    It also is the entry's retry budget (RetrySource) and, towards the hall's control
    replica, both the connection that reports are sent on and the Follower that updates
    are sent to.
    """

    name: EntryName
    hall: ModelHall
    servers: dict[Address, ModelServer]
    tasks: TaskGroup
    rng: random.Random
    # The entries of all halls, by the addresses at which they relay requests.
    entries: dict[Address, "ModelEntry"] = field(default_factory=dict)
    peers_address: Address = Address("")
    _lifetime: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    _request_scopes: set[anyio.CancelScope] = field(default_factory=set)

    def __post_init__(self):
        experiment = self.hall.experiment
        self.data_hall = self.hall.name
        self._one_way_ms = experiment.own_hall_ms
        board = Blackboard(self.name, self.data_hall, self.rng)
        evidence = EvidenceLog()
        self.state = CatalogBoard(board, evidence, experiment.retry_percent)
        self.connections = ModelConnections(
            experiment,
            self.servers,
            self.data_hall,
            self.tasks,
            uplinks=board.uplinks,
        )
        dispatcher = Dispatcher(board, self.connections, evidence)
        self.relay_server = RelayServer(board, dispatcher, self.state.poison)
        # Of its own, so that the other decisions draw the same as without checks.
        path_rng = random.Random(self.name)
        self._check = UplinkCheck(board, self.connections, path_rng)
        if experiment.cut_off.relays:
            dispatcher.relays = self._build_relays(path_rng)
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

    def _build_relays(self, rng: random.Random) -> Relays:
        links = RelayLinks(
            self.hall.experiment, self.name, self.data_hall, self.entries, self.tasks
        )
        return Relays(
            self.state.relay_peers,
            IDENTITY,
            DEFAULT_HEADER_NAMES,
            connect=links.connect,
            rng=rng,
        )

    def __hash__(self) -> int:
        """Return a hash that is the same in every run.

        A replica sends to its set of followers in the order of their hashes, and a hash
        by address would change the order of events from run to run.
        """
        return xxhash.xxh3_64_intdigest(self.name.encode())

    @property
    def entry(self) -> EntryName:
        """The entry's name, as an attribute of Follower."""
        return self.name

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send it requests."""
        return not (
            self.hall.experiment.cut_off.withdraws
            and self.state.board.count_cut_off_services()
        )

    @property
    def is_dark(self) -> bool:
        """Whether it has lost power."""
        return self.connections.is_dark

    async def run(self) -> None:
        """Follow the hall's control replica until power is lost."""
        with self._lifetime:
            await anyio.sleep(2 * self._one_way_ms / 1000)
            self.state.install(self.hall.machine.update_since(0), monotonic_ms())
            self._learn_peers()
            self.hall.service.followers.add(self)
            rulings = self.hall.service.poison.rulings()
            self.queue_frames([CATALOG.encode(rulings)])
            self.queue_frames([CATALOG.encode(self.hall.service.limits.limits())])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._reports.send_evidence, self)
                tasks.start_soon(self._reports.send_loads, self)
                tasks.start_soon(self._reports.send_ended_runs, self)
                tasks.start_soon(self._reports.send_rejecting_servers, self)
                tasks.start_soon(self._reports.send_limits, self)
                tasks.start_soon(self.connections.run)
                tasks.start_soon(self._check.run)

    def _learn_peers(self) -> None:
        others = {a: e for a, e in self.entries.items() if e.name != self.name}
        self.state.relay_peers.own_hall = [
            a for a, e in others.items() if e.data_hall == self.data_hall
        ]
        self.state.relay_peers.other_halls = [
            a for a, e in others.items() if e.data_hall != self.data_hall
        ]

    async def serve(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one request through ASGI.

        Losing power cancels it; the caller then gets no answer.
        """
        with anyio.CancelScope() as request_scope:
            self._request_scopes.add(request_scope)
            try:
                await self.handler(scope, receive, send)
            finally:
                self._request_scopes.discard(request_scope)

    def lose_power(self) -> None:
        """Stop at once, without closing connections or notifying anyone."""
        self.connections.is_dark = True
        self.hall.service.followers.discard(self)
        self.hall.service.gossip.remove_source(self.name)
        self._lifetime.cancel()
        for scope in self._request_scopes:
            scope.cancel()

    # To the control replica.

    async def send(self, message: Message) -> None:
        """Send a report to the replica, as the real connection does."""
        delay_ms = self._one_way_ms
        if isinstance(message, ServerLoads):
            delay_ms += self.hall.experiment.loads_late_ms
        call_later(delay_ms, self.hall.receive_report, self.name, message)

    async def aclose(self) -> None:
        """Do nothing: simulated links never fail."""

    def credit(self, service: ServiceState) -> None:
        """Record a new request, for the retry budget of its service."""
        self._reports.first_requests[service.row.name] += 1

    async def consume(
        self, service: ServiceState, *, until_ms: float, after_failure: bool = True
    ) -> bool:
        """Acquire a retry from the budget that all entries of the hall share.

        False if the budget is exhausted.
        """
        await anyio.sleep(2 * self._one_way_ms / 1000)
        asked = TakeRetry(service.row.name, after_failure)
        return self.hall.service.answer_retry(asked).is_granted

    async def _ask_allowances(self, asked: AskAllowances, timeout_s: float) -> None:
        """Do nothing: the model has no client accounts, so no allowances."""

    # From the control replica; methods of Follower.

    def queue_frames(self, frames: list[bytes]) -> None:
        """Receive encoded messages about servers after the link's latency."""
        for frame in frames:
            call_later(self._one_way_ms, self._receive_frame, frame)

    def queue_verdicts(self, frame: bytes) -> None:
        """Receive an encoded batch of verdicts after the link's latency."""
        call_later(self._one_way_ms, self._receive_frame, frame)

    def queue_hall_entries(self, entries: HallEntries) -> None:
        """Do nothing: entries need the list of the hall's other entries only while no
        control replica is reachable, and the model's replicas never fail.
        """

    def _receive_frame(self, frame: bytes) -> None:
        match _decode_frame(frame):
            case VerdictBatch() as verdicts:
                self.state.apply(verdicts)
            case ServerLoads() as loads:
                self.state.receive_fleet_loads(loads, monotonic_ms())
            case news:
                self.state.receive_message(news, monotonic_ms())
