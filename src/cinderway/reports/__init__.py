"""What operators ask of entries: service-level burn, and who was ejected and why."""

from cinderway.reports._conversation import (
    REPORT,
    EjectionEvent,
    EjectionsAnswer,
    Happening,
    LevelsAnswer,
    ReadEjections,
    ReadLevels,
    ServiceLevel,
    WindowCount,
)
from cinderway.reports._levels import WINDOWS_S, LevelCounter, burn_rate
from cinderway.reports._losses import ServiceLosses, losses_of
from cinderway.reports._request_line import RequestLine, parse_request_line

__all__ = [
    "REPORT",
    "WINDOWS_S",
    "EjectionEvent",
    "EjectionsAnswer",
    "Happening",
    "LevelCounter",
    "LevelsAnswer",
    "ReadEjections",
    "ReadLevels",
    "RequestLine",
    "ServiceLevel",
    "ServiceLosses",
    "WindowCount",
    "burn_rate",
    "losses_of",
    "parse_request_line",
]
