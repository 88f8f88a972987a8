"""Bring a request to a backend server: wait for a slot, attempt, note what came."""

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms, wall_clock_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AttemptId, ServerName
from cinderway._operators import Metrics
from cinderway.entry._blackboard import Blackboard, ServerState, ServiceState
from cinderway.entry.servers._backends import BackendConnections, ConnectionLostError
from cinderway.entry.servers._holds import hold_of
from cinderway.entry.servers._load_report import parse_load
from cinderway.entry.servers._messages import (
    BackendAnswer,
    BackendRequest,
)
from cinderway.entry.servers._permit import UNLIMITED, Permit
from cinderway.entry.servers._slots import Slots, WantedSlot
from cinderway.judgement import (
    PIECE_BYTES,
    Attempt,
    Bad,
    EvidenceLog,
)
from cinderway.pushback import NO_WORDS, ServerWords
from cinderway.routing import USUAL_PENALTIES, Penalties

logger = logging.getLogger(__name__)

SERVER_ERROR = 500
# After a shed the server gets nothing from this entry for about the time that one
# of its slots stays taken.
SHED_PAUSE_SHARE = 0.5
SHED_PAUSE_MINIMUM_MS = 2
SHED_PAUSE_MAXIMUM_MS = 250


@dataclass
class Exchange:
    """An answer under way, with where it comes from and its evidence."""

    answer: BackendAnswer
    server: ServerState
    attempt: Attempt
    started_at_ms: int
    permit: Permit = UNLIMITED

    def note_broken(self) -> None:
        """Note that the connection broke before the answer's end."""
        run_ms = monotonic_ms() - self.started_at_ms
        self.permit.note_broken_run(self.server.row.name, run_ms)


