"""The ASGI application of an entry that routes by the service table.

Handles one request from admission to its final answer.
"""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import CallerName
from cinderway._operators import Metrics
from cinderway._settings import EntrySettings
from cinderway.entry._blackboard import Blackboard, ServiceState
from cinderway.entry._poison_watch import PoisonWatch
from cinderway.entry.callers._answers import build_problem_answer
from cinderway.entry.callers._attempts import Attempts
from cinderway.entry.callers._outcomes import (
    AnswerBrokenError,
    OutcomeError,
    RefusedError,
)
from cinderway.entry.callers._poison_permit import PoisonPermit
from cinderway.entry.callers._reply import Reply, Send
from cinderway.entry.callers._requests import (
    KEY_HEADER,
    KEY_LIMIT_BYTES,
    CallerDisconnectedError,
    CallerRequest,
    Repeatability,
    build_backend_request,
    compute_deadline,
    compute_digest,
    get_caller_name,
    get_repeatability,
    read_body,
)
from cinderway.entry.callers._run_once import RunOnce
from cinderway.entry.callers._stream import Streams
from cinderway.entry.fleet._report_server import ReportServer
from cinderway.entry.servers._slots import find_usable_servers
from cinderway.ledger import Resolution
from cinderway.limits import Rejected
from cinderway.poison import RequestDigests
from cinderway.routing import RouteMatch
from cinderway.table import AnswerMode

logger = logging.getLogger(__name__)

Receive = Callable[[], Awaitable[dict]]


