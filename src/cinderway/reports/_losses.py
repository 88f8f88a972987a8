"""Aggregates why requests were not answered, from their log lines. Does no I/O."""

import statistics
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cinderway.reports._request_line import RequestLine

ANSWERED = "answered"
# An entry that has received nothing from control for this long counts as disconnected:
# three heartbeats, of which control sends two a second.
DISCONNECTED_AGE_MS = 1_500
PERCENTILE_COUNT = 100


@dataclass
class ServiceLosses:
    """One service's requests: durations of the answered, reasons for the others."""

    answered_ms: list[int] = field(default_factory=list)
    reasons: Counter[str] = field(default_factory=Counter)
    # Unanswered requests by the servers that they had been sent to.
    servers: Counter[str] = field(default_factory=Counter)

    @property
    def lost(self) -> int:
        """The number of requests that were not answered."""
        return self.reasons.total()

    @property
    def lost_percent(self) -> float:
        """The percentage of requests that were not answered; 0 without requests."""
        total = self.lost + len(self.answered_ms)
        return 100 * self.lost / total if total else 0.0

    def time_ms(self, percentile: int) -> float:
        """Return a percentile of the durations of answered requests; 0 without any."""
        if len(self.answered_ms) < 2:
            return float(sum(self.answered_ms))
        cuts = statistics.quantiles(
            self.answered_ms, n=PERCENTILE_COUNT, method="inclusive"
        )
        return cuts[percentile - 1]


def losses_of(lines: Iterable[RequestLine]) -> dict[str, ServiceLosses]:
    """Aggregate the log lines by service."""
    losses: dict[str, ServiceLosses] = {}
    for line in lines:
        service = losses.setdefault(line.service, ServiceLosses())
        if line.outcome == ANSWERED:
            service.answered_ms.append(line.duration_ms)
        else:
            service.reasons[describe_reason(line)] += 1
            service.servers.update(line.servers)
    return losses


def describe_reason(line: RequestLine) -> str:
    """Return a short text that says why a request was not answered."""
    what = line.code or "the server's own failure"
    where = f" at {line.step}" if line.step else ""
    servers_text = (
        f", {len(line.servers)} servers" if len(line.servers) != 1 else ", 1 server"
    )
    connection_text = (
        ", entry cut off from control" if line.age_ms > DISCONNECTED_AGE_MS else ""
    )
    return f"{what}{where}{servers_text}{connection_text}"
