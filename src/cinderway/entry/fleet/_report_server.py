"""This entry's answers to operators: service levels and ejections."""

from collections import deque
from dataclasses import dataclass

from cinderway._clock import monotonic_ms
from cinderway._ids import ServerName, ServiceName
from cinderway.entry._blackboard import Blackboard
from cinderway.reports import (
    REPORT,
    EjectionEvent,
    EjectionsAnswer,
    EventKind,
    LevelCounter,
    LevelsAnswer,
    ReadLevels,
    ServiceLevel,
    WindowCount,
)
from cinderway.wire import Connection, Message, Route, serve_calls

MAX_EVENTS = 1_000


@dataclass(frozen=True)
class _Event:
    at_ms: int
    service: ServiceName
    server: ServerName
    what: EventKind
    reason: str
    score: float


class ReportServer:
    """Keeps service levels and ejection events, and serves them to operators."""

    def __init__(self, board: Blackboard):
        self._board = board
        self._levels: dict[ServiceName, LevelCounter] = {}
        self._events: deque[_Event] = deque(maxlen=MAX_EVENTS)

    @property
    def route(self) -> Route:
        """The route that serves operators' connections."""
        return Route(REPORT, self._serve)

    def record_request(self, service: ServiceName, is_missed: bool) -> None:
        """Record a request that met or missed its service's objective."""
        counter = self._levels.get(service)
        if counter is None:
            counter = self._levels[service] = LevelCounter()
        counter.count(is_missed, monotonic_ms())

    def record_event(
        self,
        service: ServiceName,
        server: ServerName,
        what: EventKind,
        reason: str = "",
        score: float = 0.0,
    ) -> None:
        """Record an event of a backend server, such as an ejection."""
        event = _Event(monotonic_ms(), service, server, what, reason, score)
        self._events.append(event)

    async def _serve(self, connection: Connection, name: str) -> None:
        await serve_calls(connection, name, self._answer)

    async def _answer(self, name: str, request: Message) -> Message:
        now_ms = monotonic_ms()
        if isinstance(request, ReadLevels):
            return LevelsAnswer(self._board.name, self._read_levels(now_ms))
        events = [
            EjectionEvent(
                event.service,
                event.server,
                event.what,
                now_ms - event.at_ms,
                event.reason,
                event.score,
            )
            for event in self._events
        ]
        return EjectionsAnswer(self._board.name, events)

    def _read_levels(self, now_ms: int) -> list[ServiceLevel]:
        levels = []
        for name, counter in sorted(self._levels.items()):
            state = self._board.services.get(name)
            if state is None:
                continue
            windows = [
                WindowCount(window_s, requests, missed)
                for window_s, (requests, missed) in counter.read(now_ms).items()
            ]
            levels.append(ServiceLevel(name, state.row.objective_percent, windows))
        return levels