@dataclass
class Handler:
    """Serves the callers of one entry."""

    settings: EntrySettings
    board: Blackboard
    attempts: Attempts
    streams: Streams
    run_once: RunOnce
    metrics: Metrics
    reports: ReportServer
    watch: PoisonWatch = field(default_factory=PoisonWatch)

    def __post_init__(self):
        self.digests = RequestDigests(self.settings.shared_key)

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        reply = Reply(send, self.board)
        self.board.in_flight += 1
        started_at_ms = monotonic_ms()
        service = ""
        try:
            match = self._match(scope)
            service = match.service.name
            await self._serve(match, scope, receive, reply)
        except CallerDisconnectedError:
            reply.outcome = "caller-left"
        except RefusedError as error:
            await reply.send_problem(
                build_problem_answer(error, Resolution.NOT_RUN, error.retry_after_s)
            )
        except OutcomeError as error:
            await reply.send_problem(build_problem_answer(error.error, error.outcome))
        except CinderwayError as error:
            await reply.send_problem(build_problem_answer(error, Resolution.NOT_RUN))
        except AnswerBrokenError:
            # Raised to uvicorn, which then closes the connection, so that the caller
            # sees that the body is incomplete.
            raise
        except Exception:
            logger.exception("a request failed with an unexpected error")
            raise
        finally:
            self.board.in_flight -= 1
            self._count(service, reply, monotonic_ms() - started_at_ms)

    def _match(self, scope: dict) -> RouteMatch:
        if not self.board.is_table_trusted:
            raise CinderwayError(
                ErrorCode.TABLE_UNKNOWN,
                "this entry does not know the current service table yet",
                step=Step.ROUTE,
            )
        match = self.board.routes.match(scope["method"], scope["path"])
        if match is None:
            raise CinderwayError(
                ErrorCode.UNKNOWN_SERVICE,
                f"no service has a route for {scope['path']}",
                step=Step.ROUTE,
            )
        return match

    async def _serve(
        self, match: RouteMatch, scope: dict, receive: Receive, reply: Reply
    ) -> None:
        service = self.board.services[match.service.name]
        caller_header = self.settings.caller_header.lower().encode()
        caller = get_caller_name(scope, caller_header)
        now_ms = monotonic_ms()
        deadline_ms = compute_deadline(scope, service.row.request_timeout_ms, now_ms)
        self._admit(service, caller, deadline_ms - now_ms)
        service.admission.enter(caller)
        try:
            body = await read_body(receive, self.settings.body_limit_kib * 1024)
            permit = PoisonPermit(
                watch=self.watch, metrics=self.metrics, origin=service.row.name
            )
            request = CallerRequest(
                method=scope["method"],
                path=scope["path"],
                headers=scope["headers"],
                caller=caller,
                deadline_ms=deadline_ms,
                body=body,
                backend_request=build_backend_request(scope, body),
                permit=permit,
            )
            permit.digest = await compute_digest(request, self.digests)
            # Checked before a run-once request is claimed, since a refused one does not
            # run here.
            permit.raise_if_refused()
            await self._serve_by_kind(match, service, request, receive, reply)
        finally:
            service.admission.leave(caller)

    def _admit(
        self, service: ServiceState, caller: CallerName, remaining_ms: int
    ) -> None:
        # The entries share the slots; requests here wait for this entry's share.
        slots = sum(server.row.slots for server in find_usable_servers(service))
        usable_slots = slots / self.board.entry_count
        decision = service.admission.decide(
            service.row, caller, remaining_ms, usable_slots
        )
        if isinstance(decision, Rejected):
            raise RefusedError(decision)

    async def _serve_by_kind(
        self,
        match: RouteMatch,
        service: ServiceState,
        request: CallerRequest,
        receive: Receive,
        reply: Reply,
    ) -> None:
        match get_repeatability(request, match):
            case Repeatability.RUN_ONCE:
                _check_key(request)
                await self.run_once.serve(service, request, reply)
            case Repeatability.SINGLE if match.is_run_once and service.row.key_required:
                raise CinderwayError(
                    ErrorCode.KEY_REQUIRED,
                    f"{KEY_HEADER.decode()} is required for this service",
                    step=Step.CLAIM,
                )
            case Repeatability.SINGLE:
                # Not cancelled when the caller disconnects: the request may not run
                # twice, so its outcome must be awaited.
                await self._fetch_and_reply(service, request, reply, False)
            case Repeatability.REPEATABLE:
                await self._serve_repeatable(service, request, receive, reply)

    async def _serve_repeatable(
        self,
        service: ServiceState,
        request: CallerRequest,
        receive: Receive,
        reply: Reply,
    ) -> None:
        failure: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            try:
                if service.row.answer_mode is AnswerMode.STREAM:
                    await self.streams.serve(service, request, reply)
                else:
                    await self._fetch_and_reply(service, request, reply, True)
            except (CinderwayError, OutcomeError, AnswerBrokenError) as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _fetch_and_reply(
        self,
        service: ServiceState,
        request: CallerRequest,
        reply: Reply,
        is_repeatable: bool,
    ) -> None:
        answer = await self.attempts.fetch_answer(service, request, is_repeatable)
        await reply.send_answer(answer)

    # Counters.

    def _count(self, service: str, reply: Reply, duration_ms: int) -> None:
        labels = {"service": service, "outcome": reply.outcome}
        self.metrics.count("requests_total", labels)
        self.metrics.count("request_ms_total", {"service": service}, duration_ms)
        state = self.board.services.get(service)
        if state is None:
            return
        is_late = (reply.first_byte_ms or duration_ms) > state.row.objective_latency_ms
        is_missed = reply.outcome in ("failed", "broken") or is_late
        self.reports.record_request(state.row.name, is_missed)
        if is_missed:
            self.metrics.count("objective_missed_total", {"service": service})


def _check_key(request: CallerRequest) -> None:
    length = len(request.header(KEY_HEADER))
    if not 1 <= length <= KEY_LIMIT_BYTES:
        raise CinderwayError(
            ErrorCode.KEY_REQUIRED,
            f"{KEY_HEADER.decode()} has {length} bytes; 1 to {KEY_LIMIT_BYTES} allowed",
            step=Step.CLAIM,
        )


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
