"""Reports to operators, from entries and their logs.

Entries report how fast services use up their error budgets, and which servers were
ejected and why. Their logs tell why requests failed, and how failures of a server
follow each other.
"""

from cinderway.reports._conversation import (
    REPORT,
    EjectionEvent,
    EjectionsAnswer,
    EventKind,
    LevelsAnswer,
    ReadEjections,
    ReadLevels,
    ServiceLevel,
    WindowCount,
)
from cinderway.reports._levels import WINDOWS_S, LevelCounter, burn_rate
from cinderway.reports._losses import ServiceLosses, losses_of
from cinderway.reports._request_line import RequestLine, parse_request_line
from cinderway.reports._server_runs import (
    GAPS_MS,
    Followed,
    ServerRun,
    ServiceRuns,
    parse_run,
    runs_by_service,
)

__all__ = [
    "GAPS_MS",
    "REPORT",
    "WINDOWS_S",
    "EjectionEvent",
    "EjectionsAnswer",
    "Followed",
    "EventKind",
    "LevelCounter",
    "LevelsAnswer",
    "ReadEjections",
    "ReadLevels",
    "RequestLine",
    "ServerRun",
    "ServiceLevel",
    "ServiceLosses",
    "ServiceRuns",
    "WindowCount",
    "burn_rate",
    "losses_of",
    "parse_request_line",
    "parse_run",
    "runs_by_service",
]
