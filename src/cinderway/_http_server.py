"""An HTTP server for one ASGI application, without timers of its own at rest."""

import contextlib

import anyio
import uvicorn
from anyio.abc import TaskStatus

from cinderway._ids import Address

START_POLL_S = 0.005
ACCEPT_BACKLOG = 4096
DEFAULT_KEEP_ALIVE_S = 30


class QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon around it and has no ticker.

    uvicorn's own main loop wakes ten times a second to look at `should_exit` and to
    renew the Date header; neither is needed here, and the wake-ups are what an idle
    entry would otherwise cost.
    """

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self._stop_asked = anyio.Event()

    def capture_signals(self):
        """Handle no signals."""
        return contextlib.nullcontext()

    async def main_loop(self) -> None:
        """Wait until `stop` is called."""
        await self._stop_asked.wait()

    def stop(self) -> None:
        """Accept no more connections; `serve` returns when the open ones are done."""
        self.should_exit = True
        self._stop_asked.set()


def http_server(
    address: Address, app, *, keep_alive_s: float = DEFAULT_KEEP_ALIVE_S
) -> QuietServer:
    """Return a server that is not started yet."""
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host.strip("[]"),
        port=int(port),
        http="httptools",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        # A forwarded answer brings its own.
        date_header=False,
        timeout_keep_alive=keep_alive_s,
        backlog=ACCEPT_BACKLOG,
    )
    return QuietServer(config)


async def serve_http(
    address: Address, app, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Serve an application until cancelled."""
    server = http_server(address, app)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(START_POLL_S)
        task_status.started()
