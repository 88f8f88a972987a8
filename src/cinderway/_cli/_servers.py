"""`cinderway servers`: the backend servers that a control replica knows."""

from datetime import UTC, datetime
from typing import Annotated

import msgspec
import typer

from cinderway._cli._options import exit_on_error
from cinderway._cli._replica_http import get_from_replica
from cinderway.catalog import SERVERS_PATH, RegisteredServer

HEADER = ("server", "id", "started", "service", "data hall", "address", "status")
NOT_REPORTED = "-"

Replica = Annotated[
    str, typer.Argument(help="IP-number:port of a replica's HTTP interface.")
]

_decoder = msgspec.json.Decoder(list[RegisteredServer])


def servers(replica: Replica) -> None:
    """List the registered servers that one replica knows, with their start times."""
    with exit_on_error():
        print("\t".join(HEADER))
        for server in _decoder.decode(get_from_replica(replica, SERVERS_PATH)):
            print("\t".join(format_row(server)))


def format_row(server: RegisteredServer) -> list[str]:
    """Return the columns of one line of the list."""
    return [
        server.server_id,
        server.reported_id,
        _format_time(server.started_at_ms),
        server.service,
        server.data_hall,
        server.address,
        server.status.value,
    ]


def _format_time(at_ms: int) -> str:
    if not at_ms:
        return NOT_REPORTED
    try:
        at = datetime.fromtimestamp(at_ms / 1000, UTC)
    except (OverflowError, ValueError):
        # Servers report their own clock, which may be arbitrarily wrong.
        return str(at_ms)
    return at.isoformat(timespec="milliseconds")
