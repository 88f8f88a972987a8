"""This entry as an assessor: takes other entries' reports and sends them sheets."""

import logging
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import ServerName
from cinderway.entry._blackboard import Blackboard
from cinderway.judgement import (
    JUDGEMENT,
    Assessor,
    EvidenceReport,
    GroupView,
    ReporterState,
)
from cinderway.poison import (
    PoisonTally,
    RequestRuling,
    RequestRulings,
    RequestRuns,
    Ruling,
)
from cinderway.pushback import LimitRecord, ServerLimits
from cinderway.wire import Connection, Message, Route

logger = logging.getLogger(__name__)

# At bad news it decides at once.
DECIDE_PAUSE_S = 0.1
GATHER_S = 0.01
# A sheet goes out at a change, and this often besides: leases need renewing.
SHEET_PAUSE_MS = 500
SHARE_STEP = 0.05


@dataclass(eq=False)
class _Session:
    connection: Connection
    reporter: ReporterState = field(default_factory=ReporterState)
    group: int = -1
    report_sequence: int = 0
    sent: GroupView | None = None
    sent_at_ms: int = 0


class AssessorServer:
    """Serves the judgement conversation."""

    def __init__(self, board: Blackboard):
        self.assessor = Assessor(board.name)
        self.tally = PoisonTally()
        # Rulings on requests that the entries here are to be told of.
        self._rulings: list[Ruling] = []
        # The rates that servers name, as entries tell them.
        self._limits = LimitRecord()
        self._untold_limits: set[ServerName] = set()
        self._board = board
        self._sessions: set[_Session] = set()
        self._bad_news = anyio.Event()

    @property
    def route(self) -> Route:
        """What serves the entries' connections."""
        return Route(JUDGEMENT, self._serve)

    async def run(self) -> None:
        """Decide and send sheets until cancelled."""
        while True:
            with anyio.move_on_after(DECIDE_PAUSE_S):
                await self._bad_news.wait()
            self._bad_news = anyio.Event()
            # Reports of the same moment are judged together.
            await anyio.sleep(GATHER_S)
            if not self._sessions:
                continue
            now_ms = monotonic_ms()
            await self._tell_rulings(now_ms)
            await self._tell_limits(now_ms)
            views = self.assessor.decide(self._board.table, now_ms)
            for session in list(self._sessions):
                await self._send_if_due(session, views.get(session.group), now_ms)

    async def _serve(self, connection: Connection, name: str) -> None:
        session = _Session(connection)
        session.reporter.first_heard_at_ms = monotonic_ms()
        self._sessions.add(session)
        try:
            # An entry that has just started knows of no limit.
            now_ms = monotonic_ms()
            await connection.send(ServerLimits.of(self._limits.held(now_ms), now_ms))
            while True:
                envelope = await connection.receive()
                match envelope.message:
                    case EvidenceReport() as report:
                        self._take(session, report)
                    case RequestRuns() as runs:
                        self._note(self.tally.note_runs(runs, monotonic_ms()))
                    case RequestRulings() as told:
                        self._note(self.tally.learn_all(told, monotonic_ms()))
                    case ServerLimits() as told:
                        self._learn_limits(told)
        finally:
            self._sessions.discard(session)

    def _take(self, session: _Session, report: EvidenceReport) -> None:
        session.group = report.group
        session.report_sequence = report.sequence
        self.assessor.take(report, session.reporter, self._board.table, monotonic_ms())
        if any(evidence.bad for evidence in report.servers):
            self._bad_news.set()

    def _note(self, rulings: list[Ruling]) -> None:
        """Keep rulings for the next telling."""
        for ruling in rulings:
            logger.info("%s", ruling)
        if rulings:
            self._rulings += rulings
            self._bad_news.set()

    def _learn_limits(self, told: ServerLimits) -> None:
        """Keep what is new of servers' rates for the next telling."""
        now_ms = monotonic_ms()
        for line in told.lines:
            if self._limits.learn(line.server, line.limit(now_ms)):
                self._untold_limits.add(line.server)
                self._bad_news.set()

    async def _tell_limits(self, now_ms: int) -> None:
        untold, self._untold_limits = self._untold_limits, set()
        if not untold:
            return
        held = self._limits.held(now_ms)
        told = {server: held[server] for server in untold & held.keys()}
        for session in list(self._sessions):
            await self._send(session, ServerLimits.of(told, now_ms))

    async def _tell_rulings(self, now_ms: int) -> None:
        rulings, self._rulings = self._rulings, []
        if not rulings:
            return
        told = RequestRulings([RequestRuling.of(r, now_ms) for r in rulings])
        for session in list(self._sessions):
            await self._send(session, told)

    async def _send_if_due(
        self, session: _Session, view: GroupView | None, now_ms: int
    ) -> None:
        if view is None or session.report_sequence == 0:
            return
        is_due = now_ms - session.sent_at_ms >= SHEET_PAUSE_MS
        if not is_due and not _differs(view, session.sent):
            return
        sequence = session.reporter.sheet_sequence + 1
        sheet = view.sheet(
            self._board.name, session.group, sequence, session.report_sequence
        )
        session.sent = view
        session.sent_at_ms = now_ms
        session.reporter.note_sheet(sequence, now_ms)
        await self._send(session, sheet)

    async def _send(self, session: _Session, message: Message) -> None:
        try:
            # A peer that does not read must not hold up the others' sheets.
            with anyio.fail_after(DECIDE_PAUSE_S):
                await session.connection.send(message)
        except (CinderwayError, TimeoutError):
            self._sessions.discard(session)
            await session.connection.aclose()


def _differs(view: GroupView, sent: GroupView | None) -> bool:
    """Whether the entry would act differently by the new view."""
    return sent is None or _essence(view) != _essence(sent)


def _essence(view: GroupView) -> list[tuple]:
    return [
        (
            verdict.service,
            verdict.server,
            verdict.standing,
            tuple(verdict.halls),
            verdict.probes_per_s > 0,
            round(verdict.share / SHARE_STEP),
        )
        for verdict in view.servers
    ]
