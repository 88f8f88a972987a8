"""The assessor role of an entry.

Receives evidence reports from other entries and sends them verdict sheets.
"""

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
from cinderway.pushback import RateLimitStore, ServerLimits
from cinderway.wire import Connection, Message, Route

logger = logging.getLogger(__name__)

# Longest time between two decisions; a report of a failure triggers one at once.
DECIDE_INTERVAL_S = 0.1
# Delay before a decision, so that reports that arrive together are judged together.
BATCH_DELAY_S = 0.01
# A sheet is sent when verdicts change, and at least this often, to renew its leases.
SHEET_INTERVAL_MS = 500
# Traffic shares are compared rounded to this step: small changes trigger no sheet.
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
    """Serves the judgement conversation: the protocol of entries with assessors."""

    def __init__(self, board: Blackboard):
        self.assessor = Assessor(board.name)
        self.tally = PoisonTally()
        # Rulings on requests that are still to be sent to the connected entries.
        self._unsent_rulings: list[Ruling] = []
        # The rate limits that backend servers ask for, as entries report them.
        self._limits = RateLimitStore()
        self._unsent_limits: set[ServerName] = set()
        self._board = board
        self._sessions: set[_Session] = set()
        self._decide_now = anyio.Event()

    @property
    def route(self) -> Route:
        """The route that serves the connections of reporting entries."""
        return Route(JUDGEMENT, self._serve)

    async def run(self) -> None:
        """Decide and send sheets until cancelled."""
        while True:
            with anyio.move_on_after(DECIDE_INTERVAL_S):
                await self._decide_now.wait()
            self._decide_now = anyio.Event()
            # Let reports of the same moment arrive, so that they are judged together.
            await anyio.sleep(BATCH_DELAY_S)
            if not self._sessions:
                continue
            now_ms = monotonic_ms()
            await self._send_rulings(now_ms)
            await self._send_limits(now_ms)
            views = self.assessor.decide(self._board.table, now_ms)
            for session in list(self._sessions):
                await self._send_if_due(session, views.get(session.group), now_ms)

    async def _serve(self, connection: Connection, name: str) -> None:
        session = _Session(connection)
        session.reporter.first_heard_at_ms = monotonic_ms()
        self._sessions.add(session)
        try:
            # An entry that has just started knows no limits yet.
            now_ms = monotonic_ms()
            await connection.send(
                ServerLimits.of(self._limits.get_valid(now_ms), now_ms)
            )
            while True:
                envelope = await connection.receive()
                match envelope.message:
                    case EvidenceReport() as report:
                        self._receive_report(session, report)
                    case RequestRuns() as runs:
                        self._queue_rulings(
                            self.tally.record_runs(runs, monotonic_ms())
                        )
                    case RequestRulings() as rulings:
                        self._queue_rulings(
                            self.tally.apply_rulings(rulings, monotonic_ms())
                        )
                    case ServerLimits() as limits:
                        self._receive_limits(limits)
        finally:
            self._sessions.discard(session)

    def _receive_report(self, session: _Session, report: EvidenceReport) -> None:
        session.group = report.group
        session.report_sequence = report.sequence
        self.assessor.receive_report(
            report, session.reporter, self._board.table, monotonic_ms()
        )
        if any(evidence.bad for evidence in report.servers):
            self._decide_now.set()

    def _queue_rulings(self, rulings: list[Ruling]) -> None:
        """Queue rulings for the next send to all entries."""
        for ruling in rulings:
            logger.info("%s", ruling)
        if rulings:
            self._unsent_rulings += rulings
            self._decide_now.set()

    def _receive_limits(self, limits: ServerLimits) -> None:
        """Record servers' rate limits and queue the new ones for the next send."""
        now_ms = monotonic_ms()
        for line in limits.lines:
            if self._limits.record_limit(line.server, line.limit(now_ms)):
                self._unsent_limits.add(line.server)
                self._decide_now.set()

    async def _send_limits(self, now_ms: int) -> None:
        unsent, self._unsent_limits = self._unsent_limits, set()
        if not unsent:
            return
        held = self._limits.get_valid(now_ms)
        limits = {server: held[server] for server in unsent & held.keys()}
        for session in list(self._sessions):
            await self._send(session, ServerLimits.of(limits, now_ms))

    async def _send_rulings(self, now_ms: int) -> None:
        rulings, self._unsent_rulings = self._unsent_rulings, []
        if not rulings:
            return
        message = RequestRulings(
            [RequestRuling.from_ruling(r, now_ms) for r in rulings]
        )
        for session in list(self._sessions):
            await self._send(session, message)

    async def _send_if_due(
        self, session: _Session, view: GroupView | None, now_ms: int
    ) -> None:
        if view is None or session.report_sequence == 0:
            return
        is_due = now_ms - session.sent_at_ms >= SHEET_INTERVAL_MS
        if not is_due and not _has_changed(view, session.sent):
            return
        sequence = session.reporter.sheet_sequence + 1
        sheet = view.sheet(
            self._board.name, session.group, sequence, session.report_sequence
        )
        session.sent = view
        session.sent_at_ms = now_ms
        session.reporter.record_sent_sheet(sequence, now_ms)
        await self._send(session, sheet)

    async def _send(self, session: _Session, message: Message) -> None:
        try:
            # A peer that does not read must not delay the other entries' sheets.
            with anyio.fail_after(DECIDE_INTERVAL_S):
                await session.connection.send(message)
        except (CinderwayError, TimeoutError):
            self._sessions.discard(session)
            await session.connection.aclose()


def _has_changed(view: GroupView, sent: GroupView | None) -> bool:
    """Whether the new view would make the entry act differently."""
    return sent is None or _comparison_key(view) != _comparison_key(sent)


def _comparison_key(view: GroupView) -> list[tuple]:
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
