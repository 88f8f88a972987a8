"""The report protocol between operators and entries."""

from enum import Enum

from cinderway._ids import EntryName, ServerName, ServiceName
from cinderway.wire import Conversation, Message


class ReadLevels(Message, frozen=True):
    """Request the service levels; the longest window is three days."""


class WindowCount(Message, frozen=True):
    """The requests in a time window, and how many of them missed the objective."""

    window_s: int
    requests: int
    missed: int


class ServiceLevel(Message, frozen=True):
    """One service's objective, and its requests in each window."""

    service: ServiceName
    objective_percent: float
    windows: list[WindowCount]


class LevelsAnswer(Message, frozen=True):
    """The service levels of all services, as counted by one entry."""

    entry: EntryName
    services: list[ServiceLevel]


class ReadEjections(Message, frozen=True):
    """Request the latest ejections and reinstatements of backend servers."""


class EventKind(Enum):
    """A change of a backend server's ejection state on an entry."""

    EJECTED = "ejected"
    TAKEN_BACK = "taken back"
    HELD_BY_FLOOR = "held by the floor"


class EjectionEvent(Message, frozen=True):
    """One change of a server's ejection state, with the evidence that caused it."""

    service: ServiceName
    server: ServerName
    what: EventKind
    ago_ms: int
    reason: str
    score: float


class EjectionsAnswer(Message, frozen=True):
    """The latest ejection events on one entry, oldest first."""

    entry: EntryName
    events: list[EjectionEvent]


REPORT = Conversation(
    "report", 1, (ReadLevels, LevelsAnswer, ReadEjections, EjectionsAnswer)
)
