"""The root command with all subcommands."""

from pathlib import Path
from typing import Annotated

import typer

from cinderway import __version__
from cinderway._cli._accounts import accounts
from cinderway._cli._claims import claims
from cinderway._cli._experiment import experiment
from cinderway._cli._options import exit_on_error, with_settings
from cinderway._cli._refusals import refusals
from cinderway._cli._report import report
from cinderway._cli._servers import servers
from cinderway._cli._table import table
from cinderway._ids import Address
from cinderway._launch import run_daemon
from cinderway._settings import (
    CatalogControlSettings,
    CatalogEntrySettings,
    EntrySettings,
    ReplicaSettings,
)

app = typer.Typer(
    help="A fleet of proxies for backend servers with gray failures.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.add_typer(table, name="table")
app.add_typer(claims, name="claims")
app.add_typer(report, name="report")
app.add_typer(refusals, name="refusals")
app.command()(experiment)
app.command()(accounts)
app.command()(servers)

Folder = Annotated[Path, typer.Option(help="The first replica's data folder.")]
Listen = Annotated[str, typer.Option(help="The first replica's IP-number:port.")]


@app.command()
@with_settings(EntrySettings)
def entry(settings: EntrySettings) -> None:
    """Run an entry, which routes callers' requests by the service table."""
    from cinderway.entry import run_entry

    run_daemon(run_entry, settings)


@app.command()
@with_settings(ReplicaSettings)
def control(settings: ReplicaSettings) -> None:
    """Run a control replica that stores the service table."""
    from cinderway.control import run_control

    run_daemon(run_control, settings)


@app.command()
@with_settings(CatalogEntrySettings)
def catalog_entry(settings: CatalogEntrySettings) -> None:
    """Run an entry, which routes callers' requests by the service catalog."""
    from cinderway.entry import run_catalog_entry

    run_daemon(run_catalog_entry, settings)


@app.command()
@with_settings(CatalogControlSettings)
def catalog_control(settings: CatalogControlSettings) -> None:
    """Run a control replica that stores the service catalog."""
    from cinderway.control import run_catalog_control

    run_daemon(run_catalog_control, settings)


@app.command()
@with_settings(ReplicaSettings)
def ledger(settings: ReplicaSettings) -> None:
    """Run a ledger replica, which stores the outcomes of run-once requests."""
    from cinderway.ledger import run_ledger

    run_daemon(run_ledger, settings)


@app.command()
def found_control(
    data_folder: Folder,
    listen: Listen,
    first_revision: Annotated[
        int,
        typer.Option(
            min=0,
            help="Initial revision; must be above the revision of every entry.",
        ),
    ] = 0,
) -> None:
    """Bootstrap a control group: initialize its first replica's data folder.

    To be run once per group, for one replica only.
    """
    from cinderway.control import found_control as bootstrap

    with exit_on_error():
        bootstrap(data_folder, Address(listen), first_revision)


@app.command()
def found_ledger(data_folder: Folder, listen: Listen) -> None:
    """Bootstrap a ledger group: initialize its first replica's data folder.

    To be run once per group, for one replica only.
    """
    from cinderway.ledger import found_ledger as bootstrap

    with exit_on_error():
        bootstrap(data_folder, Address(listen))


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


def main() -> None:
    """Run the command line."""
    app()
