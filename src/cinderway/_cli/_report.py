"""`cinderway report`: error budgets, ejections, and statistics from entries' logs."""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import anyio
import typer

from cinderway._cli._operator import OPERATOR_NAME
from cinderway._cli._options import with_settings
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._settings import OperatorSettings
from cinderway.reports import (
    GAPS_MS,
    REPORT,
    WINDOWS_S,
    EjectionsAnswer,
    Followed,
    LevelsAnswer,
    ReadEjections,
    ReadLevels,
    RequestLine,
    ServerRun,
    burn_rate,
    losses_of,
    parse_request_line,
    parse_run,
    runs_by_service,
)
from cinderway.table import TABLE, ReadStatus
from cinderway.wire import Identity, Message, call_once

TIMEOUT_S = 3.0
BAR_CHARACTERS = 20
# The burn rate at which a bar has full length: it uses up the error budget of 30 days
# in about two.
FULL_BAR_RATE = 14.4
GAP_LABELS = [f"under {ms / 1000:g} s" for ms in GAPS_MS] + ["later"]
WINDOW_LABELS = {300: "5 min", 3600: "1 h", 21600: "6 h", 259200: "3 days"}

report = typer.Typer(help="What the entries have observed.", no_args_is_help=True)

EntriesOption = Annotated[
    str | None,
    typer.Option(
        help="Entries' --listen addresses; by default, control is asked for them."
    ),
]


@report.command()
@with_settings(OperatorSettings)
def burn(
    settings: OperatorSettings,
    entries: EntriesOption = None,
    plot: Annotated[
        Path | None, typer.Option(help="Also write an SVG chart here.")
    ] = None,
) -> None:
    """Print how fast each service uses up its error budget, over several windows."""
    answers = _query_entries(settings, entries, ReadLevels())
    rates = _compute_burn_rates(answers)
    for service, by_window in rates.items():
        print(service)
        for window_s, (requests, missed, rate) in by_window.items():
            length = min(round(rate / FULL_BAR_RATE * BAR_CHARACTERS), BAR_CHARACTERS)
            bar = "#" * length
            print(
                f"  {WINDOW_LABELS[window_s]:7} {rate:8.2f}x  {missed} of {requests} "
                f"missed  {bar}"
            )
    print(f"{len(answers)} entries answered")
    if plot is not None:
        _draw_chart(rates, plot)


@report.command()
@with_settings(OperatorSettings)
def ejections(settings: OperatorSettings, entries: EntriesOption = None) -> None:
    """Print ejections with time and evidence, and those that the floor prevented."""
    answers = _query_entries(settings, entries, ReadEjections())
    count = 0
    for answer in answers:
        for event in answer.events:
            count += 1
            evidence = (
                f"{event.reason}, score {event.score:.1f}" if event.reason else ""
            )
            print(
                f"{event.ago_ms / 1000:9.1f} s ago  {answer.entry:16} "
                f"{event.service}/{event.server} {event.what.value} {evidence}"
            )
    print(f"{count} changes on {len(answers)} entries")


@report.command()
def losses(
    logs: Annotated[list[Path], typer.Argument(help="Entries' logs.", exists=True)],
    most: Annotated[
        int, typer.Option(help="Number of reasons and servers to list.")
    ] = 8,
) -> None:
    """Print from entries' logs why requests were not answered, by service."""
    for service, stats in sorted(losses_of(_request_lines(logs)).items()):
        print(
            f"{service}: {len(stats.answered_ms)} answered, half of them within "
            f"{stats.time_ms(50):.0f} ms and 95 of 100 within {stats.time_ms(95):.0f} "
            f"ms; {stats.lost} not answered ({stats.lost_percent:.1f}%)"
        )
        for reason, count in stats.reasons.most_common(most):
            print(f"  {count:6} {reason}")
        for server, count in stats.servers.most_common(most):
            print(f"  {count:6} of them had gone to {server}")


