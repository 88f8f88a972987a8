"""Model data halls: a control replica's own HallService, over simulated links.

A simulated link delays messages and never loses them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from cinderway._ids import Address, DataHall, EntryName
from cinderway.catalog import (
    AnnounceReplica,
    CatalogMachine,
    EvidenceBatch,
    InstallSheet,
    Register,
    RegisteredServer,
    RouteRow,
    RouteSheet,
    ServerLoads,
    ServerStatus,
    ServiceEntry,
    SuspectServers,
    encode_command,
)
from cinderway.control._hall_assessor import HallAssessor, JudgementRules
from cinderway.control._hall_service import HallService
from cinderway.control._retry_pools import RetryPools
from cinderway.experiment._declaration import Experiment
from cinderway.experiment._servers import ModelServer
from cinderway.experiment._virtual_time import call_later
from cinderway.poison import RequestRulings, RequestRuns
from cinderway.pushback import ServerLimits
from cinderway.table import Bias
from cinderway.wire import Message

HOST = "model"
# Source: the default of control's setting `floor_percent`.
FLOOR_PERCENT = 70


def build_catalog(experiment: Experiment, servers: list[ModelServer]) -> CatalogMachine:
    """Build a catalog with the experiment's routes, servers and control replicas."""
    machine = CatalogMachine()
    commands = [InstallSheet.from_body(msgspec.json.encode(_build_sheet(experiment)))]
    commands += [Register(_build_registered_server(server)) for server in servers]
    commands += [build_replica(hall) for hall in experiment.halls]
    for index, command in enumerate(commands, 1):
        machine.apply(index, encode_command(command))
    return machine


def build_replica(hall: DataHall) -> AnnounceReplica:
    """Build the announcement of a hall's control replica; each hall has one."""
    return AnnounceReplica(Address(f"{hall}:1"), hall, Address(f"{hall}:2"))


def _build_sheet(experiment: Experiment) -> RouteSheet:
    routes = [
        RouteRow(
            name=route.name,
            host=HOST,
            path_prefix=f"/{route.name}/",
            kind=route.kind,
            timeout_ms=route.timeout_ms,
            objective_ms=route.objective_ms,
            priority=route.priority,
            service=route.service,
            server_limit=route.server_limit,
        )
        for route in experiment.routes
    ]
    services = [
        ServiceEntry(name=service.name, connection_limit=service.connection_limit)
        for service in experiment.services
    ]
    return RouteSheet(version=1, routes=routes, services=services)


def _build_registered_server(server: ModelServer) -> RegisteredServer:
    return RegisteredServer(
        server.name,
        server.service.name,
        server.address,
        server.data_hall,
        server.service.slots,
        ServerStatus.ACTIVE,
    )


@dataclass
class ModelHall:
    """One data hall's control replica."""

    experiment: Experiment
    name: DataHall
    machine: CatalogMachine
    halls: dict[Address, "ModelHall"]
    service: HallService = field(init=False)

    def __post_init__(self):
        own = build_replica(self.name)
        self.halls[own.address] = self
        rules = JudgementRules(Bias.BALANCED, FLOOR_PERCENT)
        pools = RetryPools(self.experiment.retry_percent, self.experiment.retry_burst)
        self.service = HallService.of(
            own, self.machine, self, HallAssessor(rules), pools
        )

    async def call(self, address: Address, message: Message, timeout_s: float) -> None:
        """Send a message to another hall's replica, as ReplicaCalls does."""
        other = self.halls[address].service
        match message:
            case SuspectServers():
                deliver: Callable = other.gossip.receive_replica_suspects
                call_later(self.experiment.other_hall_ms, deliver, message)
            case ServerLoads(servers=loads):
                deliver = other.gossip.receive_replica_loads
                call_later(self.experiment.other_hall_ms, deliver, self.name, loads)
            case RequestRuns():
                deliver = other.poison.receive_replica_runs
                call_later(self.experiment.other_hall_ms, deliver, message)
            case RequestRulings():
                deliver = other.poison.receive_rulings
                call_later(self.experiment.other_hall_ms, deliver, message)
            case ServerLimits():
                deliver = other.limits.receive_replica_limits
                call_later(self.experiment.other_hall_ms, deliver, message)

    def receive_report(self, entry: EntryName, message: Message) -> None:
        """Receive a report from an entry of the hall."""
        match message:
            case EvidenceBatch() as batch:
                self.service.receive_evidence(batch)
            case ServerLoads(servers=loads):
                self.service.gossip.receive_entry_loads(entry, loads)
            case SuspectServers() as suspects:
                self.service.gossip.receive_replica_suspects(suspects)
            case RequestRuns() as runs:
                self.service.poison.receive_entry_runs(runs)
            case RequestRulings() as rulings:
                self.service.poison.receive_rulings(rulings)
            case ServerLimits() as limits:
                self.service.limits.receive_entry_limits(limits)
