"""The ASGI application of an entry that routes by the catalog's route sheet.

Each request ends with one log line. An answer of 503 that the entry itself generates
guarantees that no backend server has run the request.
"""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from cinderway._caller_protocol import RECEIVED_AT
from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, RetryLaterError, Step
from cinderway._http_body import raise_if_too_large
from cinderway._ids import (
    AttemptId,
    CallerName,
    RouteName,
    ServiceName,
)
from cinderway._operators import Metrics
from cinderway.catalog import RouteRow, pick_service
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._accounts import headers_for_servers
from cinderway.entry.callers._answers import build_problem_answer
from cinderway.entry.callers._attempts import Attempts
from cinderway.entry.callers._body_intake import (
    is_large,
    parse_body_length,
    receive_permitted,
)
from cinderway.entry.callers._body_turns import BodyTurns
from cinderway.entry.callers._holdings import CountUnread, Holding
from cinderway.entry.callers._outcomes import OutcomeError
from cinderway.entry.callers._permits import RequestPermit
from cinderway.entry.callers._reply import Reply, Send
from cinderway.entry.callers._request_record import RequestRecord
from cinderway.entry.callers._requests import (
    CallerDisconnectedError,
    CallerRequest,
    build_backend_request,
    compute_digest,
    find_header,
    read_body,
)
from cinderway.entry.callers._route_policies import compute_retry_after_s, get_penalties
from cinderway.entry.fleet._allowances import Allowances
from cinderway.entry.servers._messages import (
    HeaderNames,
)
from cinderway.ledger import Resolution
from cinderway.limits import HeldBytes
from cinderway.poison import RequestDigests
from cinderway.scheduling import WorkClass

logger = logging.getLogger(__name__)

Receive = Callable[[], Awaitable[dict]]

# Large bodies that an entry reads at once if no setting says otherwise.
DEFAULT_LARGE_BODIES_AT_ONCE = 2
# Bound on what is held in memory if no setting says otherwise.
DEFAULT_HELD_LIMIT_BYTES = 48 * 1024 * 1024
# Servers that one request may reach if its route sets no limit.
DEFAULT_SERVER_LIMIT = 2
# Several times the network latency to a caller, and small compared with any deadline of
# a second or more.
ANSWER_MARGIN_MS = 60
# A fleet that restarts has a leader and its catalog again after about half a second. A
# caller that would give up sooner waits for this share of its deadline at most, so that
# it can still receive the answer to retry.
SHEET_WAIT_MS = 700
SHEET_WAIT_SHARE = 0.25
# While an entry follows a replica its catalog is at most 0.8 s old, since a heartbeat
# every half second covers the state of a quarter of a second before. It is older on
# slow links.
OUTDATED_AFTER_MS = 1_500
# Errors that follow from the sheet alone, and after which callers do not retry.
FINAL_SHEET_ERRORS = {ErrorCode.UNKNOWN_ROUTE, ErrorCode.ACCOUNT_UNKNOWN}