@report.command()
def servers(
    logs: Annotated[list[Path], typer.Argument(help="Entries' logs.", exists=True)],
    server: Annotated[
        str | None, typer.Option(help="Print each request at this server.")
    ] = None,
) -> None:
    """Print how often requests failed after a success or failure at the same server.

    All logs are evaluated together. Only requests that went to a single server count.
    """
    services = runs_by_service(filter(None, map(parse_run, _log_lines(logs))))
    for name, service in sorted(services.items()):
        if server is not None:
            _print_runs(service.runs.get(server, []))
            continue
        runs = sum(map(len, service.runs.values()))
        print(f"{name}: {runs} requests at {len(service.runs)} servers")
        print(f"  {'first request seen':34}{_format_followed(service.first)}")
        for (is_good, gap), followed in sorted(service.followed.items()):
            outcome = "a good answer" if is_good else "a failure"
            print(
                f"  {f'{GAP_LABELS[gap]} after {outcome}':34}"
                f"{_format_followed(followed)}"
            )


def _format_followed(followed: Followed) -> str:
    return (
        f"{followed.count:6}, {followed.failed:5} failed "
        f"({followed.failed_percent:.0f}%)"
    )


def _print_runs(runs: list[ServerRun]) -> None:
    for run in runs:
        since_first_ms = run.began_at_ms - runs[0].began_at_ms
        outcome = "answered" if run.is_good else "failed"
        elapsed_ms = run.ended_at_ms - run.began_at_ms
        print(f"{since_first_ms / 1000:9.3f} s  {outcome} in {elapsed_ms} ms")


def _log_lines(logs: list[Path]) -> Iterator[str]:
    for log in logs:
        with log.open(errors="replace") as lines:
            yield from lines


def _request_lines(logs: list[Path]) -> Iterator[RequestLine]:
    yield from filter(None, map(parse_request_line, _log_lines(logs)))


def _compute_burn_rates(answers: list[LevelsAnswer]) -> dict[str, dict[int, tuple]]:
    requests: Counter = Counter()
    missed: Counter = Counter()
    objectives: dict[str, float] = {}
    for answer in answers:
        for level in answer.services:
            objectives[level.service] = level.objective_percent
            for window in level.windows:
                requests[level.service, window.window_s] += window.requests
                missed[level.service, window.window_s] += window.missed
    rates = {}
    for service, objective_percent in sorted(objectives.items()):
        rates[service] = {}
        for window_s in WINDOWS_S:
            counts = requests[service, window_s], missed[service, window_s]
            rate = burn_rate(*counts, objective_percent)
            rates[service][window_s] = (*counts, rate)
    return rates


def _draw_chart(rates: dict[str, dict[int, tuple]], path: Path) -> None:
    # Imported here because daemons started from the command line load this module, too,
    # and never draw charts.
    import pygal

    chart = pygal.Bar(
        title="Burn rate of the error budget, as a multiple of the allowed rate"
    )
    chart.x_labels = [WINDOW_LABELS[window_s] for window_s in WINDOWS_S]
    for service, by_window in rates.items():
        chart.add(service, [round(rate, 2) for _, _, rate in by_window.values()])
    path.write_bytes(chart.render())


def _query_entries(
    settings: OperatorSettings, entries: str | None, request: Message
) -> list[LevelsAnswer | EjectionsAnswer]:
    identity = Identity(OPERATOR_NAME, settings.shared_key)
    addresses = (
        entries.split(",") if entries else _find_entry_addresses(settings, identity)
    )

    async def ask_all() -> list:
        answers: list = []

        async def ask(address: str) -> None:
            try:
                answers.append(
                    await call_once(address, REPORT, identity, request, TIMEOUT_S)
                )
            except CinderwayError as error:
                print(f"no answer: {error}")

        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(ask, address)
        return sorted(answers, key=lambda answer: answer.entry)

    return anyio.run(ask_all)


def _find_entry_addresses(settings: OperatorSettings, identity: Identity) -> list[str]:
    for address in settings.control:
        try:
            status = anyio.run(
                call_once, address, TABLE, identity, ReadStatus(), TIMEOUT_S
            )
        except CinderwayError:
            continue
        known = [entry.address for entry in status.entries if entry.state != "gone"]
        if known:
            return known
    raise CinderwayError(
        ErrorCode.PEER_UNREACHABLE,
        "no reachable control replica knows any entry; give their addresses by "
        "--entries",
        step=Step.CONNECT,
    )
