"""`cinderway claims`: list and settle run-once requests with an unknown outcome."""

from enum import Enum
from typing import Annotated

import typer

from cinderway._cli._operator import call_ledger
from cinderway._cli._options import with_settings
from cinderway._settings import OperatorSettings
from cinderway.ledger import ClaimName, Resolution, Settle

LIST_LIMIT = 1000

claims = typer.Typer(
    help="Run-once requests whose outcome is unknown.", no_args_is_help=True
)


class SettledOutcome(Enum):
    """The outcome of a request in doubt, as an operator found out."""

    RAN = "ran"
    NOT_RUN = "not-run"


RESOLUTIONS = {
    SettledOutcome.RAN: Resolution.RAN,
    SettledOutcome.NOT_RUN: Resolution.NOT_RUN,
}


@claims.command("list")
@with_settings(OperatorSettings)
def list_claims(settings: OperatorSettings) -> None:
    """Print the claims whose outcome is unknown, oldest first."""
    records = call_ledger(
        settings,
        lambda ledger, deadline_ms: ledger.find_claims_in_doubt(
            LIST_LIMIT, deadline_ms
        ),
    )
    for record in records:
        name = record.name
        print(
            f"{name.service} {name.caller} {name.key} "
            f"attempt {record.attempt_id} by {record.entry}, {record.age_ms} ms ago"
        )
    print(f"{len(records)} in doubt")


@claims.command()
@with_settings(OperatorSettings)
def settle(
    settings: OperatorSettings,
    service: Annotated[str, typer.Argument(help="As `claims list` prints it.")],
    caller: Annotated[str, typer.Argument(help="As `claims list` prints it.")],
    key: Annotated[str, typer.Argument(help="As `claims list` prints it.")],
    outcome: Annotated[
        SettledOutcome, typer.Argument(help="After not-run, the request may run again.")
    ],
) -> None:
    """Record the outcome that the backend server's own records show."""
    request = Settle(ClaimName(service, caller, key), RESOLUTIONS[outcome])
    call_ledger(
        settings, lambda ledger, deadline_ms: ledger.settle(request, deadline_ms)
    )
    print(f"settled as {outcome.value}")