@dataclass
class Dispatcher:
    """Attempts for one entry."""

    board: Blackboard
    connections: BackendConnections
    evidence: EvidenceLog
    metrics: Metrics = field(default_factory=Metrics)
    sheds: int = 0
    attempts: int = 0
    _attempt_count: int = field(default=0)

    def __post_init__(self):
        self.slots = Slots(self.board, self.connections, self.evidence)

    def new_attempt_id(self) -> AttemptId:
        """Return an id that no other attempt of the fleet has."""
        self._attempt_count += 1
        token = self.board.rng.getrandbits(64)
        return AttemptId(f"{self.board.name}-{token:016x}-{self._attempt_count}")

    @asynccontextmanager
    async def exchange(
        self,
        service: ServiceState,
        request: BackendRequest,
        attempt_id: AttemptId,
        deadline_ms: int,
        *,
        exclude: set[ServerName],
        is_repeatable: bool,
        penalties: Penalties = USUAL_PENALTIES,
        objective_at_ms: int | None = None,
        permit: Permit = UNLIMITED,
    ) -> AsyncIterator[Exchange]:
        """Yield the head of one server's answer; its slot is held until the exit.

        The server is added to `exclude`, so that the next attempt tries another.

        Raises CinderwayError. Steps before DISPATCH and step CONNECT mean that the
        server got nothing; HeldBackError that another may get the request at once;
        BACKEND_SHED is the server's own word that it did not run it. QUEUE_FULL means
        that its answer would come after `objective_at_ms`, where that is given, because
        of the servers' queues. Where `permit` ends before the request is written, the
        error has its refusal's code.
        """
        wanted = WantedSlot(deadline_ms, exclude, penalties, objective_at_ms, permit)
        server = await self.slots.take(service, wanted)
        self._note_send(server, monotonic_ms())
        was_tried = server.row.name in exclude
        exclude.add(server.row.name)
        attempt = self.evidence.begin(service.row.name, server.row.name, monotonic_ms())
        try:
            try:
                answer = await self._send(
                    service,
                    server,
                    request,
                    attempt,
                    attempt_id,
                    deadline_ms,
                    is_fresh=not is_repeatable,
                    permit=permit,
                )
            except CinderwayError as error:
                if error.step is Step.QUEUE and not was_tried:
                    exclude.discard(server.row.name)
                raise
            try:
                exchange = Exchange(answer, server, attempt, attempt.mark_ms, permit)
                self._note_head(service, exchange, attempt_id)
                yield exchange
            finally:
                with anyio.CancelScope(shield=True):
                    await answer.aclose()
        finally:
            self.evidence.end(attempt)
            server.end_request()
            self._tell_load(server)
            service.free_slot()

    async def probe(
        self,
        service: ServiceState,
        server: ServerState,
        request: BackendRequest,
        deadline_ms: int,
    ) -> None:
        """Try one server out, beside callers' slots; what came goes to evidence."""
        attempt = self.evidence.begin(
            service.row.name, server.row.name, monotonic_ms(), is_probe=True
        )
        try:
            answer = await self._send(
                service,
                server,
                request,
                attempt,
                self.new_attempt_id(),
                deadline_ms,
                is_fresh=False,
            )
            try:
                self._note_reports(service, server, attempt, answer, monotonic_ms())
                if not answer.is_shed:
                    self.evidence.first_byte(attempt, answer.status, monotonic_ms())
                    await self._read_probe(answer, attempt, deadline_ms)
            finally:
                with anyio.CancelScope(shield=True):
                    await answer.aclose()
        finally:
            self.evidence.end(attempt)

    async def _read_probe(
        self, answer: BackendAnswer, attempt: Attempt, deadline_ms: int
    ) -> None:
        """Read a probe's body: a server may stall after the first byte, too."""
        size_bytes = 0
        with anyio.move_on_after(max(deadline_ms - monotonic_ms(), 0) / 1000):
            async for chunk in answer.chunks():
                size_bytes += len(chunk)
        if size_bytes >= PIECE_BYTES:
            self.evidence.piece_end(attempt, monotonic_ms())

    async def _send(
        self,
        service: ServiceState,
        server: ServerState,
        request: BackendRequest,
        attempt: Attempt,
        attempt_id: AttemptId,
        deadline_ms: int,
        *,
        is_fresh: bool,
        permit: Permit = UNLIMITED,
    ) -> BackendAnswer:
        """Send over a connection, a new one if `is_fresh`; failures are evidence."""
        self.attempts += 1
        remaining_s = max(deadline_ms - monotonic_ms(), 0) / 1000
        try:
            with anyio.fail_after(remaining_s):
                return await self.connections.send(
                    server.row.address,
                    request,
                    attempt_id,
                    deadline_ms,
                    fresh=is_fresh,
                    expected=server.row.own_name,
                    objection=lambda: _objection(service, server, permit),
                )
        except TimeoutError as error:
            self.evidence.fail(attempt, Bad.OVERDUE)
            raise CinderwayError(
                ErrorCode.DEADLINE_PASSED,
                "no answer before the deadline",
                step=Step.AWAIT_ANSWER,
                peer=server.row.address,
            ) from error
        except CinderwayError as error:
            if error.step is Step.QUEUE:
                # Nothing was written, for a reason that says nothing of the server.
                self._note_held_back(service, server, attempt_id, error)
                raise
            is_unreachable = error.step is Step.CONNECT
            kind = Bad.UNREACHABLE if is_unreachable else Bad.CUT
            self.evidence.fail(attempt, kind)
            if isinstance(error, ConnectionLostError):
                run_ms = monotonic_ms() - attempt.mark_ms
                permit.note_broken_run(server.row.name, run_ms)
            raise

    def _note_head(
        self, service: ServiceState, exchange: Exchange, attempt_id: AttemptId
    ) -> None:
        """Note what an answer's head says; raise if the request was not run."""
        now_ms = monotonic_ms()
        answer, server = exchange.answer, exchange.server
        self._note_reports(service, server, exchange.attempt, answer, now_ms)
        if answer.is_misdirected:
            # The address belongs to another server; this one is gone.
            server.is_listed_leaving = True
            raise _refused(
                server,
                ErrorCode.BACKEND_MISDIRECTED,
                "another server has the address now",
            )
        if answer.is_shed:
            self.sheds += 1
            server.pause_until_ms = now_ms + self._shed_pause_ms(service)
            self._note_shed(service, exchange, attempt_id, now_ms)
            if self.board.on_turned_away is not None:
                self.board.on_turned_away(server.row.name)
            raise _refused(
                server, ErrorCode.BACKEND_SHED, "the backend server shed the request"
            )
        self.evidence.first_byte(exchange.attempt, answer.status, now_ms)

    def _note_shed(
        self,
        service: ServiceState,
        exchange: Exchange,
        attempt_id: AttemptId,
        now_ms: int,
    ) -> None:
        server = exchange.server
        self.metrics.count("sheds_total", {"service": service.row.name})
        logger.info(
            "backend server %s of %s turned request %s away: status %d, "
            "%d requests of this entry there; nothing goes there for %d ms",
            server.row.name,
            service.row.name,
            attempt_id,
            exchange.answer.status,
            server.in_flight,
            max(server.pause_until_ms, server.pushback.rests_until_ms) - now_ms,
        )

    def _note_held_back(
        self,
        service: ServiceState,
        server: ServerState,
        attempt_id: AttemptId,
        error: CinderwayError,
    ) -> None:
        labels = {"service": service.row.name, "reason": error.code.value}
        self.metrics.count("held_back_total", labels)
        logger.info(
            "request %s was not written to backend server %s: %s",
            attempt_id,
            server.row.name,
            error.detail,
        )

    def _note_reports(
        self,
        service: ServiceState,
        server: ServerState,
        attempt: Attempt,
        answer: BackendAnswer,
        now_ms: int,
    ) -> None:
        words = answer.words(wall_clock_ms())
        if words is not NO_WORDS:
            self._note_words(service, server, attempt, words, now_ms)
        is_good = answer.status < SERVER_ERROR and not answer.is_shed
        if is_good and self.board.on_good_answer is not None:
            self.board.on_good_answer(server.row.name)
        reported = parse_load(answer.header(answer.names.load))
        if reported is not None:
            server.note_load(reported, now_ms)
            self._tell_load(server)

    def _note_words(
        self,
        service: ServiceState,
        server: ServerState,
        attempt: Attempt,
        words: ServerWords,
        now_ms: int,
    ) -> None:
        """Take over what a server asked for, and log it where it is new."""
        labels = {"service": service.row.name}
        if words.is_leaving and not server.pushback.leaves(now_ms):
            logger.info(
                "backend server %s of %s says that it leaves",
                server.row.name,
                service.row.name,
            )
        if words.rest_ms is not None:
            self.metrics.count("rests_total", labels)
            self.metrics.observe("rest_seconds", words.rest_ms / 1000, labels)
            logger.info(
                "backend server %s of %s asked this entry for %d ms of rest",
                server.row.name,
                service.row.name,
                words.rest_ms,
            )
        self.board.pushback.note(server.row.name, server.pushback, words, now_ms)
        if words.is_leaving:
            self.evidence.drain_seen(attempt)

    def _note_send(self, server: ServerState, now_ms: int) -> None:
        """Count a request at once, before the server's next answer tells of it."""
        if server.tells_load:
            load = server.told_load_at(now_ms) + 1 / server.row.slots
            server.note_load(load, now_ms)
        server.begin_request()
        self._tell_load(server)

    def _tell_load(self, server: ServerState) -> None:
        if self.board.on_load is not None:
            self.board.on_load(server.row.name)

    def _shed_pause_ms(self, service: ServiceState) -> int:
        share = SHED_PAUSE_SHARE + self.board.rng.random()
        pause_ms = round(service.admission.service_time_ms * share)
        return min(max(pause_ms, SHED_PAUSE_MINIMUM_MS), SHED_PAUSE_MAXIMUM_MS)


def _objection(
    service: ServiceState, server: ServerState, permit: Permit
) -> CinderwayError | None:
    """Return why a request may no longer be written to the server it was to go to.

    A connection may take half a second to come up; what is known by then counts.
    """
    return hold_of(service, server, monotonic_ms()) or permit.refusal()


def _refused(server: ServerState, code: ErrorCode, detail: str) -> CinderwayError:
    """Return the error for an answer by which a server did not run the request."""
    return CinderwayError(code, detail, step=Step.AWAIT_ANSWER, peer=server.row.address)
