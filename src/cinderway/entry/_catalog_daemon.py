"""The entry process that routes by the service catalog.

It continues with its copy of the catalog while no control replica is reachable, and
stops without interrupting requests that end before the stop limit.
"""

import logging
import random
from functools import partial

import anyio

from cinderway._caller_protocol import CallerProtocol
from cinderway._clock import monotonic_ms
from cinderway._daemon import log_startup, run_with_restarts, wait_for_stop
from cinderway._http_server import EventDrivenServer, build_http_server
from cinderway._http_timeouts import ConnectionTimeouts
from cinderway._logging import configure_logging
from cinderway._operators import Metrics, serve_operators
from cinderway._settings import CatalogEntrySettings
from cinderway._settings_watch import SettingsWatcher
from cinderway._unread_answers import UnreadAnswers
from cinderway.catalog import CallerLimits, RouteSheet
from cinderway.entry._blackboard import Blackboard
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._attempts import Attempts
from cinderway.entry.callers._body_turns import BodyTurns
from cinderway.entry.callers._route_handler import RouteHandler
from cinderway.entry.fleet._catalog_follower import CatalogFollower
from cinderway.entry.fleet._hall_peers import HallPeers
from cinderway.entry.fleet._relay_server import RelayServer
from cinderway.entry.servers._backends import BackendConnections
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._messages import (
    HeaderNames,
)
from cinderway.entry.servers._relays import Relays
from cinderway.entry.servers._uplink_check import UplinkCheck
from cinderway.judgement import EvidenceLog
from cinderway.limits import HeldBytes
from cinderway.poison import RequestDigests
from cinderway.wire import Identity, serve_connections

logger = logging.getLogger(__name__)

# An idle connection is closed this much later than the sheet says: a caller that keeps
# to it may have sent a request just before, which is on its way for a round trip.
IDLE_GRACE_MS = 500
# Largest answer of a backend server that is held in memory.
ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
DRAIN_POLL_S = 0.02
# Time in which the answers to the last requests reach their callers.
LAST_ANSWERS_MS = 200


async def run_catalog_entry(settings: CatalogEntrySettings) -> None:
    """Run an entry until it is asked to stop; requests in flight finish first."""
    configure_logging(settings.log_format, settings.log_level)
    log_startup(logger, f"entry {settings.name}", settings.callers_listen)
    names = header_names(settings)
    evidence = EvidenceLog()
    board = Blackboard(settings.name, settings.data_hall, random.Random())
    state = CatalogBoard(board, evidence, settings.lone_retry_percent)
    metrics = Metrics()
    connections = BackendConnections(
        names=names,
        metrics=metrics,
        window_bytes=settings.server_window_kib * 1024,
        uplinks=board.uplinks,
    )
    dispatcher = Dispatcher(board, connections, evidence, metrics)
    identity = Identity(settings.name, settings.shared_key)
    follower = CatalogFollower(settings, state, identity, metrics)
    attempts = Attempts(
        dispatcher,
        metrics,
        ANSWER_LIMIT_BYTES,
        consumes_budget_for_sheds=True,
        budget=follower,
    )
    digests = RequestDigests(settings.shared_key)
    unread = UnreadAnswers()
    handler = RouteHandler(
        state,
        attempts,
        names,
        metrics,
        follower.allowances,
        digests,
        BodyTurns(settings.large_bodies_at_once),
        HeldBytes(settings.held_limit_mib * 1024 * 1024),
        unread.count_bytes,
    )
    server = build_http_server(
        settings.callers_listen,
        handler,
        receive_window_bytes=settings.caller_window_kib * 1024,
        timeouts=lambda: find_caller_timeouts(state.mirror.sheet),
        protocol=partial(
            CallerProtocol,
            unread=unread,
            run_ahead_limit=settings.pipelined_at_once - 1,
            may_run_ahead=handler.may_run_ahead,
        ),
    )
    relay_server = RelayServer(board, dispatcher, state.poison, metrics)
    check = UplinkCheck(board, connections)
    dispatcher.relays = Relays(state.relay_peers, identity, names, metrics)
    async with anyio.create_task_group() as tasks:
        watch = SettingsWatcher(settings, follower.apply_settings)
        tasks.start_soon(watch.run)
        tasks.start_soon(run_with_restarts, "catalog follower", follower.run)
        tasks.start_soon(run_with_restarts, "idle connections", connections.run)
        tasks.start_soon(run_with_restarts, "uplink check", check.run)
        if settings.peers_listen:
            peers = HallPeers(
                state,
                settings.peers_listen,
                settings.shared_key,
                lambda: not follower.is_following,
                follower.wait_disconnected,
            )
            tasks.start_soon(run_with_restarts, "hall peers", peers.run)
            routes = (relay_server.route,)
            await tasks.start(
                serve_connections, settings.peers_listen, routes, identity
            )
        await tasks.start(
            serve_operators,
            settings.operators_listen,
            lambda: _gauges(state, dispatcher, follower, handler, relay_server),
            lambda: state.is_ready,
            metrics,
        )
        tasks.start_soon(server.serve)
        await wait_for_stop()
        with anyio.move_on_after(settings.stop_limit_ms / 1000):
            await _drain(settings, board, server, handler)
        tasks.cancel_scope.cancel()
    logger.info("stopped with %d requests in flight", board.in_flight)