@dataclass
class RouteHandler:
    """Serves the callers of one entry."""

    state: CatalogBoard
    attempts: Attempts
    names: HeaderNames
    metrics: Metrics
    allowances: Allowances
    digests: RequestDigests = field(default_factory=RequestDigests)
    body_turns: BodyTurns = field(
        default_factory=lambda: BodyTurns(DEFAULT_LARGE_BODIES_AT_ONCE)
    )
    held: HeldBytes = field(default_factory=lambda: HeldBytes(DEFAULT_HELD_LIMIT_BYTES))
    # Returns the bytes of answers that callers have not read yet.
    count_unread: CountUnread = lambda: 0
    # The requests in progress, and the replies to them.
    _in_progress: dict[anyio.CancelScope, Reply] = field(default_factory=dict)

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request, from its route to its final answer."""
        if scope["type"] != "http":
            return
        board = self.state.board
        reply = Reply(send, board)
        record = RequestRecord(
            _received_at_ms(scope), find_header(scope["headers"], self.names.attempt)
        )
        board.in_flight += 1
        self.state.record_activity()
        try:
            await self._serve_until_stop(scope, receive, reply, record)
        except CallerDisconnectedError:
            reply.outcome = "caller-left"
        except OutcomeError as error:
            record.error = error.error
            await self._refuse(reply, error.error, error.outcome)
        except CinderwayError as error:
            record.error = error = self._replace_if_outdated(error)
            await self._refuse(reply, error, Resolution.NOT_RUN)
        except Exception as error:
            logger.exception("a request failed with an unexpected error")
            labels = {"error": _find_cause(error)}
            self.metrics.count("unexpected_errors_total", labels)
            raise
        finally:
            board.in_flight -= 1
            record.holding.release()
            if record.permit is not None and not record.was_sent:
                record.permit.release()
            self._record_end(record, reply)

    def end_requests(self) -> None:
        """End all requests whose answers have not begun; their callers are answered."""
        for scope, reply in self._in_progress.items():
            if reply.first_byte_ms is None:
                scope.cancel()

    async def _serve_until_stop(
        self, scope: dict, receive: Receive, reply: Reply, record: RequestRecord
    ) -> None:
        with anyio.CancelScope() as serving:
            self._in_progress[serving] = reply
            try:
                await self._serve(scope, receive, reply, record)
            finally:
                del self._in_progress[serving]
        if serving.cancelled_caught:
            step = Step.AWAIT_ANSWER if record.was_sent else Step.QUEUE
            raise OutcomeError(
                CinderwayError(
                    ErrorCode.ENTRY_STOPS, "the entry is stopping", step=step
                ),
                Resolution.UNKNOWN if record.was_sent else Resolution.NOT_RUN,
            )

    def may_run_ahead(self, scope: dict) -> bool:
        """Whether a request may run while those in front of it on its connection do."""
        if self.state.routes is None or self.state.board.is_leaving:
            return False
        try:
            return self._find_route(scope).is_repeatable
        except CinderwayError:
            return False

    def _replace_if_outdated(self, error: CinderwayError) -> CinderwayError:
        """Replace a final error by a retryable one if the sheet may be outdated.

        Callers do not retry after 401 and 404. An entry that had lost its replica
        answered 404 for a route that had been added 3.4 s before.
        """
        age_ms = self.state.age_ms(monotonic_ms())
        if error.code not in FINAL_SHEET_ERRORS or age_ms <= OUTDATED_AFTER_MS:
            return error
        return CinderwayError(
            ErrorCode.TABLE_UNKNOWN,
            f"{error.detail}, by a sheet that may be {age_ms} ms old",
            step=error.step,
        )

    async def _refuse(
        self, reply: Reply, error: CinderwayError, outcome: Resolution
    ) -> None:
        after_s = compute_retry_after_s(error.code, self.state.board.rng.random())
        if isinstance(error, RetryLaterError):
            after_s += error.retry_after_ms / 1000
        await reply.send_problem(build_problem_answer(error, outcome, after_s))

    async def _serve(
        self, scope: dict, receive: Receive, reply: Reply, record: RequestRecord
    ) -> None:
        await self._wait_for_sheet(scope, record.started_at_ms)
        record.route = route = self._find_route(scope)
        permit = RequestPermit(
            watch=self.state.poison,
            metrics=self.metrics,
            state=self.state,
            allowances=self.allowances,
            headers=scope["headers"],
        )
        record.permit = permit
        record.holding = holding = Holding(self.held, self.count_unread)
        announced_bytes = parse_body_length(scope["headers"])
        raise_if_too_large(announced_bytes or 0, self._body_limit_bytes)
        holding.reserve_body(announced_bytes)
        deadline_ms = self._compute_deadline(scope, route, record.started_at_ms)
        # Asked before the body is read: a caller without permission need not send it.
        body = await receive_permitted(
            permit,
            route,
            scope["headers"],
            lambda: self._read_body_until(deadline_ms, scope, receive, holding),
        )
        # The sheet may have changed in the meantime: use its current services and keys.
        record.route = route = self._find_route(scope)
        await permit.acquire(route)
        record.service = pick_service(route, self.state.board.rng)
        record.request = request = self._build_request(
            scope, route, record, deadline_ms, body
        )
        permit.attempt_id = request.attempt_id
        permit.digest = await compute_digest(request, self.digests)
        permit.raise_if_refused()
        self._raise_if_stop_comes_first(record.service, request)
        await self._fetch_and_reply(route, record.service, request, receive, reply)

    def _raise_if_stop_comes_first(
        self, service: ServiceName, request: CallerRequest
    ) -> None:
        """Refuse a request that this entry would probably end before its answer."""
        end_at_ms = self.state.board.end_at_ms
        if end_at_ms is None or request.deadline_ms <= end_at_ms:
            return
        pace = self.attempts.find_pace(self.state.board.services[service], request)
        # Nine tenths of the answers come sooner.
        if monotonic_ms() + max(pace.slow_ms, pace.late_ms) > end_at_ms:
            raise CinderwayError(
                ErrorCode.ENTRY_STOPS,
                f"the entry stops in {end_at_ms - monotonic_ms()} ms, and answers take "
                f"up to {pace.slow_ms:.0f} ms",
                step=Step.QUEUE,
            )

    def _build_request(
        self,
        scope: dict,
        route: RouteRow,
        record: RequestRecord,
        deadline_ms: int,
        body: bytes,
    ) -> CallerRequest:
        attempt_id = record.attempt_id
        return CallerRequest(
            method=scope["method"],
            path=scope["path"],
            headers=scope["headers"],
            caller=CallerName(record.account_name or ""),
            deadline_ms=deadline_ms,
            body=body,
            backend_request=build_backend_request(
                scope,
                body,
                self.names,
                headers_for_servers(
                    scope["headers"], self.names.account, self.state.accounts
                ),
                record.account_name,
            ),
            attempt_id=AttemptId(attempt_id) if attempt_id else None,
            objective_ms=route.objective_ms,
            objective_at_ms=_objective_at_ms(route, record.started_at_ms),
            server_limit=route.server_limit or DEFAULT_SERVER_LIMIT,
            penalties=get_penalties(
                route.kind,
                prefers_proven=self.state.prefers_proven_servers(record.service),
            ),
            permit=record.permit,
            holding=record.holding,
            work=self._find_work_class(route, record),
        )

    def _find_work_class(
        self, route: RouteRow, record: RequestRecord
    ) -> WorkClass | None:
        """Return the class of work; None if nothing else shares the service."""
        if record.service not in self.state.board.mixes:
            return None
        account = record.permit.identity.account
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return WorkClass(
            record.service, RouteName(route.name), priority, route.objective_ms
        )

    async def _wait_for_sheet(self, scope: dict, now_ms: int) -> None:
        if self.state.routes is not None:
            return
        text = find_header(scope["headers"], self.names.deadline) or b""
        wait_ms = SHEET_WAIT_MS
        if text.isdigit():
            wait_ms = min(wait_ms, round(int(text) * SHEET_WAIT_SHARE))
        await self.state.wait_for_routes(now_ms + wait_ms)

    async def _read_body_until(
        self, deadline_ms: int, scope: dict, receive: Receive, holding: Holding
    ) -> bytes:
        limit_bytes = self._body_limit_bytes
        with anyio.move_on_after((deadline_ms - monotonic_ms()) / 1000) as reading:
            if is_large(scope["headers"]):
                with self.body_turns.wrap(receive) as receive_in_turn:
                    body = await read_body(receive_in_turn, limit_bytes, holding)
            else:
                body = await read_body(receive, limit_bytes, holding)
        if reading.cancelled_caught:
            raise CinderwayError(
                ErrorCode.DEADLINE_PASSED,
                "the request's body did not arrive before the deadline",
                step=Step.RECEIVE,
            )
        return body

    @property
    def _body_limit_bytes(self) -> int:
        return self.state.mirror.sheet.limits.body_limit_bytes

    def _find_route(self, scope: dict) -> RouteRow:
        if self.state.routes is None:
            raise CinderwayError(
                ErrorCode.TABLE_UNKNOWN,
                "this entry has not received the route sheet yet",
                step=Step.ROUTE,
            )
        host = find_header(scope["headers"], b"host") or b""
        # The path as sent: a decoded one could denote another resource.
        path = scope["raw_path"].decode("latin-1")
        route = self.state.routes.match(host.decode("latin-1"), path)
        if route is None:
            raise CinderwayError(
                ErrorCode.UNKNOWN_ROUTE,
                f"no route for {host.decode('latin-1')} {path}",
                step=Step.ROUTE,
            )
        return route

    def _compute_deadline(self, scope: dict, route: RouteRow, now_ms: int) -> int:
        text = find_header(scope["headers"], self.names.deadline)
        timeout_ms = route.timeout_ms
        if text is not None and text.isdigit():
            # The answer must reach the caller before the caller's own deadline.
            timeout_ms = min(timeout_ms, int(text) - ANSWER_MARGIN_MS)
        return now_ms + max(timeout_ms, 0)

    async def _fetch_and_reply(
        self,
        route: RouteRow,
        service: ServiceName,
        request: CallerRequest,
        receive: Receive,
        reply: Reply,
    ) -> None:
        failure: Exception | None = None
        state = self.state.board.services[service]
        async with anyio.create_task_group() as tasks:
            scope = tasks.cancel_scope
            tasks.start_soon(_watch_for_disconnect, receive, scope, route, request)
            # Detects a caller that disconnected while its request waited, before a
            # server gets the request.
            await anyio.lowlevel.checkpoint()
            try:
                answer = await self.attempts.fetch_answer(
                    state, request, route.is_repeatable
                )
                await reply.send_answer(answer)
            except (CinderwayError, OutcomeError) as error:
                failure = error
            scope.cancel()
        if failure is not None:
            raise failure
        if reply.first_byte_ms is None:
            raise CallerDisconnectedError

    def _record_end(self, record: RequestRecord, reply: Reply) -> None:
        """Count the request and write its log line."""
        now_ms = monotonic_ms()
        state = self.state.board.services.get(record.service)
        if state is not None and reply.outcome in ("answered", "failed", "refused"):
            state.unserved.record(is_served=reply.outcome == "answered")
        duration_ms = now_ms - record.started_at_ms
        route = record.route_name
        labels = {"route": route, "outcome": reply.outcome}
        self.metrics.count("requests_total", labels)
        self.metrics.observe("request_seconds", duration_ms / 1000, {"route": route})
        revision, age_ms = self.state.mirror.revision, self.state.age_ms(now_ms)
        line = record.build_log_line(reply.outcome, duration_ms, revision, age_ms)
        logger.info("%s%s", line, f"; {record.error}" if record.error else "")


def _find_cause(error: BaseException) -> str:
    """Return the type's name of an error, or of the first one in a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return type(error).__name__


def _received_at_ms(scope: dict) -> int:
    """Return when the request's head arrived; it may have waited behind others."""
    return scope.get("state", {}).get(RECEIVED_AT) or monotonic_ms()


def _objective_at_ms(route: RouteRow, started_at_ms: int) -> int | None:
    """Return when the latency objective is missed; None without an objective."""
    return started_at_ms + route.objective_ms if route.objective_ms else None


async def _watch_for_disconnect(
    receive: Receive, scope: anyio.CancelScope, route: RouteRow, request: CallerRequest
) -> None:
    """Cancel a request when its caller disconnects, unless it must run to its end.

    A request that may run only once is not cancelled after a server may have got it:
    that attempt runs to its end, but no other server gets the request. While it still
    waits for a server it is cancelled too.
    """
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            break
    request.caller_disconnected.set()
    if route.is_repeatable or not request.tried_servers:
        scope.cancel()
