"""Say why requests were not served, from the lines with which they ended. Pure."""

import statistics
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cinderway.reports._request_line import RequestLine

ANSWERED = "answered"
# An entry that has heard nothing for so long is cut off from control: three of the
# heartbeats that come twice a second.
CUT_OFF_AGE_MS = 1_500
PERCENTILES = 100


@dataclass
class ServiceLosses:
    """One service's requests: how many were answered, how fast, and why others not."""

    answered_ms: list[int] = field(default_factory=list)
    reasons: Counter[str] = field(default_factory=Counter)
    # Failed requests by the servers that had got them.
    servers: Counter[str] = field(default_factory=Counter)

    @property
    def lost(self) -> int:
        """Requests that were not answered."""
        return self.reasons.total()

    @property
    def lost_percent(self) -> float:
        """Share of requests that were not answered."""
        total = self.lost + len(self.answered_ms)
        return 100 * self.lost / total if total else 0.0

    def time_ms(self, percentile: int) -> float:
        """Return the time within which so many of 100 answers came; 0 without any."""
        if len(self.answered_ms) < 2:
            return float(sum(self.answered_ms))
        cuts = statistics.quantiles(self.answered_ms, n=PERCENTILES, method="inclusive")
        return cuts[percentile - 1]


def losses_of(lines: Iterable[RequestLine]) -> dict[str, ServiceLosses]:
    """Return the losses of each service."""
    losses: dict[str, ServiceLosses] = {}
    for line in lines:
        service = losses.setdefault(line.service, ServiceLosses())
        if line.outcome == ANSWERED:
            service.answered_ms.append(line.duration_ms)
        else:
            service.reasons[reason_of(line)] += 1
            service.servers.update(line.servers)
    return losses


def reason_of(line: RequestLine) -> str:
    """Say in a few words why a request was not answered."""
    what = line.code or "the server's own failure"
    where = f" at {line.step}" if line.step else ""
    tries = f", {len(line.servers)} servers" if len(line.servers) != 1 else ", 1 server"
    alone = ", entry cut off from control" if line.age_ms > CUT_OFF_AGE_MS else ""
    return f"{what}{where}{tries}{alone}"
