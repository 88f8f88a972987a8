"""Dispatches requests to backend servers: acquire a slot, send, record the outcome."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AttemptId, ServerName, ServiceName
from cinderway._operators import Metrics
from cinderway.entry._blackboard import Blackboard, ServerState, ServiceState
from cinderway.entry.servers._backends import (
    BackendConnections,
    ConnectionLostError,
    UseRecorder,
    ignore_use,
)
from cinderway.entry.servers._candidates import build_candidates
from cinderway.entry.servers._messages import (
    BackendAnswer,
    BackendRequest,
)
from cinderway.entry.servers._notes import AttemptRecorder, OutgoingAttempt
from cinderway.entry.servers._permit import UNLIMITED, Permit
from cinderway.entry.servers._relays import RelayError, RelayOrder, RequestRelays
from cinderway.entry.servers._send_checks import check_rate_limit, check_server
from cinderway.entry.servers._slots import SlotRequirements, Slots
from cinderway.judgement import (
    PIECE_BYTES,
    Attempt,
    EvidenceLog,
    FailureKind,
)
from cinderway.pushback import HELD_TOKEN, RateToken
from cinderway.reachability import Observation, UplinkChange, UplinkState
from cinderway.routing import DEFAULT_PENALTIES, Penalties
from cinderway.scheduling import WorkClass

SERVER_ERROR = 500
# An answer to a probe that is larger has no end.
PROBE_LIMIT_BYTES = 1024 * 1024
# After a shed, this entry sends the server nothing for about the time that one of its
# slots stays occupied: the service time multiplied by this share plus a random number
# below 1.
SHED_PAUSE_SHARE = 0.5
SHED_PAUSE_MINIMUM_MS = 2
SHED_PAUSE_MAXIMUM_MS = 250


@dataclass
class Exchange:
    """A response in progress, with its server and its attempt in the evidence log."""

    answer: BackendAnswer
    server: ServerState
    attempt: Attempt
    started_at_ms: int
    permit: Permit = UNLIMITED

    def record_broken_connection(self) -> None:
        """Record that the server's connection broke before the end of the response."""
        if self.attempt.is_excluded:
            return
        run_ms = monotonic_ms() - self.started_at_ms
        self.permit.record_failed_run(self.server.row.name, run_ms)


