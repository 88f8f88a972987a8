"""What experiments showed: by route, by second, as a table, a CSV and a plot."""

import csv
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

from cinderway.experiment._callers import Outcome, Result
from cinderway.experiment._declaration import ModelRoute
from cinderway.experiment._run import Played

LONGEST_MS = 600_000
SIGNIFICANT_DIGITS = 3
USUAL_PERCENTILE = 50
SLOW_PERCENTILE = 95
MS_PER_S = 1000
ENDED = "servers ended"


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_MS, SIGNIFICANT_DIGITS)


@dataclass
class RouteResult:
    """One route's requests over all plays."""

    route: ModelRoute
    outcomes: Counter[Outcome] = field(default_factory=Counter)
    answer_times_ms: HdrHistogram = field(default_factory=_histogram)

    def add(self, result: Result) -> None:
        """Count one request."""
        self.outcomes[result.outcome] += 1
        if result.outcome in (Outcome.IN_TIME, Outcome.LATE):
            self.answer_times_ms.record_value(min(max(result.took_ms, 1), LONGEST_MS))

    @property
    def asked(self) -> int:
        """All requests."""
        return self.outcomes.total()

    def share(self, outcome: Outcome) -> float:
        """The share of the requests that ended so; 0 without any."""
        return self.outcomes[outcome] / self.asked if self.asked else 0.0

    def time_ms(self, percentile: float) -> float:
        """The time within which so many of 100 answers came."""
        return self.answer_times_ms.get_value_at_percentile(percentile)

    @property
    def earned(self) -> float:
        """What the answers were worth, of what all in time would have been."""
        late = self.route.late_worth / self.route.worth
        return self.share(Outcome.IN_TIME) + late * self.share(Outcome.LATE)


def by_route(plays: Iterable[Played]) -> list[RouteResult]:
    """Return each route's result over several plays of one experiment."""
    found: dict[str, RouteResult] = {}
    for played in plays:
        for route in played.experiment.routes:
            found.setdefault(route.name, RouteResult(route))
        for result in played.results:
            found[result.route].add(result)
    return list(found.values())


def table_of(plays: list[Played]) -> str:
    """Return the result as text, a line a route."""
    lines = [
        "route                asked  in time    late  refused  failed"
        "  worth   p50 ms   p95 ms"
    ]
    for found in by_route(plays):
        shares = [found.share(outcome) for outcome in Outcome]
        times_ms = [found.time_ms(p) for p in (USUAL_PERCENTILE, SLOW_PERCENTILE)]
        lines.append(
            f"{found.route.name:20} {found.asked:5}  {shares[0]:7.3f} {shares[1]:7.3f}"
            f"  {shares[2]:7.3f} {shares[3]:7.3f}  {found.earned:5.3f}"
            f"  {times_ms[0]:7.0f}  {times_ms[1]:7.0f}"
        )
    opened = sum(played.connections_opened for played in plays)
    far_bytes = sum(played.far_bytes for played in plays)
    lines.append(
        f"{len(plays)} plays; a play: {opened / len(plays):.0f} connections opened, "
        f"{far_bytes / len(plays) / 1e6:.2f} MB of answers between halls"
    )
    if any(played.experiment.poison for played in plays):
        ended = sum(len(played.server_ends_ms) for played in plays)
        sent = sum(len(played.poison_arrivals_ms) for played in plays)
        repeats = sum(len(played.poison_results) for played in plays)
        lines.append(
            f"poison requests, a play: {repeats / len(plays):.1f} repeats, "
            f"{sent / len(plays):.1f} sent to servers, {ended / len(plays):.1f} of "
            "which ended"
        )
    return "\n".join(lines)


def by_second(plays: Iterable[Played]) -> dict[int, Counter[Outcome]]:
    """Return what became of each second's requests, counted from a play's start."""
    found: dict[int, Counter[Outcome]] = {}
    for played in plays:
        for result in played.results:
            second = (result.asked_at_ms - played.began_at_ms) // MS_PER_S
            found.setdefault(second, Counter())[result.outcome] += 1
    return dict(sorted(found.items()))


def server_ends_by_second(plays: Iterable[Played]) -> Counter[int]:
    """Return how many servers poison requests ended in each second."""
    return Counter(
        at_ms // MS_PER_S for played in plays for at_ms in played.server_ends_ms
    )


def write_csv(plays: list[Played], path: Path) -> None:
    """Write a row for each second."""
    with path.open("w", newline="") as file:
        rows = csv.writer(file)
        rows.writerow(["second", *(outcome.value for outcome in Outcome), ENDED])
        ended = server_ends_by_second(plays)
        for second, counts in by_second(plays).items():
            row = [second, *(counts[outcome] for outcome in Outcome), ended[second]]
            rows.writerow(row)


def draw(plays: list[Played], path: Path) -> None:
    """Draw an SVG of the requests of each second, by what became of them."""
    # Here only: nothing else of the package needs the plotting library.
    import pygal

    seconds = by_second(plays)
    # Without the script that the library would have a reader's browser fetch.
    chart = pygal.StackedBar(
        title=plays[0].experiment.name, x_title="second", y_title="requests", js=[]
    )
    chart.x_labels = [str(second) for second in seconds]
    for outcome in Outcome:
        counts = [counts[outcome] / len(plays) for counts in seconds.values()]
        chart.add(outcome.value, counts)
    ended = server_ends_by_second(plays)
    if ended:
        chart.add(ENDED, [ended[second] / len(plays) for second in seconds])
    path.write_bytes(chart.render())
