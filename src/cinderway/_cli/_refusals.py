"""`cinderway refusals`: requests that are not sent, since servers ended under them."""

from typing import Annotated

import msgspec
import typer

from cinderway._cli._options import exit_on_error
from cinderway._cli._replica_http import call_replica, read_from
from cinderway.catalog import REFUSALS_PATH, RefusalRow

HEADER = ("digest", "standing", "for", "refusals", "servers that ended")

Replica = Annotated[
    str, typer.Argument(help="IP-number:port of a replica's HTTP interface.")
]
Digest = Annotated[str, typer.Argument(help="Its digest, as log lines name it.")]

refusals = typer.Typer(
    help="Requests under which backend servers ended.", no_args_is_help=True
)
_decoder = msgspec.json.Decoder(list[RefusalRow])


@refusals.command("list")
def list_refusals(replica: Replica) -> None:
    """List requests that are watched, refused or just cleared, as a replica knows."""
    with exit_on_error():
        print("\t".join(HEADER))
        for row in _decoder.decode(read_from(replica, REFUSALS_PATH)):
            print("\t".join(texts_of(row)))


@refusals.command()
def lift(replica: Replica, digest: Digest) -> None:
    """Let a request be sent again, everywhere: its servers were mended."""
    with exit_on_error():
        call_replica("DELETE", replica, f"{REFUSALS_PATH}/{digest}")
        print(f"{digest} is sent again")


@refusals.command()
def add(replica: Replica, digest: Digest) -> None:
    """Refuse a request everywhere before it has ended more servers."""
    with exit_on_error():
        call_replica("PUT", replica, f"{REFUSALS_PATH}/{digest}")
        print(f"{digest} is refused")


def texts_of(row: RefusalRow) -> list[str]:
    """Return one line's columns."""
    return [
        row.digest,
        row.standing,
        f"{row.left_ms / 1000:.0f} s",
        str(row.refusals),
        ",".join(row.servers) or "-",
    ]
