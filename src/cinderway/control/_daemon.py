"""The control process that keeps the service table."""

from pathlib import Path

from cinderway._daemon import run_replica
from cinderway._ids import Address
from cinderway._settings import ReplicaSettings
from cinderway.control._service import ControlService
from cinderway.membership import Fleet
from cinderway.replication import DataFolder, Node
from cinderway.table import TableMachine, build_initial_snapshot
from cinderway.wire import Route

GROUP = "control"


async def run_control(settings: ReplicaSettings) -> None:
    """Run a control replica until it is told to stop."""
    machine = TableMachine()

    def routes_of(node: Node) -> tuple[Route, ...]:
        return (ControlService(node, machine, Fleet()).route,)

    await run_replica(settings, GROUP, machine, routes_of)


def found_control(data_folder: Path, address: Address, first_revision: int) -> None:
    """Initialize a data folder as the first replica of a new control group."""
    folder = DataFolder(data_folder, GROUP, address)
    folder.found(build_initial_snapshot(first_revision))
