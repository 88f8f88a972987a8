"""An entry's connections to model servers, in place of those over the network."""

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import anyio
from anyio.abc import TaskGroup

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, AttemptId, DataHall, ServerName
from cinderway.entry.servers._backends import (
    ConnectionLostError,
    Objection,
    no_objection,
)
from cinderway.entry.servers._messages import BackendAnswer, BackendRequest
from cinderway.experiment._declaration import Experiment, PoisonRequest
from cinderway.experiment._servers import ModelServer, RunBrokenError, ServerAnswer
from cinderway.limits import ConnectTimeout


@dataclass
class ModelConnections:
    """Sends requests to model servers; the way takes its time.

    `opened` counts connections that were made, as those over the network do;
    `far_bytes` is what answers from other halls came to.
    """

    experiment: Experiment
    servers: dict[Address, ModelServer]
    data_hall: DataHall
    tasks: TaskGroup
    idle_limit: int = 64
    opened: int = 0
    far_bytes: int = 0
    is_dark: bool = False
    _idle: Counter[Address] = field(default_factory=Counter)
    _connect_timeout: ConnectTimeout = field(default_factory=ConnectTimeout)

    def __post_init__(self):
        self._may_end = bool(self.experiment.poison)

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
    ) -> BackendAnswer:
        """Send a request and return its answer's head. Raises CinderwayError."""
        server = self.servers[address]
        way_s = self._way_ms(server) / 1000
        if server.is_down:
            # Its kept connections ended with its process, and entries saw that.
            self._idle[address] = 0
        if not use_new_connection and self._idle[address]:
            self._idle[address] -= 1
        else:
            await self._connect(server, way_s)
        reason = objection()
        if reason is not None:
            raise reason
        await anyio.sleep(way_s)
        poison = poison_request_of(self.experiment, request.target)
        answer = await self._run(server, deadline_ms, poison)
        await anyio.sleep(way_s)
        if answer is None:
            raise ConnectionLostError(
                ErrorCode.BACKEND_FAILED,
                "the attempt failed: the server closed the connection",
                step=Step.AWAIT_ANSWER,
                peer=address,
            )
        connection = _ModelConnection(self, address)
        size = int(request.target.rpartition(b"/")[2]) if answer.is_good else 0
        if server.data_hall != self.data_hall:
            self.far_bytes += size
        return BackendAnswer(
            answer.status, answer.headers, _ModelBody(size), connection
        )

    def release(self, address: Address) -> None:
        """Keep a connection for the next request."""
        self._idle[address] = min(self._idle[address] + 1, self.idle_limit)

    def _way_ms(self, server: ModelServer) -> float:
        is_near = server.data_hall == self.data_hall
        return self.experiment.own_hall_ms if is_near else self.experiment.other_hall_ms

    async def _connect(self, server: ModelServer, way_s: float) -> None:
        if server.is_dark:
            await anyio.sleep(self._connect_timeout.current_ms / 1000)
            self._connect_timeout.record_timeout()
            raise CinderwayError(
                ErrorCode.BACKEND_FAILED,
                "cannot connect: timed out",
                step=Step.CONNECT,
                peer=server.address,
            )
        await anyio.sleep(2 * way_s)
        if server.is_down:
            raise CinderwayError(
                ErrorCode.BACKEND_FAILED,
                "cannot connect: refused",
                step=Step.CONNECT,
                peer=server.address,
            )
        self._connect_timeout.record_connect_time(2000 * way_s)
        self.opened += 1

    async def _run(
        self, server: ModelServer, deadline_ms: int, poison: PoisonRequest | None
    ) -> ServerAnswer | None:
        """Let the server work; it stops when this side closes the connection.

        A side without power closes nothing: the server works on. None if the server
        ended meanwhile.
        """
        run = _Run()
        # A run that may break off needs a task of its own; most experiments have none.
        work = partial(server.run, poison=poison) if self._may_end else server.answer
        self.tasks.start_soon(run.work, server, work, deadline_ms)
        try:
            await run.done.wait()
        finally:
            if not run.done.is_set() and not self.is_dark:
                run.scope.cancel()
        return run.answer


def poison_request_of(experiment: Experiment, target: bytes) -> PoisonRequest | None:
    """Return the declared request that a path stands for, if it ends servers."""
    for number, poison in enumerate(experiment.poison):
        if target.startswith(poison_path(poison, number).encode()):
            return poison
    return None


def poison_path(poison: PoisonRequest, number: int) -> str:
    """Return the path of the declared request with a number, without its last part."""
    return f"/{poison.route}/poison-{number}/"


@dataclass
class _Run:
    """One request at a server, in a task of the server's own."""

    done: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    answer: ServerAnswer | None = None

    async def work(
        self,
        server: ModelServer,
        work: Callable[[int], Awaitable[ServerAnswer]],
        deadline_ms: int,
    ) -> None:
        with self.scope:
            if server.is_dark:
                await anyio.sleep_forever()
            try:
                answer = await work(deadline_ms)
            except RunBrokenError:
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
    address: Address
    is_reusable: bool = False
    idle_limit_ms: int = 0

    async def release(self, response: object) -> None:
        if self.is_reusable:
            self.pool.release(self.address)
