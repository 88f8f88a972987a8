"""Detection of requests that crash the backend servers which run them.

Such requests are known as queries of death. A server "ends" under a request if its
process stops while the request is in flight there. A request is identified by a digest
of the parts that its repeats share, whoever sends it and whichever entry receives it.
Entries report which servers ended under which requests. Once three servers have ended
under the same request, all entries refuse it, until a good answer shows that it was not
the cause, or the refusal expires.
"""

from cinderway.poison._digest import DIGEST_BYTES, RequestDigests
from cinderway.poison._messages import (
    EndedRun,
    RequestRuling,
    RequestRulings,
    RequestRuns,
)
from cinderway.poison._ruling import NO_RULING, RequestStanding, Ruling
from cinderway.poison._tally import (
    CLEARED_FOR_MS,
    END_MEMORY_MS,
    MAX_TRACKED_REQUESTS,
    REFUSAL_THRESHOLD,
    REFUSED_FOR_MS,
    WATCH_THRESHOLD,
    PoisonTally,
)

__all__ = [
    "CLEARED_FOR_MS",
    "DIGEST_BYTES",
    "REFUSAL_THRESHOLD",
    "WATCH_THRESHOLD",
    "MAX_TRACKED_REQUESTS",
    "EndedRun",
    "NO_RULING",
    "REFUSED_FOR_MS",
    "END_MEMORY_MS",
    "PoisonTally",
    "RequestDigests",
    "RequestRuling",
    "RequestRulings",
    "RequestRuns",
    "Ruling",
    "RequestStanding",
]
