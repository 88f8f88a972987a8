"""The control process that keeps the service catalog.

One process holds one replica of the catalog, serves the entries that follow it, and
answers operators and backend servers over HTTP.
"""

import logging

import anyio

from cinderway._daemon import (
    log_startup,
    start_operators_server,
    wait_for_stop,
)
from cinderway._first_start import creates_group
from cinderway._http_server import serve_http
from cinderway._ids import Address
from cinderway._logging import configure_logging
from cinderway._settings import CatalogControlSettings
from cinderway._settings_watch import SettingsWatcher
from cinderway.catalog import AnnounceReplica, CatalogMachine
from cinderway.control._account_tokens import VotingStatus
from cinderway.control._allowances import Allowances
from cinderway.control._catalog_http import CatalogHttp
from cinderway.control._catalog_service import CatalogService
from cinderway.control._commands import Commands, ReplicaCalls
from cinderway.control._hall_assessor import HallAssessor, JudgementRules
from cinderway.control._hall_service import HallService
from cinderway.control._retry_pools import RetryPools
from cinderway.limits import AllowanceRules
from cinderway.replication import DataFolder, Node, NodeSettings, Timing
from cinderway.wire import Identity, serve_connections

logger = logging.getLogger(__name__)

GROUP = "catalog"
# Little traffic, as each byte between data halls costs money, and still a new leader
# within two seconds: half of the time in which an accepted change must be in force.
# Replicas that are started together listen within some tens of milliseconds, and a vote
# takes one disk sync (1 to 5 ms) and one round trip (1 to 3 ms).
TIMING = Timing(
    heartbeat_ms=250,
    election_min_ms=900,
    election_max_ms=1_500,
    quorum_contact_timeout_ms=900,
    startup_min_ms=80,
    startup_max_ms=320,
)
TICK_S = 0.05
# A catalog of today's fleets takes about 15 KB, a route sheet about 8 KB. A replica
# that joins gets the log as well, so the log is limited to about thirty sheets.
COMPACT_AT_BYTES = 256 * 1024
# Part of the overshoot and slack beyond an account's allowance that replicas grant. The
# rest covers tokens that no replica counts: those granted by a replica that has lost
# its memory, and held by entries that reach no other replica yet.
GRANTED_TOLERANCE_SHARE = 0.9


async def run_catalog_control(settings: CatalogControlSettings) -> None:
    """Run one replica until it is told to stop.

    Before it stops, it transfers its leadership and gives up a vote that can be spared.
    """
    configure_logging(settings.log_format, settings.log_level)
    log_startup(logger, "catalog control", settings.listen)
    identity = Identity(f"{GROUP}@{settings.listen}", settings.shared_key)
    machine = CatalogMachine()
    _bootstrap_if_first(settings)
    folder = DataFolder(settings.data_folder, GROUP, settings.listen)
    node = Node(folder, machine, _node_settings(settings), identity)
    own = AnnounceReplica(settings.listen, settings.data_hall, settings.http_listen)
    rules = JudgementRules(settings.bias, settings.floor_percent)
    calls = ReplicaCalls(identity)
    hall = HallService.of(
        own,
        machine,
        calls,
        HallAssessor(rules),
        RetryPools(settings.retry_percent, settings.retry_burst),
    )
    hall.groups.reserve_percent = settings.allowance_reserve_percent
    hall.groups.allowance_rules = _allowance_rules(settings)
    service = CatalogService(
        node,
        machine,
        own,
        calls,
        Commands(node, machine, calls, 2 * settings.tolerated_losses + 1),
        hall,
        Allowances(
            settings.listen,
            machine,
            calls,
            _allowance_rules(settings),
            lambda: _voting_status(node),
            settings.allowance_reserve_percent / 100,
        ),
    )
    async with anyio.create_task_group() as tasks:
        routes = (node.route, service.route)
        await tasks.start(serve_connections, settings.listen, routes, identity)
        watch = SettingsWatcher(settings, lambda new: _apply_seeds(node, new))
        tasks.start_soon(watch.run)
        tasks.start_soon(node.run)
        tasks.start_soon(service.run)
        http = CatalogHttp(service)
        await tasks.start(serve_http, settings.http_listen, http)
        await start_operators_server(
            tasks, settings.operators_listen, lambda: _gauges(node, service, http)
        )
        await wait_for_stop()
        logger.info("stopping")
        await node.transfer_leadership()
        await node.leave()
        tasks.cancel_scope.cancel()
    folder.close()
    logger.info("stopped")


def _bootstrap_if_first(settings: CatalogControlSettings) -> None:
    """Bootstrap the group on the first seed, once, at the fleet's first start.

    For a replica that starts with an empty disk later, `is_first_start` is false. A
    bootstrap that was interrupted, also before it began, is completed at any later
    start.
    """
    is_first = creates_group(settings)
    folder = DataFolder(settings.data_folder, GROUP, settings.listen)
    if (is_first and folder.is_new) or folder.is_bootstrap_interrupted:
        folder.bootstrap(b"")
        logger.info("bootstrapped the group")
    else:
        folder.close()


def _allowance_rules(settings: CatalogControlSettings) -> AllowanceRules:
    return AllowanceRules(
        round(settings.allowance_window_s * 1000),
        settings.allowance_overshoot_ratio * GRANTED_TOLERANCE_SHARE,
        settings.allowance_slack_requests * GRANTED_TOLERANCE_SHARE,
    )


def _voting_status(node: Node) -> VotingStatus:
    voters = node.core.membership.voters
    return VotingStatus(node.core.replica_id in voters, len(voters))


def _apply_seeds(node: Node, settings: CatalogControlSettings) -> None:
    node.peers = _peer_addresses(settings)
    logger.info("seeds are now %s", ", ".join(settings.seeds))


def _peer_addresses(settings: CatalogControlSettings) -> tuple[Address, ...]:
    port = settings.listen.rpartition(":")[2]
    hosts = [seed.rpartition(":")[0] for seed in settings.seeds]
    return tuple(Address(f"{host}:{port}") for host in hosts)


def _node_settings(settings: CatalogControlSettings) -> NodeSettings:
    return NodeSettings(
        address=settings.listen,
        peers=_peer_addresses(settings),
        timing=TIMING,
        compaction_threshold_bytes=COMPACT_AT_BYTES,
        tick_s=TICK_S,
        target_voters=2 * settings.tolerated_losses + 1,
    )


def _gauges(node: Node, service: CatalogService, http: CatalogHttp) -> dict[str, float]:
    core = node.core
    sheet = service.machine.sheet
    return {
        "replica_is_leader": float(core.is_leader),
        "replica_term": float(core.term),
        "replica_commit_index": float(core.commit_index),
        "replica_voters": float(len(core.membership.voters)),
        "replica_members": float(len(core.membership.members)),
        "replica_is_voter": float(core.replica_id in core.membership.voters),
        "replica_silent_members": float(len(core.silent_members())),
        "replica_tolerated_losses": float(core.membership.tolerated_losses),
        "replica_proven_lost": float(len(core.proven_lost)),
        "replica_syncs": float(node.counters.syncs),
        "knowledge_age_seconds": service.knowledge_age_ms() / 1000,
        "catalog_revision": float(service.machine.revision),
        "heartbeats_refused": float(http.refused.count),
        "catalog_servers": float(len(service.machine.registry.servers)),
        "sheet_version": float(sheet.version if sheet else 0),
        "accounts_in_use": float(service.allowances.accounts_in_use),
        "entries_following": float(len(service.hall.followers)),
    }
