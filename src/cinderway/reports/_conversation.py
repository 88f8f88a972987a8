"""The conversation between operators and entries."""

from enum import Enum

from cinderway._ids import EntryName, ServerName, ServiceName
from cinderway.wire import Conversation, Message


class ReadLevels(Message, frozen=True):
    """Ask for the service levels of the last days."""


class WindowCount(Message, frozen=True):
    """Requests of a window, and how many of them missed the objective."""

    window_s: int
    requests: int
    missed: int


class ServiceLevel(Message, frozen=True):
    """One service's windows, beside its objective."""

    service: ServiceName
    objective_percent: float
    windows: list[WindowCount]


class LevelsAnswer(Message, frozen=True):
    """All services on one entry."""

    entry: EntryName
    services: list[ServiceLevel]


class ReadEjections(Message, frozen=True):
    """Ask for the last ejections."""


class EventKind(Enum):
    """What happened to a backend server on an entry."""

    EJECTED = "ejected"
    TAKEN_BACK = "taken back"
    HELD_BY_FLOOR = "held by the floor"


class EjectionEvent(Message, frozen=True):
    """One change, with the evidence that brought it about."""

    service: ServiceName
    server: ServerName
    what: EventKind
    ago_ms: int
    reason: str
    score: float


class EjectionsAnswer(Message, frozen=True):
    """The last changes on one entry, oldest first."""

    entry: EntryName
    events: list[EjectionEvent]


REPORT = Conversation(
    "report", 1, (ReadLevels, LevelsAnswer, ReadEjections, EjectionsAnswer)
)
