"""`cinderway claims`: list and settle run-once requests in doubt."""

from enum import Enum
from typing import Annotated

import typer

from cinderway._cli._operator import ask_ledger
from cinderway._cli._options import with_settings
from cinderway._settings import OperatorSettings
from cinderway.ledger import ClaimName, Resolution, Settle

LIST_LIMIT = 1000

claims = typer.Typer(
    help="Run-once requests whose outcome is not known.", no_args_is_help=True
)


class Settled(Enum):
    """What an operator found out about a request in doubt."""

    RAN = "ran"
    NOT_RUN = "not-run"


RESOLUTIONS = {Settled.RAN: Resolution.RAN, Settled.NOT_RUN: Resolution.NOT_RUN}


@claims.command("list")
@with_settings(OperatorSettings)
def list_claims(settings: OperatorSettings) -> None:
    """Print the claims in doubt, oldest first."""
    found = ask_ledger(
        settings, lambda ledger, at: ledger.find_claims_in_doubt(LIST_LIMIT, at)
    )
    for record in found:
        name = record.name
        print(
            f"{name.service} {name.caller} {name.key} "
            f"attempt {record.attempt_id} by {record.entry}, {record.age_ms} ms ago"
        )
    print(f"{len(found)} in doubt")


@claims.command()
@with_settings(OperatorSettings)
def settle(
    settings: OperatorSettings,
    service: Annotated[str, typer.Argument(help="As `claims list` prints it.")],
    caller: Annotated[str, typer.Argument(help="As `claims list` prints it.")],
    key: Annotated[str, typer.Argument(help="As `claims list` prints it.")],
    outcome: Annotated[Settled, typer.Argument(help="not-run lets it run again.")],
) -> None:
    """Record what a look at the backend server's own books has shown."""
    request = Settle(ClaimName(service, caller, key), RESOLUTIONS[outcome])
    ask_ledger(settings, lambda ledger, at: ledger.settle(request, at))
    print(f"settled as {outcome.value}")
