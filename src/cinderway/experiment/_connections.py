"""Simulated connections from an entry to model servers, in place of real ones."""

import math
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field, replace
from functools import partial

import anyio
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, AttemptId, DataHall, ServerName, ServiceName
from cinderway.entry.servers._backends import (
    SWEEP_INTERVAL_S,
    ConnectionLostError,
    Objection,
    RecordSendTime,
    UseRecorder,
    ignore_send_time,
    ignore_use,
    no_objection,
)
from cinderway.entry.servers._idle_connections import (
    DEFAULT_TERMS,
    ConnectionUse,
    IdleConnections,
    ReuseTerms,
)
from cinderway.entry.servers._messages import BackendAnswer, BackendRequest
from cinderway.experiment._declaration import (
    ConnectionPolicy,
    CutMode,
    Experiment,
    PoisonRequest,
)
from cinderway.experiment._servers import (
    ModelServer,
    RunAbortedError,
    ServerAnswer,
    Work,
)
from cinderway.limits import ConnectTimeout
from cinderway.reachability import Uplinks


@dataclass
class ModelConnections:
    """Sends requests to model servers with the network latency of the experiment.

    `opened` counts the connections that were opened, as the real connection pool does;
    `reused` the requests sent on kept ones, and `closed_under_request` those that met a
    connection which the server had closed. `lost_to_closes` of these may run only once
    and got no answer. `cross_hall_bytes` adds up the sizes of answers from other data
    halls. `is_dark`: the entry has lost power. `cuts` has the services whose servers
    cannot be reached from the entry.
    """

    experiment: Experiment
    servers: dict[Address, ModelServer]
    data_hall: DataHall
    tasks: TaskGroup
    opened: int = 0
    reused: int = 0
    closed_under_request: int = 0
    lost_to_closes: int = 0
    cross_hall_bytes: int = 0
    is_dark: bool = False
    uplinks: Uplinks = field(default_factory=Uplinks)
    cuts: dict[ServiceName, CutMode] = field(default_factory=dict)
    _connect_timeout: ConnectTimeout = field(default_factory=ConnectTimeout)

    def __post_init__(self):
        self._has_poison_requests = bool(self.experiment.poison)
        self._work_by_path = build_work_by_path(self.experiment)
        self._policy = self.experiment.connections
        self.idle: IdleConnections[_ModelConnection] = IdleConnections(
            self._connect_timeout
        )

    async def run(self) -> None:
        """Look for closed and old connections, as the real connection pool does."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.idle.sweep(monotonic_ms())
            self._close_discarded()

    def has_usable(self, address: Address, terms: ReuseTerms, now_ms: int) -> bool:
        """Whether a request would be sent on a kept connection to this server."""
        if self._policy is ConnectionPolicy.NEW:
            return False
        return self.idle.has_usable(address, self._apply_policy(terms), now_ms)

    async def send(
        self,
        address: Address,
        request: BackendRequest,
        attempt_id: AttemptId,
        deadline_ms: int,
        *,
        use_new_connection: bool,
        expected: ServerName | None = None,
        objection: Objection = no_objection,
        record_send_time: RecordSendTime = ignore_send_time,
        terms: ReuseTerms = DEFAULT_TERMS,
        record_use: UseRecorder = ignore_use,
    ) -> BackendAnswer:
        """Send a request and return the head of its answer.

        Raises CinderwayError if connecting or the attempt fails. `objection` is called
        once there is a connection; an error that it returns is raised, and the request
        is not sent. Bodies take no time to send here.
        """
        server = self.servers[address]
        one_way_s = self._one_way_ms(server) / 1000
        must_be_new = terms.loss_cost_ms is not None and (
            self._policy is ConnectionPolicy.NEW
        )
        connection = None
        if not use_new_connection and not must_be_new:
            connection = self.idle.take(
                address, self._apply_policy(terms), monotonic_ms()
            )
            self._close_discarded()
        if connection is not None and await self._is_closed_under_request(
            connection, terms, objection, one_way_s
        ):
            connection = None
        is_kept = connection is not None
        if connection is None:
            connection = await self._connect(server, terms, one_way_s)
        try:
            reason = objection()
            if reason is not None:
                raise reason
            self.reused += is_kept
            record_use(ConnectionUse.KEPT if is_kept else ConnectionUse.NEW)
            return await self._send_on(
                connection, server, request, deadline_ms, one_way_s
            )
        except BaseException:
            connection.close()
            raise

    async def _send_on(
        self,
        connection: "_ModelConnection",
        server: ModelServer,
        request: BackendRequest,
        deadline_ms: int,
        one_way_s: float,
    ) -> BackendAnswer:
        started_at_ms = monotonic_ms()
        await anyio.sleep(one_way_s)
        poison = find_poison_request(self.experiment, request.target)
        work = self._work_by_path.get(request.target.split(b"/", 2)[1])
        answer = await self._run_on_server(server, deadline_ms, work, poison)
        await anyio.sleep(one_way_s)
        match self.cuts.get(server.service.name):
            case CutMode.HANG:
                await anyio.sleep_forever()
            case CutMode.RESET:
                answer = None
        if answer is None:
            self._record_lost(connection, started_at_ms)
            raise _build_lost_error(server.address)
        size = int(request.target.rpartition(b"/")[2]) if answer.is_success else 0
        if server.data_hall != self.data_hall:
            self.cross_hall_bytes += size
        return BackendAnswer(
            answer.status, answer.headers, _ModelBody(size), connection
        )

    async def _is_closed_under_request(
        self,
        connection: "_ModelConnection",
        terms: ReuseTerms,
        objection: Objection,
        one_way_s: float,
    ) -> bool:
        """Whether the server closes a kept connection before the request arrives.

        If entries cannot tell that it did not read the request, the request is lost and
        the error is raised.
        """
        arrives_at_s = anyio.current_time() + one_way_s
        if arrives_at_s < connection.unread_from_s:
            return False
        reason = objection()
        if reason is not None:
            connection.close()
            raise reason
        self.closed_under_request += 1
        is_proven = (
            self.experiment.proves_unread_closes
            and arrives_at_s >= connection.closed_at_s
        )
        started_at_ms = monotonic_ms()
        await anyio.sleep(2 * one_way_s)
        self._record_lost(connection, started_at_ms, is_proven=is_proven)
        connection.close()
        if not is_proven:
            self.lost_to_closes += terms.loss_cost_ms is not None
            raise _build_lost_error(connection.address)
        return True

    def _record_lost(
        self,
        connection: "_ModelConnection",
        started_at_ms: int,
        *,
        is_proven: bool = False,
    ) -> None:
        now_ms = monotonic_ms()
        service, address = connection.service, connection.address
        if connection.idle_since_ms is None:
            self.idle.record_lost_new(service, address, now_ms)
            return
        self.idle.record_lost_kept(
            service,
            address,
            started_at_ms - connection.idle_since_ms,
            now_ms,
            is_proven=is_proven,
        )

    def _apply_policy(self, terms: ReuseTerms) -> ReuseTerms:
        if self._policy is ConnectionPolicy.KEPT:
            return replace(terms, loss_cost_ms=None)
        return terms

    def _close_discarded(self) -> None:
        for connection in self.idle.pop_discarded():
            connection.close()

    def _one_way_ms(self, server: ModelServer) -> float:
        is_near = server.data_hall == self.data_hall
        return self.experiment.own_hall_ms if is_near else self.experiment.other_hall_ms

    async def _connect(
        self, server: ModelServer, terms: ReuseTerms, one_way_s: float
    ) -> "_ModelConnection":
        address = server.address
        self.idle.pop_oldest_if_full(address, terms)
        self._close_discarded()
        cut = self.cuts.get(server.service.name)
        if server.is_dark or cut is CutMode.HANG:
            await anyio.sleep(self._connect_timeout.current_ms / 1000)
            self._connect_timeout.record_timeout()
            raise self._record_connect_failure(server, "timed out")
        connect_s = 2 * one_way_s + server.service.accept_ms / 1000
        await anyio.sleep(connect_s)
        if server.is_down or cut is not None:
            raise self._record_connect_failure(server, "refused")
        self.uplinks.of(server.service.name).record_connected(monotonic_ms())
        self._connect_timeout.record_connect_time(1000 * connect_s)
        self.idle.paths.record_connected(address, 1000 * connect_s, monotonic_ms())
        self.idle.record_opened(terms.service, address)
        self.opened += 1
        return _ModelConnection(
            self, server, terms.service, terms.connection_limit, one_way_s
        )

    async def check(self, service: ServiceName, address: Address) -> None:
        """Open a connection to a server and close it; record whether it opened."""
        server = self.servers[address]
        uplink = self.uplinks.of(service)
        cut = self.cuts.get(service)
        if server.is_dark or cut is CutMode.HANG:
            await anyio.sleep(self._connect_timeout.base_ms / 1000)
            uplink.record_unreachable(address)
            return
        await anyio.sleep(2 * self._one_way_ms(server) / 1000)
        if server.is_down or cut is not None:
            uplink.record_unreachable(address)
            return
        self.opened += 1
        uplink.record_connected(monotonic_ms())

    def _record_connect_failure(
        self, server: ModelServer, reason: str
    ) -> CinderwayError:
        service = server.service.name
        self.idle.record_rejected(service, server.address, monotonic_ms())
        self.uplinks.of(service).record_unreachable(server.address)
        return _build_connect_error(server.address, reason)

    async def _run_on_server(
        self,
        server: ModelServer,
        deadline_ms: int,
        work: Work | None,
        poison: PoisonRequest | None,
    ) -> ServerAnswer | None:
        """Run a request on the server; None if the server closed the connection.

        The server stops work when the entry closes the connection. An entry that has
        lost power closes nothing, so the server keeps working.
        """
        task = _ServerTask()
        # A run that a crash of the server may abort needs a task of its own. Most
        # experiments have no poison requests and save that task.
        execute = (
            partial(server.run, work=work, poison=poison)
            if self._has_poison_requests
            else partial(server.answer, work=work)
        )
        self.tasks.start_soon(task.run, server, execute, deadline_ms)
        try:
            await task.done.wait()
        finally:
            if not task.done.is_set() and not self.is_dark:
                task.scope.cancel()
        return task.answer


def build_work_by_path(experiment: Experiment) -> dict[bytes, Work]:
    """Return the work of each route that has its own, by the first path segment."""
    services = {service.name: service for service in experiment.services}
    found: dict[bytes, Work] = {}
    for route in experiment.routes:
        if route.work_ms is None and route.work_spread is None:
            continue
        service, spread = services[route.service], route.work_spread
        found[route.name.encode()] = Work(
            route.work_ms or service.work_ms,
            service.work_spread if spread is None else spread,
        )
    return found


def find_poison_request(experiment: Experiment, target: bytes) -> PoisonRequest | None:
    """Return the poison request with this path; None for any other request."""
    for number, poison in enumerate(experiment.poison):
        if target.startswith(build_poison_path_prefix(poison, number).encode()):
            return poison
    return None


def build_poison_path_prefix(poison: PoisonRequest, number: int) -> str:
    """Return a poison request's path up to its last segment, the answer's size."""
    return f"/{poison.route}/poison-{number}/"


@dataclass
class _ServerTask:
    """One request on a server, in a task that can outlive the entry's attempt."""

    done: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    answer: ServerAnswer | None = None

    async def run(
        self,
        server: ModelServer,
        execute: Callable[[int], Awaitable[ServerAnswer]],
        deadline_ms: int,
    ) -> None:
        with self.scope:
            if server.is_dark:
                await anyio.sleep_forever()
            try:
                answer = await execute(deadline_ms)
            except RunAbortedError:
                answer = None
            if server.is_dark:
                await anyio.sleep_forever()
            self.answer = answer
            self.done.set()


