"""The entry process that routes by the service table."""

import logging
import random

import anyio

from cinderway._daemon import run_with_restarts, wait_for_stop
from cinderway._http_server import EventDrivenServer, build_http_server
from cinderway._logging import configure_logging
from cinderway._operators import Metrics, serve_operators
from cinderway._settings import EntrySettings
from cinderway.entry._blackboard import Blackboard
from cinderway.entry._poison_watch import PoisonWatch
from cinderway.entry.callers._attempts import Attempts
from cinderway.entry.callers._handler import Handler
from cinderway.entry.callers._run_once import RunOnce
from cinderway.entry.callers._stream import Streams
from cinderway.entry.fleet._assessor_server import AssessorServer
from cinderway.entry.fleet._platform import PlatformReader
from cinderway.entry.fleet._relay_server import RelayServer
from cinderway.entry.fleet._report_server import ReportServer
from cinderway.entry.fleet._reporter import Reporter
from cinderway.entry.fleet._table_follower import TableFollower
from cinderway.entry.servers._backends import BackendConnections
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._probe import Prober
from cinderway.entry.servers._relays import Relays
from cinderway.entry.servers._uplink_check import UplinkCheck
from cinderway.judgement import DRAIN_SIGNAL_TTL_MS, EvidenceLog
from cinderway.ledger import LedgerClient
from cinderway.pushback import PushbackStore
from cinderway.wire import Identity, serve_connections

logger = logging.getLogger(__name__)

KEEP_ALIVE_S = 30
DRAIN_POLL_S = 0.02


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry until it is asked to stop; requests in flight finish first."""
    configure_logging(settings.log_format, settings.log_level)
    # In the table a server keeps its name after a restart, so that its leaving signal
    # must expire sooner than by default.
    pushback = PushbackStore(leaving_valid_ms=DRAIN_SIGNAL_TTL_MS)
    board = Blackboard(
        settings.name, settings.data_hall, random.Random(), pushback=pushback
    )
    identity = Identity(settings.name, settings.shared_key)
    metrics = Metrics()
    connections = BackendConnections(metrics=metrics, uplinks=board.uplinks)
    dispatcher = Dispatcher(board, connections, EvidenceLog(), metrics)
    async with anyio.create_task_group() as tasks, anyio.create_task_group() as runs:
        ledger = LedgerClient(settings.ledger, identity, tasks)
        reports = ReportServer(board)
        attempts = Attempts(dispatcher, metrics, settings.answer_limit_kib * 1024)
        run_once = RunOnce(settings.name, attempts, ledger, metrics, runs)
        watch = PoisonWatch(on_refusal=board.wake_waiting_requests, defer=board.defer)
        handler = Handler(
            settings,
            board,
            attempts,
            Streams(attempts),
            run_once,
            metrics,
            reports,
            watch,
        )
        follower = TableFollower(settings, board, identity, tasks)
        assessor = AssessorServer(board)
        reporter = Reporter(
            board,
            dispatcher.evidence,
            identity,
            settings.listen,
            tasks,
            reports,
            watch,
        )
        relay_server = RelayServer(board, dispatcher, watch, metrics)
        check = UplinkCheck(board, connections)
        dispatcher.relays = Relays(
            reporter.relay_peers, identity, connections.names, metrics
        )
        prober = Prober(board, dispatcher, tasks)
        routes = (
            follower.route,
            assessor.route,
            reports.route,
            relay_server.route,
        )
        await tasks.start(serve_connections, settings.listen, routes, identity)
        follower.start()
        tasks.start_soon(run_with_restarts, "assessor", assessor.run)
        tasks.start_soon(run_with_restarts, "idle connections", connections.run)
        tasks.start_soon(run_with_restarts, "uplink check", check.run)
        tasks.start_soon(run_with_restarts, "reporter", reporter.run)
        tasks.start_soon(run_with_restarts, "prober", prober.run)
        platform = PlatformReader(board, settings.platform_list)
        tasks.start_soon(run_with_restarts, "platform reader", platform.run)
        await tasks.start(
            serve_operators,
            settings.operators_listen,
            lambda: _gauges(
                board, dispatcher, follower, reporter, prober, relay_server
            ),
            lambda: board.is_table_trusted and not board.is_leaving,
            metrics,
        )
        server = build_http_server(
            settings.callers_listen, handler, keep_alive_s=KEEP_ALIVE_S
        )
        tasks.start_soon(server.serve)
        await wait_for_stop()
        await _drain(settings, board, server, run_once)
        tasks.cancel_scope.cancel()
        runs.cancel_scope.cancel()


async def _drain(
    settings: EntrySettings,
    board: Blackboard,
    server: EventDrivenServer,
    run_once: RunOnce,
) -> None:
    """Stop without interrupting a request.

    The entry is reported as not ready at once, but accepts connections for `drain_ms`,
    since the load balancer's list lags behind. Then it accepts no more connections and
    waits for the last request and for the last claim to be recorded.
    """
    board.is_leaving = True
    logger.info("stopping: %d requests in flight", board.in_flight)
    await anyio.sleep(settings.drain_ms / 1000)
    server.stop()
    while board.in_flight or run_once.in_progress or server.server_state.connections:
        await anyio.sleep(DRAIN_POLL_S)
    logger.info("stopped: no request in flight")


def _gauges(
    board: Blackboard,
    dispatcher: Dispatcher,
    follower: TableFollower,
    reporter: Reporter,
    prober: Prober,
    relay_server: RelayServer,
) -> dict[str, float]:
    return {
        "table_revision": float(board.table.revision),
        "table_installs": float(follower.installs),
        "requests_in_flight": float(board.in_flight),
        "attempts": float(dispatcher.attempts),
        "sheds": float(dispatcher.sheds),
        "ejections": float(reporter.ejections),
        "held_by_floor": float(reporter.held_by_floor),
        "probes": float(prober.probes),
        "relays_in_progress": float(relay_server.in_progress),
        "services_cut_off": float(board.count_cut_off_services()),
    }
