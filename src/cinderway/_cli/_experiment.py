"""`cinderway experiment`: play decisions against a model of servers and callers."""

from concurrent.futures import ProcessPoolExecutor
from itertools import repeat
from pathlib import Path
from typing import Annotated

import typer

from cinderway._cli._options import exit_on_error

PLAYS_AT_ONCE = 4


def experiment(
    declaration: Annotated[Path, typer.Argument(help="The experiment's TOML file.")],
    plays: Annotated[int, typer.Option(min=1, help="How many seeds to play.")] = 4,
    first_seed: Annotated[int, typer.Option(help="The first of the seeds.")] = 0,
    csv: Annotated[Path | None, typer.Option(help="Write a row a second here.")] = None,
    plot: Annotated[Path | None, typer.Option(help="Draw an SVG here.")] = None,
) -> None:
    """Play an experiment in virtual time and print what its callers got."""
    # Here only: daemons load this module for their command line.
    from cinderway.experiment import draw, play, read_experiment, table_of, write_csv

    with exit_on_error():
        found = read_experiment(declaration)
        seeds = range(first_seed, first_seed + plays)
        with ProcessPoolExecutor(min(plays, PLAYS_AT_ONCE)) as processes:
            played = list(processes.map(play, repeat(found), seeds))
        print(f"{found.name}, seeds {seeds[0]} to {seeds[-1]}")
        print(table_of(played))
        if csv is not None:
            write_csv(played, csv)
        if plot is not None:
            draw(played, plot)
