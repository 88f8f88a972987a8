"""An HTTP server for one ASGI application that runs no periodic timer while idle."""

import contextlib
import functools
import socket
from collections.abc import Callable

import anyio
import uvicorn
from anyio.abc import TaskStatus

from cinderway._http_timeouts import ConnectionTimeouts, TimedHttpProtocol
from cinderway._ids import Address
from cinderway._request_parser import HttpProtocol

START_POLL_INTERVAL_S = 0.005
ACCEPT_BACKLOG = 4096
DEFAULT_KEEP_ALIVE_S = 30


class EventDrivenServer(uvicorn.Server):
    """A uvicorn server without signal handlers and without a periodic main loop.

    The daemon that runs the server handles the signals. uvicorn's own main loop wakes
    up ten times a second to check `should_exit` and to update the Date header. Neither
    is needed here, and these wake-ups would be the only CPU use of an idle entry.

    `receive_window_bytes` bounds the TCP window of accepted connections; 0 leaves it to
    the kernel.
    """

    def __init__(self, config: uvicorn.Config, receive_window_bytes: int = 0):
        super().__init__(config)
        self._receive_window_bytes = receive_window_bytes
        self._stop_requested = anyio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen; accepted connections inherit the bound of the TCP window.

        The bound is set on the listening socket: the first window of a connection is
        announced before the connection is accepted.
        """
        await super().startup(sockets)
        if not self._receive_window_bytes or not self.started:
            return
        for server in self.servers:
            for listener in server.sockets:
                listener.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_window_bytes
                )

    def capture_signals(self):
        """Install no signal handlers, as the daemon handles signals itself."""
        return contextlib.nullcontext()

    async def main_loop(self) -> None:
        """Wait until `stop` is called."""
        await self._stop_requested.wait()

    def stop(self) -> None:
        """Stop accepting connections; `serve` returns when the open ones are done."""
        self.should_exit = True
        self._stop_requested.set()


def build_http_server(
    address: Address,
    app,
    *,
    keep_alive_s: float = DEFAULT_KEEP_ALIVE_S,
    receive_window_bytes: int = 0,
    timeouts: Callable[[], ConnectionTimeouts] | None = None,
    protocol: Callable = HttpProtocol,
) -> EventDrivenServer:
    """Build a server for the application; the caller starts it with `serve`.

    `timeouts` returns the limits that apply now and takes the place of `keep_alive_s`;
    `protocol` then has to be a TimedHttpProtocol or left out.
    """
    host, _, port = address.rpartition(":")
    if timeouts is not None:
        timed = TimedHttpProtocol if protocol is HttpProtocol else protocol
        protocol = functools.partial(timed, timeouts=timeouts)
    config = uvicorn.Config(
        app,
        host=host.strip("[]"),
        port=int(port),
        http=protocol,
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        # Responses that are forwarded from backend servers already have a Date header.
        date_header=False,
        timeout_keep_alive=keep_alive_s,
        backlog=ACCEPT_BACKLOG,
    )
    return EventDrivenServer(config, receive_window_bytes)


async def serve_http(
    address: Address, app, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Serve an application until cancelled; reports `started` once it listens."""
    server = build_http_server(address, app)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(START_POLL_INTERVAL_S)
        task_status.started()
