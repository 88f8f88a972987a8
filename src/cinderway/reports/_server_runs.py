"""Say what an outcome at a server tells of the next request there. Pure.

Servers fail in bursts: whoever looks at a log wants to know how often a request met a
server that was known to fail, and how long before.
"""

import re
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

from cinderway.reports._losses import ANSWERED
from cinderway.reports._request_line import RequestLine, parse_request_line

LOGGED_AT = re.compile(r"\d{4}-\d\d-\d\d[ T]\d\d:\d\d:\d\d[,.]\d{3}")
# Upper ends of the times between an outcome and the next request, in ms: shorter than
# a request takes, than a suspicion lasts, and longer.
GAPS_MS = (500, 2_000)
FAILED = "failed"


@dataclass(frozen=True)
class ServerRun:
    """One request that went to one server alone, by its entry's clock."""

    service: str
    server: str
    began_at_ms: int
    ended_at_ms: int
    is_good: bool


@dataclass
class Followed:
    """Requests that came after an outcome: how many, and how many of them failed."""

    count: int = 0
    failed: int = 0

    @property
    def failed_percent(self) -> float:
        """Share of them that failed."""
        return 100 * self.failed / self.count if self.count else 0.0


@dataclass
class ServiceRuns:
    """One service's runs; `followed` is keyed by the last outcome and the gap."""

    runs: dict[str, list[ServerRun]] = field(default_factory=lambda: defaultdict(list))
    followed: dict[tuple[bool, int], Followed] = field(
        default_factory=lambda: defaultdict(Followed)
    )
    first: Followed = field(default_factory=Followed)


def parse_run(text: str) -> ServerRun | None:
    """Return what a log line says of a server; None if it says nothing for sure.

    A request that went to several servers does not tell which of them failed it.
    """
    line, logged_at = parse_request_line(text), LOGGED_AT.search(text)
    if line is None or logged_at is None or not _tells_of_server(line):
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


def _tells_of_server(line: RequestLine) -> bool:
    return len(line.servers) == 1 and line.outcome in (ANSWERED, FAILED)


def runs_by_service(runs: Iterable[ServerRun]) -> dict[str, ServiceRuns]:
    """Return each service's runs, and what followed which outcome."""
    services: dict[str, ServiceRuns] = defaultdict(ServiceRuns)
    for run in runs:
        services[run.service].runs[run.server].append(run)
    for service in services.values():
        for of_server in service.runs.values():
            _count(service, of_server)
    return dict(services)


def _count(service: ServiceRuns, runs: list[ServerRun]) -> None:
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
