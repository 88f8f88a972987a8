"""Results of experiments by route and by second, as a table, a CSV or a plot."""

import csv
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

from cinderway.experiment._callers import Outcome, RequestResult
from cinderway.experiment._declaration import ModelRoute
from cinderway.experiment._run import PlayResult

MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 3
MEDIAN_PERCENTILE = 50
TAIL_PERCENTILE = 95
MS_PER_S = 1000
SERVERS_ENDED_LABEL = "servers ended"


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


@dataclass
class RouteResult:
    """One route's requests over all plays, that is simulation runs."""

    route: ModelRoute
    outcomes: Counter[Outcome] = field(default_factory=Counter)
    answer_times_ms: HdrHistogram = field(default_factory=_build_histogram)

    def add(self, result: RequestResult) -> None:
        """Add one request."""
        self.outcomes[result.outcome] += 1
        if result.outcome in (Outcome.IN_TIME, Outcome.LATE):
            self.answer_times_ms.record_value(
                min(max(result.latency_ms, 1), MAX_LATENCY_MS)
            )

    @property
    def request_count(self) -> int:
        """The number of all requests."""
        return self.outcomes.total()

    def share(self, outcome: Outcome) -> float:
        """The share of the requests with this outcome; 0 without requests."""
        return (
            self.outcomes[outcome] / self.request_count if self.request_count else 0.0
        )

    def latency_at_percentile_ms(self, percentile: float) -> float:
        """The latency at a percentile of the answers, in time or late."""
        return self.answer_times_ms.get_value_at_percentile(percentile)

    @property
    def worth_share(self) -> float:
        """The worth of the answers, relative to all requests being answered in time.

        An answer in time counts as 1, a late one as the route's `late_worth / worth`.
        """
        late = self.route.late_worth / self.route.worth
        return self.share(Outcome.IN_TIME) + late * self.share(Outcome.LATE)


def group_by_route(plays: Iterable[PlayResult]) -> list[RouteResult]:
    """Aggregate several plays of one experiment by route."""
    route_results: dict[str, RouteResult] = {}
    for play_result in plays:
        for route in play_result.experiment.routes:
            route_results.setdefault(route.name, RouteResult(route))
        for result in play_result.results:
            route_results[result.route].add(result)
    return list(route_results.values())


def format_table(plays: list[PlayResult]) -> str:
    """Format the results as a text table with one line for each route."""
    lines = [
        "route                asked  in time    late  refused  failed"
        "  worth   p50 ms   p95 ms"
    ]
    for summary in group_by_route(plays):
        shares = [summary.share(outcome) for outcome in Outcome]
        times_ms = [
            summary.latency_at_percentile_ms(p)
            for p in (MEDIAN_PERCENTILE, TAIL_PERCENTILE)
        ]
        lines.append(
            f"{summary.route.name:20} {summary.request_count:5}"
            f"  {shares[0]:7.3f} {shares[1]:7.3f}  {shares[2]:7.3f} {shares[3]:7.3f}"
            f"  {summary.worth_share:5.3f}"
            f"  {times_ms[0]:7.0f}  {times_ms[1]:7.0f}"
        )
    opened = sum(play_result.connections_opened for play_result in plays)
    cross_hall_bytes = sum(play_result.cross_hall_bytes for play_result in plays)
    lines.append(
        f"{len(plays)} plays; a play: {opened / len(plays):.0f} connections opened, "
        f"{cross_hall_bytes / len(plays) / 1e6:.2f} MB of answers between halls"
    )
    kept = sum(play_result.requests_on_kept for play_result in plays)
    closed = sum(play_result.closed_under_request for play_result in plays)
    lost = sum(play_result.lost_to_closes for play_result in plays)
    lines.append(
        f"kept connections, a play: {kept / len(plays):.0f} requests sent, "
        f"{closed / len(plays):.1f} met one that its server had closed, "
        f"{lost / len(plays):.1f} of which were lost"
    )
    if any(play_result.experiment.poison for play_result in plays):
        ended = sum(len(play_result.server_crashes_ms) for play_result in plays)
        sent = sum(len(play_result.poison_arrivals_ms) for play_result in plays)
        repeats = sum(len(play_result.poison_results) for play_result in plays)
        lines.append(
            f"poison requests, a play: {repeats / len(plays):.1f} repeats, "
            f"{sent / len(plays):.1f} sent to servers, {ended / len(plays):.1f} of "
            "which ended"
        )
    return "\n".join(lines)


def outcomes_by_second(plays: Iterable[PlayResult]) -> dict[int, Counter[Outcome]]:
    """Count outcomes by the second of a play in which the requests were first sent."""
    outcomes: dict[int, Counter[Outcome]] = {}
    for play_result in plays:
        for result in play_result.results:
            second = (result.sent_at_ms - play_result.began_at_ms) // MS_PER_S
            outcomes.setdefault(second, Counter())[result.outcome] += 1
    return dict(sorted(outcomes.items()))


def server_crashes_by_second(plays: Iterable[PlayResult]) -> Counter[int]:
    """Count servers crashed by poison requests, by the second of a play."""
    return Counter(
        at_ms // MS_PER_S
        for play_result in plays
        for at_ms in play_result.server_crashes_ms
    )


def write_csv(plays: list[PlayResult], path: Path) -> None:
    """Write a CSV file with the outcomes of each second's requests."""
    with path.open("w", newline="") as file:
        rows = csv.writer(file)
        rows.writerow(
            ["second", *(outcome.value for outcome in Outcome), SERVERS_ENDED_LABEL]
        )
        ended = server_crashes_by_second(plays)
        for second, counts in outcomes_by_second(plays).items():
            row = [second, *(counts[outcome] for outcome in Outcome), ended[second]]
            rows.writerow(row)


def write_plot(plays: list[PlayResult], path: Path) -> None:
    """Draw the outcomes of each second's requests as an SVG file."""
    # Imported here because nothing else in the package needs the plotting library.
    import pygal

    seconds = outcomes_by_second(plays)
    # js=[]: by default the SVG refers to a script that the reader's browser would
    # download.
    chart = pygal.StackedBar(
        title=plays[0].experiment.name, x_title="second", y_title="requests", js=[]
    )
    chart.x_labels = [str(second) for second in seconds]
    for outcome in Outcome:
        counts = [counts[outcome] / len(plays) for counts in seconds.values()]
        chart.add(outcome.value, counts)
    ended = server_crashes_by_second(plays)
    if ended:
        chart.add(
            SERVERS_ENDED_LABEL, [ended[second] / len(plays) for second in seconds]
        )
    path.write_bytes(chart.render())
