"""Relates each request's outcome to the previous outcome on the same server.

Servers fail in bursts. The statistics show how often a request was sent to a server
that had just failed another one, and how long before. Does no I/O.
"""

import re
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

from cinderway.reports._losses import ANSWERED
from cinderway.reports._request_line import RequestLine, parse_request_line

TIMESTAMP_PATTERN = re.compile(r"\d{4}-\d\d-\d\d[ T]\d\d:\d\d:\d\d[,.]\d{3}")
# Upper bounds, in ms, of the classes of time between an outcome and the next request:
# below the first, shorter than a request takes; below the second, shorter than a server
# stays suspected after a failure; the last class has no bound.
GAPS_MS = (500, 2_000)
FAILED = "failed"


@dataclass(frozen=True)
class ServerRun:
    """One request that was sent to a single server, in its entry's clock.

    `is_good`: it was answered.
    """

    service: str
    server: str
    began_at_ms: int
    ended_at_ms: int
    is_good: bool


@dataclass
class Followed:
    """How many requests followed a kind of outcome, and how many of them failed."""

    count: int = 0
    failed: int = 0

    @property
    def failed_percent(self) -> float:
        """The percentage of them that failed; 0 without any."""
        return 100 * self.failed / self.count if self.count else 0.0


@dataclass
class ServiceRuns:
    """One service's runs by server, and what followed which outcome.

    `followed` is keyed by whether the server's previous outcome was good and by the
    index of the gap since then in GAPS_MS; an index beyond its end is a longer gap.
    `first` counts requests that began before any outcome of their server was known.
    """

    runs: dict[str, list[ServerRun]] = field(default_factory=lambda: defaultdict(list))
    followed: dict[tuple[bool, int], Followed] = field(
        default_factory=lambda: defaultdict(Followed)
    )
    first: Followed = field(default_factory=Followed)


def parse_run(text: str) -> ServerRun | None:
    """Parse a log line; None if it does not give the outcome at one certain server.

    The line of a request that was sent to several servers does not tell which of them
    failed it.
    """
    line, logged_at = parse_request_line(text), TIMESTAMP_PATTERN.search(text)
    if line is None or logged_at is None or not _is_outcome_of_one_server(line):
        return None
    ended_at = datetime.fromisoformat(logged_at[0].replace(",", "."))
    ended_at_ms = round((ended_at - datetime(1970, 1, 1)).total_seconds() * 1000)
    return ServerRun(
        line.service,
        line.servers[0],
        ended_at_ms - line.duration_ms,
        ended_at_ms,
        line.outcome == ANSWERED,
    )


def _is_outcome_of_one_server(line: RequestLine) -> bool:
    return len(line.servers) == 1 and line.outcome in (ANSWERED, FAILED)


def runs_by_service(runs: Iterable[ServerRun]) -> dict[str, ServiceRuns]:
    """Group runs by service, and count what followed which outcome."""
    services: dict[str, ServiceRuns] = defaultdict(ServiceRuns)
    for run in runs:
        services[run.service].runs[run.server].append(run)
    for service in services.values():
        for server_runs in service.runs.values():
            _count_following(service, server_runs)
    return dict(services)


def _count_following(service: ServiceRuns, runs: list[ServerRun]) -> None:
    by_end = sorted(runs, key=lambda run: run.ended_at_ms)
    ends_ms = [run.ended_at_ms for run in by_end]
    for run in sorted(runs, key=lambda run: run.began_at_ms):
        before = bisect_right(ends_ms, run.began_at_ms)
        followed = service.first
        if before:
            last = by_end[before - 1]
            gap = bisect_right(GAPS_MS, run.began_at_ms - last.ended_at_ms)
            followed = service.followed[last.is_good, gap]
        followed.count += 1
        followed.failed += not run.is_good
    runs.sort(key=lambda run: run.began_at_ms)
