"""The ledger process."""

from pathlib import Path

from cinderway._daemon import run_replica
from cinderway._ids import Address
from cinderway._settings import ReplicaSettings
from cinderway.ledger._machine import LedgerMachine
from cinderway.ledger._service import LedgerService
from cinderway.replication import DataFolder, Node
from cinderway.wire import Route

GROUP = "ledger"


async def run_ledger(settings: ReplicaSettings) -> None:
    """Run a ledger replica until the process is asked to stop."""
    machine = LedgerMachine()

    def build_routes(node: Node) -> tuple[Route, ...]:
        return (LedgerService(node, machine).route,)

    await run_replica(settings, GROUP, machine, build_routes)


def found_ledger(data_folder: Path, address: Address) -> None:
    """Initialize a data folder as the first replica of a new ledger group."""
    DataFolder(data_folder, GROUP, address).bootstrap(b"")
