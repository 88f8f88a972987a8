"""`cinderway refusals`: requests that are refused because servers ended under them."""

from typing import Annotated

import msgspec
import typer

from cinderway._cli._options import exit_on_error
from cinderway._cli._replica_http import call_replica, get_from_replica
from cinderway.catalog import REFUSALS_PATH, RefusalRow

HEADER = ("digest", "standing", "for", "refusals", "servers that ended")

Replica = Annotated[
    str, typer.Argument(help="IP-number:port of a replica's HTTP interface.")
]
Digest = Annotated[str, typer.Argument(help="The request's digest, as in log lines.")]

refusals = typer.Typer(
    help="Requests under which backend servers ended.", no_args_is_help=True
)
_decoder = msgspec.json.Decoder(list[RefusalRow])


@refusals.command("list")
def list_refusals(replica: Replica) -> None:
    """List the requests that a replica knows as watched, refused or cleared."""
    with exit_on_error():
        print("\t".join(HEADER))
        for row in _decoder.decode(get_from_replica(replica, REFUSALS_PATH)):
            print("\t".join(format_row(row)))


@refusals.command()
def lift(replica: Replica, digest: Digest) -> None:
    """Allow a request again on all entries, for instance once its cause is fixed."""
    with exit_on_error():
        call_replica("DELETE", replica, f"{REFUSALS_PATH}/{digest}")
        print(f"{digest} is allowed again")


@refusals.command()
def add(replica: Replica, digest: Digest) -> None:
    """Refuse a request on all entries before more servers end under it."""
    with exit_on_error():
        call_replica("PUT", replica, f"{REFUSALS_PATH}/{digest}")
        print(f"{digest} is refused")


def format_row(row: RefusalRow) -> list[str]:
    """Return the columns of one line of the list."""
    return [
        row.digest,
        row.standing,
        f"{row.left_ms / 1000:.0f} s",
        str(row.refusals),
        ",".join(row.servers) or "-",
    ]
