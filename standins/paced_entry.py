"""One entry's callers' side behind a link of limited bandwidth, in one process.

The entry asks a stand-in for a control replica for allowances over the same link on
which its callers' bodies arrive. Backend servers are not part of it: each request is
answered once it would be sent.
"""

import json
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc

from cinderway._clock import monotonic_ms
from cinderway._http_server import build_http_server
from cinderway._ids import DataHall, EntryName
from cinderway._operators import Metrics
from cinderway.catalog import (
    AskAllowances,
    CatalogMachine,
    GrantAllowances,
    GrantedAllowance,
    InstallSheet,
    encode_command,
)
from cinderway.entry._blackboard import Blackboard
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._body_turns import BodyTurns
from cinderway.entry.callers._relay import WholeAnswer
from cinderway.entry.callers._route_handler import RouteHandler
from cinderway.entry.fleet._allowances import Allowances
from cinderway.entry.servers._messages import HeaderNames
from cinderway.judgement import EvidenceLog
from standins.paced_link import PacedLink

MESSAGE_BYTES = 128
KEY = "k3y0fAcme"
ROUTE = {
    "name": "r",
    "host": "a.example",
    "path_prefix": "/",
    "kind": "upload",
    "timeout_ms": 10_000,
    "service": "store",
}
ACCOUNTS = [
    {"name": f"acme-{n}", "keys": [f"{KEY}{n}"], "rate_per_s": 1} for n in range(100)
]


@dataclass
class PacedEntry:
    """The entry, and how long each of its questions took."""

    handler: RouteHandler
    # The port at which callers reach the entry through its link.
    port: int = 0
    question_times_ms: list[float] = field(default_factory=list)

    async def upload(self, size_bytes: int, account: int) -> tuple[int, float]:
        """Send one body; return the answer's status and how long it took in ms."""
        started_s = anyio.current_time()
        head = (
            f"POST /x HTTP/1.1\r\nhost: a.example\r\ncontent-length: {size_bytes}\r\n"
            f"authorization: Bearer {KEY}{account}\r\n\r\n"
        )
        async with await anyio.connect_tcp("127.0.0.1", self.port) as stream:
            answer = b""
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send, stream, head.encode() + bytes(size_bytes))
                while b"\r\n" not in answer:
                    answer += await stream.receive()
                tasks.cancel_scope.cancel()
        return int(answer.split()[1]), (anyio.current_time() - started_s) * 1000


async def _send(stream: anyio.abc.SocketStream, data: bytes) -> None:
    await stream.send(data)


class _Questions:
    """Asks the replica's stand-in over one connection through the link."""

    def __init__(self, stream: anyio.abc.SocketStream, times_ms: list[float]):
        self._stream, self._times_ms = stream, times_ms
        self._waiting: list[anyio.Event] = []
        self._send_lock = anyio.Lock()

    async def ask(
        self, asked: AskAllowances, timeout_s: float
    ) -> GrantAllowances | None:
        started_s = anyio.current_time()
        answered = anyio.Event()
        self._waiting.append(answered)
        async with self._send_lock:
            await self._stream.send(bytes(MESSAGE_BYTES))
        with anyio.move_on_after(timeout_s):
            await answered.wait()
        self._times_ms.append((anyio.current_time() - started_s) * 1000)
        if not answered.is_set():
            return None
        lines = [GrantedAllowance(line.account, line.needed, 0) for line in asked.lines]
        return GrantAllowances(lines, lease_ms=4_000, window_ms=5_000)

    async def receive_answers(self) -> None:
        size_bytes = 0
        while True:
            size_bytes += len(await self._stream.receive())
            while size_bytes >= MESSAGE_BYTES:
                size_bytes -= MESSAGE_BYTES
                self._waiting.pop(0).set()


class _AnsweringAttempts:
    async def fetch_answer(self, service, request, is_repeatable):
        request.tried_servers.add("i-1")
        return WholeAnswer(200, [], b"done")


async def _echo(stream: anyio.abc.SocketStream) -> None:
    async with stream:
        async for data in stream:
            await stream.send(data)


@asynccontextmanager
async def open_paced_entry(
    rate_bytes_per_s: float, *, bodies_at_once: int, **server_options
):
    """Run an entry behind a link; `server_options` are those of its HTTP server."""
    link = PacedLink(rate_bytes_per_s)
    times_ms: list[float] = []
    async with anyio.create_task_group() as tasks:
        await tasks.start(link.run)
        replica = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(replica.serve, _echo)
        replica_port = await tasks.start(
            _forward, link, replica.extra(anyio.abc.SocketAttribute.local_port), False
        )
        stream = await anyio.connect_tcp("127.0.0.1", replica_port)
        questions = _Questions(stream, times_ms)
        tasks.start_soon(questions.receive_answers)
        handler = _build_handler(questions.ask)
        handler.body_turns = BodyTurns(bodies_at_once)
        server = build_http_server("127.0.0.1:0", handler, **server_options)
        tasks.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.005)
        entry_port = server.servers[0].sockets[0].getsockname()[1]
        port = await tasks.start(_forward, link, entry_port, True)
        yield PacedEntry(handler, port, times_ms)
        tasks.cancel_scope.cancel()


async def _forward(link, port, is_to_process, *, task_status) -> None:
    await link.forward(port, is_to_process=is_to_process, task_status=task_status)


def _build_handler(ask) -> RouteHandler:
    machine = CatalogMachine()
    content = {
        "version": 1,
        "routes": [ROUTE],
        "services": [{"name": "store"}],
        "accounts": ACCOUNTS,
    }
    machine.apply(1, encode_command(InstallSheet(json.dumps(content).encode())))
    board = Blackboard(EntryName("e1"), DataHall("suva"), random.Random(1))
    state = CatalogBoard(board, EvidenceLog(), lone_retry_percent=5)
    state.install(machine.update_since(0), now_ms=0)
    state.current_at_ms = monotonic_ms() + 60_000
    return RouteHandler(
        state, _AnsweringAttempts(), HeaderNames(), Metrics(), Allowances(ask)
    )
