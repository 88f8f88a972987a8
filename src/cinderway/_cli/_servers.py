"""`cinderway servers`: the backend servers that a control replica knows, by start."""

from datetime import UTC, datetime
from typing import Annotated

import msgspec
import typer

from cinderway._cli._options import exit_on_error
from cinderway._cli._replica_http import read_from
from cinderway.catalog import SERVERS_PATH, RegisteredServer

HEADER = ("server", "id", "started", "service", "data hall", "address", "status")
NOT_TOLD = "-"

Replica = Annotated[
    str, typer.Argument(help="IP-number:port of a replica's HTTP interface.")
]

_decoder = msgspec.json.Decoder(list[RegisteredServer])


def servers(replica: Replica) -> None:
    """List registered servers and their starts, as one replica knows them."""
    with exit_on_error():
        print("\t".join(HEADER))
        for server in _decoder.decode(read_from(replica, SERVERS_PATH)):
            print("\t".join(texts_of(server)))


def texts_of(server: RegisteredServer) -> list[str]:
    """Return one line's columns."""
    return [
        server.server_id,
        server.reported_id,
        _time_text(server.started_at_ms),
        server.service,
        server.data_hall,
        server.address,
        server.status.value,
    ]


def _time_text(at_ms: int) -> str:
    if not at_ms:
        return NOT_TOLD
    try:
        at = datetime.fromtimestamp(at_ms / 1000, UTC)
    except (OverflowError, ValueError):
        # A server's clock may say anything.
        return str(at_ms)
    return at.isoformat(timespec="milliseconds")