def find_caller_timeouts(sheet: RouteSheet | None) -> ConnectionTimeouts:
    """Return the limits on callers' connections by the sheet in force, if any."""
    limits = sheet.limits if sheet else CallerLimits()
    return ConnectionTimeouts(
        header_s=limits.header_timeout_ms / 1000,
        idle_s=(limits.idle_timeout_ms + IDLE_GRACE_MS) / 1000,
    )


def header_names(settings: CatalogEntrySettings) -> HeaderNames:
    """Return the header names that the settings give."""
    return HeaderNames(
        attempt=settings.attempt_header,
        deadline=settings.deadline_header,
        load=settings.load_header,
        leaving=settings.leaving_header,
        limit=settings.limit_header,
        expected=settings.expected_header,
        not_run=settings.not_run_header,
        seal=settings.seal_header,
        account=settings.account_header,
        is_attempt_echoed=True,
        forwards_own_headers=True,
    )


async def _drain(
    settings: CatalogEntrySettings,
    board: Blackboard,
    server: EventDrivenServer,
    handler: RouteHandler,
) -> None:
    """Stop without interrupting a request that ends in time.

    The entry is reported as not ready at once, but accepts connections for `drain_ms`,
    since the load balancer's list lags behind; answers announce that their connection
    closes. Then it accepts no more connections and waits for the last request. Those
    left shortly before the stop limit are ended with an answer.
    """
    end_at_ms = monotonic_ms() + max(settings.stop_limit_ms - LAST_ANSWERS_MS, 0)
    drained_at_ms = monotonic_ms() + settings.drain_ms
    board.is_leaving, board.end_at_ms = True, end_at_ms
    logger.info("stopping: %d requests in flight", board.in_flight)
    await anyio.sleep((min(drained_at_ms, end_at_ms) - monotonic_ms()) / 1000)
    server.stop()
    while board.in_flight or server.server_state.connections:
        if monotonic_ms() >= end_at_ms:
            handler.end_requests()
        await anyio.sleep(DRAIN_POLL_S)


def _gauges(
    state: CatalogBoard,
    dispatcher: Dispatcher,
    follower: CatalogFollower,
    handler: RouteHandler,
    relay_server: RelayServer,
) -> dict[str, float]:
    board = state.board
    servers = [
        s for service in board.services.values() for s in service.servers.values()
    ]
    return {
        "catalog_revision": float(state.mirror.revision),
        "catalog_age_seconds": state.age_ms(monotonic_ms()) / 1000,
        "catalog_updates": float(follower.updates),
        "requests_in_flight": float(board.in_flight),
        "held_bytes": float(handler.held.held_bytes),
        "unread_answer_bytes": float(handler.count_unread()),
        "attempts": float(dispatcher.attempts),
        "sheds": float(dispatcher.sheds),
        "allowance_tokens_held": float(follower.allowances.held),
        "allowance_refusals": float(follower.allowances.refusals),
        "allowance_reserve_uses": float(follower.allowances.reserve_uses),
        "connections_opened": float(dispatcher.connections.opened),
        "relays_in_progress": float(relay_server.in_progress),
        "services_cut_off": float(board.count_cut_off_services()),
        "servers_ejected": float(sum(server.is_ejected for server in servers)),
    }
