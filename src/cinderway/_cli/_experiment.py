"""`cinderway experiment`: simulate the fleet with modelled servers and callers."""

from concurrent.futures import ProcessPoolExecutor
from itertools import repeat
from pathlib import Path
from typing import Annotated

import typer

from cinderway._cli._options import exit_on_error

MAX_PARALLEL_RUNS = 4


def experiment(
    declaration: Annotated[Path, typer.Argument(help="The experiment's TOML file.")],
    plays: Annotated[int, typer.Option(min=1, help="Number of seeds to run.")] = 4,
    first_seed: Annotated[int, typer.Option(help="The first seed.")] = 0,
    load: Annotated[
        float, typer.Option(min=0, help="Factor of all routes' requests a second.")
    ] = 1.0,
    csv: Annotated[
        Path | None, typer.Option(help="Write a CSV row per second here.")
    ] = None,
    plot: Annotated[Path | None, typer.Option(help="Draw an SVG here.")] = None,
) -> None:
    """Run an experiment in virtual time and print the outcomes of callers' requests."""
    # Imported here because daemons started from the command line load this module, too.
    from cinderway.experiment import (
        format_table,
        play,
        read_experiment,
        scale_load,
        write_csv,
        write_plot,
    )

    with exit_on_error():
        experiment_to_run = scale_load(read_experiment(declaration), load)
        seeds = range(first_seed, first_seed + plays)
        with ProcessPoolExecutor(min(plays, MAX_PARALLEL_RUNS)) as processes:
            results = list(processes.map(play, repeat(experiment_to_run), seeds))
        print(f"{experiment_to_run.name}, seeds {seeds[0]} to {seeds[-1]}")
        print(format_table(results))
        if csv is not None:
            write_csv(results, csv)
        if plot is not None:
            write_plot(results, plot)
