"""Code that all daemons share: stop signals, the operators' port, running a replica."""

import logging
import signal
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from cinderway import __version__
from cinderway._ids import Address
from cinderway._logging import configure_logging
from cinderway._operators import Gauges, serve_operators
from cinderway._settings import ReplicaSettings
from cinderway.replication import (
    DataFolder,
    Node,
    NodeSettings,
    StateMachine,
)
from cinderway.wire import Identity, Route, serve_connections

logger = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


def log_start(log: logging.Logger, role: str, address: Address) -> None:
    """Write the first line of a process's log."""
    log.info("%s %s starts at %s", role, __version__, address)


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a background task, and restart it if it raises an unexpected exception.

    For tasks without which callers can still be served: an error in one of them must
    not end the process and with it the requests in flight.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            logger.exception("the %s failed and will be restarted", name)
            await anyio.sleep(RESTART_DELAY_S)


async def run_replica(
    settings: ReplicaSettings,
    group: str,
    machine: StateMachine,
    build_routes: Callable[[Node], tuple[Route, ...]],
) -> None:
    """Run one replica of a Raft group until it is told to stop.

    A leader tries to transfer its leadership to another replica before it stops.
    """
    configure_logging(settings.log_format, settings.log_level)
    identity = Identity(f"{group}@{settings.listen}", settings.shared_key)
    folder = DataFolder(settings.data_folder, group, settings.listen)
    node_settings = NodeSettings(
        address=settings.listen,
        peers=settings.peers,
        compact_at_bytes=settings.compact_at_kib * 1024,
    )
    node = Node(folder, machine, node_settings, identity)
    async with anyio.create_task_group() as tasks:
        routes = (node.route, *build_routes(node))
        await tasks.start(serve_connections, settings.listen, routes, identity)
        tasks.start_soon(node.run)
        await start_operators(
            tasks, settings.operators_listen, _build_replica_gauges(node)
        )
        await wait_for_stop()
        await node.hand_over()
        tasks.cancel_scope.cancel()
    folder.close()


async def start_operators(
    tasks: TaskGroup,
    address: Address,
    gauges: Gauges,
    is_ready: Callable[[], bool] = lambda: True,
) -> None:
    """Serve the operators' port in the background."""
    await tasks.start(serve_operators, address, gauges, is_ready)


def _build_replica_gauges(node: Node) -> Gauges:
    def read() -> dict[str, float]:
        counters = node.counters
        return {
            "replica_is_leader": float(node.core.is_leader),
            "replica_term": float(node.core.term),
            "replica_commit_index": float(node.core.commit_index),
            "replica_applied_index": float(node.applied_index),
            "replica_log_bytes": float(node.folder.wal_bytes),
            "replica_syncs": float(counters.syncs),
            "replica_snapshots": float(counters.snapshots),
            "replica_elections_won": float(counters.elections_won),
            "replica_voters": float(len(node.core.membership.voters)),
            "replica_members": float(len(node.core.membership.members)),
            "replica_silent_members": float(len(node.core.silent_members())),
        }

    return read
