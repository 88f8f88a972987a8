"""Requests that end the backend servers which run them ("queries of death").

Such a request is told by a digest of what its repeats share, whoever sends them to
whichever entry. Entries tell which servers ended under which requests; once three have
ended under one, no entry sends it any more, until a good answer to it shows that it was
not to blame, or its time is over.
"""

from cinderway.poison._digest import DIGEST_BYTES, RequestDigests
from cinderway.poison._messages import (
    EndedRun,
    RequestRuling,
    RequestRulings,
    RequestRuns,
)
from cinderway.poison._ruling import NO_RULING, Ruling, Standing
from cinderway.poison._tally import (
    CLEARED_FOR_MS,
    ENDS_TO_REFUSE,
    ENDS_TO_WATCH,
    MAX_TRACKED_REQUESTS,
    REFUSED_FOR_MS,
    REMEMBERED_MS,
    PoisonTally,
)

__all__ = [
    "CLEARED_FOR_MS",
    "DIGEST_BYTES",
    "ENDS_TO_REFUSE",
    "ENDS_TO_WATCH",
    "MAX_TRACKED_REQUESTS",
    "EndedRun",
    "NO_RULING",
    "REFUSED_FOR_MS",
    "REMEMBERED_MS",
    "PoisonTally",
    "RequestDigests",
    "RequestRuling",
    "RequestRulings",
    "RequestRuns",
    "Ruling",
    "Standing",
]