@dataclass
class _ModelBody:
    size_bytes: int

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        yield bytes(self.size_bytes)


@dataclass
class _ModelConnection:
    pool: ModelConnections
    server: ModelServer
    service: ServiceName
    connection_limit: int
    one_way_s: float
    is_reusable: bool = False
    idle_limit_ms: int = 0
    idle_since_ms: int | None = None
    # When the server closes it, on the event loop's clock.
    closed_at_s: float = math.inf
    _is_open: bool = True
    _crash_count: int = 0

    @property
    def address(self) -> Address:
        """The server's address."""
        return self.server.address

    @property
    def unread_from_s(self) -> float:
        """From when on the server reads no more requests."""
        close = self.server.service.idle_close
        return self.closed_at_s - (close.unread_ms / 1000 if close else 0)

    def is_closed_by_server(self) -> bool:
        """Whether the entry knows that it is closed."""
        # A server that crashed has closed all its connections.
        has_crashed = len(self.server.ended_at_ms) != self._crash_count
        known_at_s = self.closed_at_s + self.one_way_s
        return has_crashed or anyio.current_time() >= known_at_s

    async def release(self, response: object) -> None:
        """Keep it for the next request if its answer was read whole, else close it."""
        if self.is_reusable:
            self.is_reusable = False
            self.idle_since_ms = monotonic_ms()
            # The server's idle time begins when it has sent the answer.
            idle_s = self.server.draw_idle_close_ms() / 1000
            self.closed_at_s = anyio.current_time() - self.one_way_s + idle_s
            self._crash_count = len(self.server.ended_at_ms)
            if self.pool.idle.keep(self, self.connection_limit, self.idle_since_ms):
                return
        self.close()

    def close(self) -> None:
        """Close it."""
        if self._is_open:
            self._is_open = False
            self.pool.idle.record_closed(self.address)


def _build_lost_error(address: Address) -> ConnectionLostError:
    return ConnectionLostError(
        ErrorCode.BACKEND_FAILED,
        "the attempt failed: the server closed the connection",
        step=Step.AWAIT_ANSWER,
        peer=address,
    )


def _build_connect_error(address: Address, reason: str) -> CinderwayError:
    return CinderwayError(
        ErrorCode.BACKEND_FAILED,
        f"cannot connect: {reason}",
        step=Step.CONNECT,
        peer=address,
    )
