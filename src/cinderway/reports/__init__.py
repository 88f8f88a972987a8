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
from cinderway.reports._levels import WINDOWS_S, ServiceLevelCounter, burn_rate
from cinderway.reports._losses import ServiceLosses, aggregate_losses
from cinderway.reports._request_line import RequestLine, parse_request_line
from cinderway.reports._server_runs import (
    GAP_BOUNDS_MS,
    FollowingOutcomes,
    ServerRun,
    ServiceRuns,
    parse_server_run,
    runs_by_service,
)

__all__ = [
    "GAP_BOUNDS_MS",
    "REPORT",
    "WINDOWS_S",
    "EjectionEvent",
    "EjectionsAnswer",
    "EventKind",
    "FollowingOutcomes",
    "LevelsAnswer",
    "ReadEjections",
    "ReadLevels",
    "RequestLine",
    "ServerRun",
    "ServiceLevel",
    "ServiceLevelCounter",
    "ServiceLosses",
    "ServiceRuns",
    "WindowCount",
    "aggregate_losses",
    "burn_rate",
    "parse_request_line",
    "parse_server_run",
    "runs_by_service",
]