@dataclass
class Dispatcher:
    """Sends the attempts of one entry to backend servers."""

    board: Blackboard
    connections: BackendConnections
    evidence: EvidenceLog
    metrics: Metrics = field(default_factory=Metrics)
    # How requests are sent while servers cannot be connected to; None if only directly.
    relays: RequestRelays | None = None
    sheds: int = 0
    attempts: int = 0
    _attempt_count: int = field(default=0)

    def __post_init__(self):
        self.evidence.defer = self._defer
        self.board.uplinks.listeners.append(self._handle_uplink_change)
        self.slots = Slots(self.board, self.connections, self.evidence)
        self.recorder = AttemptRecorder(self.board, self.evidence, self.metrics)

    def _defer(
        self, service: ServiceName, kind: FailureKind, record: Observation
    ) -> None:
        uplink = self.board.uplinks.of(service)
        if kind is FailureKind.OVERDUE:
            uplink.record_silence(record)
        else:
            uplink.defer(record)

    def _handle_uplink_change(self, change: UplinkChange) -> None:
        if change.after is UplinkState.CUT_OFF:
            self.evidence.exclude_service(change.service)

    def new_attempt_id(self) -> AttemptId:
        """Return an attempt id that is unique in the fleet."""
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
        penalties: Penalties = DEFAULT_PENALTIES,
        objective_at_ms: int | None = None,
        permit: Permit = UNLIMITED,
        record_use: UseRecorder = ignore_use,
        work: WorkClass | None = None,
    ) -> AsyncIterator[Exchange]:
        """Send a request to one server and yield the head of its response.

        The slot is held until the exit. The server is added to `exclude`, so that the
        next attempt tries another one.

        Raises CinderwayError. Steps before DISPATCH and step CONNECT mean that nothing
        was sent to the server. HeldBackError means that the request may be sent to
        another server at once. BACKEND_SHED means that the server stated that it did
        not run the request. QUEUE_FULL means that the servers' queues would delay the
        response past `objective_at_ms`, if that is given. If `permit` is withdrawn
        before the request is written, the error has the code of the permit's refusal.
        `record_use` is called with the kind of connection that the request is sent on.
        """
        wanted = SlotRequirements(
            deadline_ms,
            exclude,
            penalties,
            objective_at_ms,
            permit,
            is_repeatable,
            work,
        )
        server = await self.slots.acquire(service, wanted)
        (candidate,) = build_candidates([server], monotonic_ms())
        self.recorder.record_sent(server, monotonic_ms())
        was_tried = server.row.name in exclude
        exclude.add(server.row.name)
        attempt = self.evidence.start_attempt(
            service.row.name,
            server.row.name,
            monotonic_ms(),
            work=self.board.find_mixed_class(work),
        )
        outgoing = OutgoingAttempt(
            service, server, attempt, attempt_id, RateToken(server.pushback)
        )
        # Acquired now, so that no other request gets the same token. Whether it was
        # granted is checked just before the request is written.
        outgoing.token.acquire(monotonic_ms())
        try:
            try:
                answer = await self._send(
                    outgoing,
                    request,
                    deadline_ms,
                    permit,
                    is_repeatable=is_repeatable,
                    record_use=record_use,
                )
            except CinderwayError as error:
                if error.step is Step.QUEUE and not was_tried:
                    exclude.discard(server.row.name)
                raise
            try:
                started_at_ms = attempt.piece_started_at_ms
                self._apply_head(outgoing, answer)
                if work is not None and answer.status < SERVER_ERROR:
                    answer_ms = monotonic_ms() - started_at_ms
                    self._record_work(work, answer_ms, candidate.next_load)
                yield Exchange(answer, server, attempt, started_at_ms, permit)
            finally:
                with anyio.CancelScope(shield=True):
                    await answer.aclose()
        finally:
            self.evidence.end_attempt(attempt)
            self.recorder.record_end(server)
            service.free_slot()

    @asynccontextmanager
    async def relay(
        self,
        service: ServiceState,
        server: ServerState,
        request: BackendRequest,
        attempt_id: AttemptId,
        deadline_ms: int,
        *,
        is_repeatable: bool,
        permit: Permit,
        record_use: UseRecorder = ignore_use,
    ) -> AsyncIterator[Exchange]:
        """Send another entry's request to the server that it chose for it.

        The other entry counts the request, and holds its slot and its token of the
        server's rate limit. Raises CinderwayError as `exchange` does.
        """
        attempt = self.evidence.start_attempt(
            service.row.name, server.row.name, monotonic_ms()
        )
        outgoing = OutgoingAttempt(service, server, attempt, attempt_id, HELD_TOKEN)
        try:
            started_at_ms = monotonic_ms()
            answer = await self._send_directly(
                outgoing,
                request,
                deadline_ms,
                permit,
                is_repeatable=is_repeatable,
                record_use=record_use,
            )
            try:
                self._apply_head(outgoing, answer)
                yield Exchange(answer, server, attempt, started_at_ms, permit)
            finally:
                with anyio.CancelScope(shield=True):
                    await answer.aclose()
        finally:
            self.evidence.end_attempt(attempt)

    async def probe(
        self,
        service: ServiceState,
        server: ServerState,
        request: BackendRequest,
        deadline_ms: int,
    ) -> None:
        """Send a probe to one server, without a slot; record the result as evidence.

        It is never relayed, since it is to tell what this entry observes.
        """
        attempt = self.evidence.start_attempt(
            service.row.name, server.row.name, monotonic_ms(), is_probe=True
        )
        token = RateToken(server.pushback)
        outgoing = OutgoingAttempt(
            service, server, attempt, self.new_attempt_id(), token
        )
        try:
            answer = await self._send_directly(
                outgoing, request, deadline_ms, UNLIMITED, is_repeatable=True
            )
            try:
                now_ms = monotonic_ms()
                self.recorder.record_head(outgoing, answer, now_ms, is_probe=True)
                if not answer.is_shed:
                    self.evidence.record_first_byte(
                        attempt, answer.status, monotonic_ms()
                    )
                    await self._read_probe(answer, attempt, deadline_ms)
            finally:
                with anyio.CancelScope(shield=True):
                    await answer.aclose()
        finally:
            self.evidence.end_attempt(attempt)

    async def _read_probe(
        self, answer: BackendAnswer, attempt: Attempt, deadline_ms: int
    ) -> None:
        """Read a probe's body, since a server may also stall after the first byte."""
        size_bytes = 0
        with anyio.move_on_after(max(deadline_ms - monotonic_ms(), 0) / 1000):
            async for chunk in answer.chunks():
                size_bytes += len(chunk)
                if size_bytes > PROBE_LIMIT_BYTES:
                    self.evidence.record_failure(attempt, FailureKind.ERROR)
                    return
        if size_bytes >= PIECE_BYTES:
            self.evidence.record_piece_end(attempt, monotonic_ms())

    async def _send(
        self,
        outgoing: OutgoingAttempt,
        request: BackendRequest,
        deadline_ms: int,
        permit: Permit,
        *,
        is_repeatable: bool,
        record_use: UseRecorder = ignore_use,
    ) -> BackendAnswer:
        """Send a request to the chosen server, directly or through another entry."""
        uplink = self.board.uplinks.of(outgoing.service.row.name)
        is_relayed = (
            uplink.is_cut_off
            and self.relays is not None
            and self.relays.can_relay(monotonic_ms())
        )
        send = self._send_relayed if is_relayed else self._send_directly
        return await send(
            outgoing,
            request,
            deadline_ms,
            permit,
            is_repeatable=is_repeatable,
            record_use=record_use,
        )

    async def _send_relayed(
        self,
        outgoing: OutgoingAttempt,
        request: BackendRequest,
        deadline_ms: int,
        permit: Permit,
        *,
        is_repeatable: bool,
        record_use: UseRecorder,
    ) -> BackendAnswer:
        """Send a request through another entry, which records failures itself."""
        self.attempts += 1
        self.evidence.exclude(outgoing.attempt)
        server = outgoing.server
        order = RelayOrder(
            outgoing,
            request,
            deadline_ms,
            permit.digest,
            is_repeatable,
            lambda: _check_before_write(outgoing, permit),
            record_use,
        )
        is_sent = True
        try:
            with anyio.fail_after(max(deadline_ms - monotonic_ms(), 0) / 1000):
                return await self.relays.send(order)
        except TimeoutError as error:
            raise _build_timeout_error(server) from error
        except CinderwayError as error:
            is_sent = error.step not in (Step.CONNECT, Step.QUEUE)
            if error.step is Step.QUEUE:
                self.recorder.record_held_back(outgoing, error)
            elif isinstance(error, RelayError) and error.is_connection_lost:
                run_ms = monotonic_ms() - outgoing.attempt.piece_started_at_ms
                permit.record_failed_run(server.row.name, run_ms)
            raise
        finally:
            if not is_sent:
                outgoing.token.release()

    async def _send_directly(
        self,
        outgoing: OutgoingAttempt,
        request: BackendRequest,
        deadline_ms: int,
        permit: Permit,
        *,
        is_repeatable: bool,
        record_use: UseRecorder = ignore_use,
    ) -> BackendAnswer:
        """Send a request to the chosen server; record failures."""
        service, server, attempt = outgoing.service, outgoing.server, outgoing.attempt
        self.attempts += 1
        terms = self.slots.reuse_terms(
            service, deadline_ms, monotonic_ms(), is_repeatable=is_repeatable
        )
        remaining_s = max(deadline_ms - monotonic_ms(), 0) / 1000
        is_written = False

        def check_before_write() -> CinderwayError | None:
            nonlocal is_written
            error = _check_before_write(outgoing, permit)
            is_written = error is None
            return error

        try:
            with anyio.fail_after(remaining_s):
                return await self.connections.send(
                    server.row.address,
                    request,
                    outgoing.attempt_id,
                    deadline_ms,
                    use_new_connection=not (
                        is_repeatable or service.reuses_connections
                    ),
                    expected=server.row.expected_name,
                    objection=check_before_write,
                    record_send_time=lambda piece_ms: (
                        self.evidence.exclude_blocked_time(attempt, piece_ms)
                    ),
                    terms=terms,
                    record_use=record_use,
                )
        except TimeoutError as error:
            self.evidence.record_failure(attempt, FailureKind.OVERDUE)
            raise _build_timeout_error(server) from error
        except CinderwayError as error:
            if error.step is Step.CONNECT:
                # It may have been written to a connection that was closed unread.
                is_written = False
            if error.step is Step.QUEUE:
                # Nothing was written, for a reason that is not the server's fault.
                self.recorder.record_held_back(outgoing, error)
                raise
            is_unreachable = error.step is Step.CONNECT
            kind = FailureKind.UNREACHABLE if is_unreachable else FailureKind.CUT
            self.evidence.record_failure(attempt, kind)
            if isinstance(error, ConnectionLostError):
                run_ms = monotonic_ms() - attempt.piece_started_at_ms
                permit.record_failed_run(server.row.name, run_ms)
            raise
        finally:
            # Also when the deadline passes, or a hedge is cut short, while connecting.
            if not is_written:
                outgoing.token.release()

    def _apply_head(self, outgoing: OutgoingAttempt, answer: BackendAnswer) -> None:
        """Apply a response's headers; raise if the server did not run the request."""
        now_ms, server = monotonic_ms(), outgoing.server
        if not outgoing.attempt.is_excluded:
            # Before the answer is recorded: an overdue request may be the one answered.
            self.board.uplinks.of(outgoing.service.row.name).record_answer()
        self.recorder.record_head(outgoing, answer, now_ms)
        if answer.is_misdirected:
            # Another server now has this address, so the expected server is gone.
            server.is_listed_leaving = True
            raise _build_not_run_error(
                server,
                ErrorCode.BACKEND_MISDIRECTED,
                "the address now belongs to another server",
            )
        if answer.is_shed:
            self.sheds += 1
            server.pause_until_ms = now_ms + self._shed_pause_ms(outgoing.service)
            self.recorder.record_shed(outgoing, answer, now_ms)
            raise _build_not_run_error(
                server, ErrorCode.BACKEND_SHED, "the backend server shed the request"
            )
        self.evidence.record_first_byte(outgoing.attempt, answer.status, now_ms)

    def _record_work(self, work: WorkClass, answer_ms: int, load: float) -> None:
        mix = self.board.mixes.get(work.service)
        if mix is not None:
            mix.times.record(work.route, answer_ms, load)

    def _shed_pause_ms(self, service: ServiceState) -> int:
        share = SHED_PAUSE_SHARE + self.board.rng.random()
        pause_ms = round(service.admission.service_time_ms * share)
        return min(max(pause_ms, SHED_PAUSE_MINIMUM_MS), SHED_PAUSE_MAXIMUM_MS)


def _check_before_write(
    outgoing: OutgoingAttempt, permit: Permit
) -> CinderwayError | None:
    """Return the error if a request may no longer be written to its server, else None.

    Opening a connection may take half a second, so this checks the state after that.
    """
    now_ms = monotonic_ms()
    error = check_server(outgoing.service, outgoing.server, now_ms)
    refusal = permit.refusal()
    # Checked last, because it consumes a token if one is needed.
    return error or refusal or check_rate_limit(outgoing.server, outgoing.token, now_ms)


def _build_timeout_error(server: ServerState) -> CinderwayError:
    return CinderwayError(
        ErrorCode.DEADLINE_PASSED,
        "no response before the deadline",
        step=Step.AWAIT_ANSWER,
        peer=server.row.address,
    )


def _build_not_run_error(
    server: ServerState, code: ErrorCode, detail: str
) -> CinderwayError:
    """Build the error for a response that says that the request was not run."""
    return CinderwayError(code, detail, step=Step.AWAIT_ANSWER, peer=server.row.address)
