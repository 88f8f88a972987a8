"""Bring a request to a backend server: wait for a slot, attempt, note what came."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AttemptId, ServerName
from cinderway._operators import Metrics
from cinderway.entry._blackboard import Blackboard, ServerState, ServiceState
from cinderway.entry.servers._backends import BackendConnections, ConnectionLostError
from cinderway.entry.servers._holds import hold_of, turn_refusal
from cinderway.entry.servers._messages import (
    BackendAnswer,
    BackendRequest,
)
from cinderway.entry.servers._notes import Notes, Sending
from cinderway.entry.servers._permit import UNLIMITED, Permit
from cinderway.entry.servers._slots import Slots, WantedSlot
from cinderway.judgement import (
    PIECE_BYTES,
    Attempt,
    Bad,
    EvidenceLog,
)
from cinderway.pushback import Turn
from cinderway.routing import USUAL_PENALTIES, Penalties

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
        self.notes = Notes(self.board, self.evidence, self.metrics)

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
        self.notes.send(server, monotonic_ms())
        was_tried = server.row.name in exclude
        exclude.add(server.row.name)
        attempt = self.evidence.begin(service.row.name, server.row.name, monotonic_ms())
        sending = Sending(service, server, attempt, attempt_id, Turn(server.pushback))
        # Used now, so that no other request is given the same one; whether it was there
        # is asked when something is about to be written.
        sending.turn.take(monotonic_ms())
        is_fresh = not is_repeatable
        try:
            try:
                answer = await self._send(
                    sending, request, deadline_ms, permit, is_fresh=is_fresh
                )
            except CinderwayError as error:
                if error.step is Step.QUEUE and not was_tried:
                    exclude.discard(server.row.name)
                raise
            try:
                started_at_ms = attempt.mark_ms
                self._take_head(sending, answer)
                yield Exchange(answer, server, attempt, started_at_ms, permit)
            finally:
                with anyio.CancelScope(shield=True):
                    await answer.aclose()
        finally:
            self.evidence.end(attempt)
            self.notes.end(server)
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
        turn = Turn(server.pushback)
        sending = Sending(service, server, attempt, self.new_attempt_id(), turn)
        try:
            answer = await self._send(
                sending, request, deadline_ms, UNLIMITED, is_fresh=False
            )
            try:
                self.notes.head(sending, answer, monotonic_ms())
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
        sending: Sending,
        request: BackendRequest,
        deadline_ms: int,
        permit: Permit,
        *,
        is_fresh: bool,
    ) -> BackendAnswer:
        """Send over a connection, a new one if `is_fresh`; failures are evidence."""
        server, attempt = sending.server, sending.attempt
        self.attempts += 1
        remaining_s = max(deadline_ms - monotonic_ms(), 0) / 1000
        try:
            with anyio.fail_after(remaining_s):
                return await self.connections.send(
                    server.row.address,
                    request,
                    sending.attempt_id,
                    deadline_ms,
                    fresh=is_fresh,
                    expected=server.row.own_name,
                    objection=lambda: _objection(sending, permit),
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
            if error.step in (Step.QUEUE, Step.CONNECT):
                sending.turn.give_back()
            if error.step is Step.QUEUE:
                # Nothing was written, for a reason that says nothing of the server.
                self.notes.held_back(sending, error)
                raise
            is_unreachable = error.step is Step.CONNECT
            kind = Bad.UNREACHABLE if is_unreachable else Bad.CUT
            self.evidence.fail(attempt, kind)
            if isinstance(error, ConnectionLostError):
                run_ms = monotonic_ms() - attempt.mark_ms
                permit.note_broken_run(server.row.name, run_ms)
            raise

    def _take_head(self, sending: Sending, answer: BackendAnswer) -> None:
        """Note what an answer's head says; raise if the request was not run."""
        now_ms, server = monotonic_ms(), sending.server
        self.notes.head(sending, answer, now_ms)
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
            server.pause_until_ms = now_ms + self._shed_pause_ms(sending.service)
            self.notes.shed(sending, answer, now_ms)
            raise _refused(
                server, ErrorCode.BACKEND_SHED, "the backend server shed the request"
            )
        self.evidence.first_byte(sending.attempt, answer.status, now_ms)

    def _shed_pause_ms(self, service: ServiceState) -> int:
        share = SHED_PAUSE_SHARE + self.board.rng.random()
        pause_ms = round(service.admission.service_time_ms * share)
        return min(max(pause_ms, SHED_PAUSE_MINIMUM_MS), SHED_PAUSE_MAXIMUM_MS)


def _objection(sending: Sending, permit: Permit) -> CinderwayError | None:
    """Return why a request may no longer be written to the server it was to go to.

    A connection may take half a second to come up; what is known by then counts.
    """
    now_ms = monotonic_ms()
    hold = hold_of(sending.service, sending.server, now_ms)
    refusal = permit.refusal()
    # Asked last: it uses a turn up where one is needed.
    return hold or refusal or turn_refusal(sending.server, sending.turn, now_ms)


def _refused(server: ServerState, code: ErrorCode, detail: str) -> CinderwayError:
    """Return the error for an answer by which a server did not run the request."""
    return CinderwayError(code, detail, step=Step.AWAIT_ANSWER, peer=server.row.address)
