"""The ASGI application of an entry that routes by the catalog's route sheet.

Each request ends with one log line. An answer of 503 that the entry itself generates
guarantees that no backend server has run the request.
"""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, RefusedForNowError, Step
from cinderway._ids import (
    AttemptId,
    CallerName,
    ServiceName,
)
from cinderway._operators import Metrics
from cinderway.catalog import RouteRow, pick_service
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._accounts import headers_for_servers
from cinderway.entry.callers._answers import problem_answer
from cinderway.entry.callers._attempts import Attempts
from cinderway.entry.callers._outcomes import OutcomeError
from cinderway.entry.callers._permits import RequestPermit
from cinderway.entry.callers._policies import penalties_of, retry_after_s
from cinderway.entry.callers._reply import Reply, Send
from cinderway.entry.callers._requests import (
    CallerLeftError,
    CallerRequest,
    backend_request_of,
    digest_of,
    find_header,
    read_body,
)
from cinderway.entry.callers._served import Served
from cinderway.entry.fleet._allowances import Allowances
from cinderway.entry.servers._messages import (
    HeaderNames,
)
from cinderway.ledger import Resolution
from cinderway.poison import RequestDigests

logger = logging.getLogger(__name__)

Receive = Callable[[], Awaitable[dict]]

# Servers that one request may reach if its route sets no limit.
DEFAULT_SERVER_LIMIT = 2
# Several times the network latency to a caller, and small compared with any deadline of
# a second or more.
ANSWER_MARGIN_MS = 60
# A fleet that restarts has a leader and its catalog again after about half a second. A
# caller with a shorter deadline is told to retry while it still waits.
SHEET_WAIT_MS = 700
SHEET_WAIT_SHARE = 0.25
# While an entry follows a replica its catalog is at most 0.8 s old, since a heartbeat
# every half second covers the state of a quarter of a second before. It is older on slow
# links.
OUTDATED_MS = 1_500
# Errors that follow from the sheet alone, and after which callers do not retry.
FINAL_BY_SHEET = {ErrorCode.UNKNOWN_ROUTE, ErrorCode.ACCOUNT_UNKNOWN}


@dataclass
class RouteHandler:
    """Serves the callers of one entry."""

    state: CatalogBoard
    attempts: Attempts
    names: HeaderNames
    metrics: Metrics
    allowances: Allowances
    digests: RequestDigests = field(default_factory=RequestDigests)

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request, from its route to its final answer."""
        if scope["type"] != "http":
            return
        board = self.state.board
        reply = Reply(send, board)
        served = Served(
            monotonic_ms(), find_header(scope["headers"], self.names.attempt)
        )
        board.in_flight += 1
        self.state.note_activity()
        try:
            await self._serve(scope, receive, reply, served)
        except CallerLeftError:
            reply.outcome = "caller-left"
        except OutcomeError as error:
            served.error = error.error
            await self._refuse(reply, error.error, error.outcome)
        except CinderwayError as error:
            served.error = error = self._unless_outdated(error)
            await self._refuse(reply, error, Resolution.NOT_RUN)
        except Exception:
            logger.exception("a request failed with an unexpected error")
            raise
        finally:
            board.in_flight -= 1
            if served.permit is not None and not served.was_sent:
                served.permit.give_back()
            self._note_end(served, reply)

    def _unless_outdated(self, error: CinderwayError) -> CinderwayError:
        """Replace a final error by a retryable one if a newer sheet may not cause it.

        Callers do not retry after 401 and 404. An entry that had lost its replica
        answered 404 for a route that had been added 3.4 s before.
        """
        age_ms = self.state.age_ms(monotonic_ms())
        if error.code not in FINAL_BY_SHEET or age_ms <= OUTDATED_MS:
            return error
        return CinderwayError(
            ErrorCode.TABLE_UNKNOWN,
            f"{error.detail}, by a sheet that may be {age_ms} ms old",
            step=error.step,
        )

    async def _refuse(
        self, reply: Reply, error: CinderwayError, outcome: Resolution
    ) -> None:
        after_s = retry_after_s(error.code, self.state.board.rng.random())
        if isinstance(error, RefusedForNowError):
            after_s += error.retry_after_ms / 1000
        await reply.own(problem_answer(error, outcome, after_s))

    async def _serve(
        self, scope: dict, receive: Receive, reply: Reply, served: Served
    ) -> None:
        await self._wait_for_sheet(scope, served.started_at_ms)
        served.route = route = self._route_of(scope)
        # Before the body is read: a caller without permission need not send it.
        permit = RequestPermit(
            watch=self.state.poison,
            metrics=self.metrics,
            state=self.state,
            allowances=self.allowances,
            headers=scope["headers"],
        )
        served.permit = permit
        await permit.take(route)
        deadline_ms = self._deadline_of(scope, route, served.started_at_ms)
        body = await self._body_by(deadline_ms, receive)
        # The sheet may have changed in the meantime: use its current services and keys.
        served.route = route = self._route_of(scope)
        await permit.take(route)
        served.service = pick_service(route, self.state.board.rng)
        served.request = request = self._request_of(
            scope, route, served, deadline_ms, body
        )
        permit.attempt_id = request.attempt_id
        permit.digest = await digest_of(request, self.digests)
        permit.require()
        await self._attempt(route, served.service, request, receive, reply)

    def _request_of(
        self,
        scope: dict,
        route: RouteRow,
        served: Served,
        deadline_ms: int,
        body: bytes,
    ) -> CallerRequest:
        attempt_id = served.attempt_id
        return CallerRequest(
            method=scope["method"],
            path=scope["path"],
            headers=scope["headers"],
            caller=CallerName(served.account_name or ""),
            deadline_ms=deadline_ms,
            body=body,
            backend_request=backend_request_of(
                scope,
                body,
                self.names,
                headers_for_servers(
                    scope["headers"], self.names.account, self.state.accounts
                ),
                served.account_name,
            ),
            attempt_id=AttemptId(attempt_id) if attempt_id else None,
            objective_ms=route.objective_ms,
            objective_at_ms=_objective_at_ms(route, served.started_at_ms),
            server_limit=route.server_limit or DEFAULT_SERVER_LIMIT,
            penalties=penalties_of(route.kind),
            permit=served.permit,
        )

    async def _wait_for_sheet(self, scope: dict, now_ms: int) -> None:
        if self.state.routes is not None:
            return
        text = find_header(scope["headers"], self.names.deadline) or b""
        wait_ms = SHEET_WAIT_MS
        if text.isdigit():
            wait_ms = min(wait_ms, round(int(text) * SHEET_WAIT_SHARE))
        await self.state.wait_for_routes(now_ms + wait_ms)

    async def _body_by(self, deadline_ms: int, receive: Receive) -> bytes:
        limit_bytes = self.state.mirror.sheet.limits.body_limit_bytes
        with anyio.move_on_after((deadline_ms - monotonic_ms()) / 1000) as reading:
            body = await read_body(receive, limit_bytes)
        if reading.cancelled_caught:
            raise CinderwayError(
                ErrorCode.DEADLINE_PASSED,
                "the request's body did not arrive before the deadline",
                step=Step.RECEIVE,
            )
        return body

    def _route_of(self, scope: dict) -> RouteRow:
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

    def _deadline_of(self, scope: dict, route: RouteRow, now_ms: int) -> int:
        text = find_header(scope["headers"], self.names.deadline)
        timeout_ms = route.timeout_ms
        if text is not None and text.isdigit():
            # The answer must reach the caller before the caller's own deadline.
            timeout_ms = min(timeout_ms, int(text) - ANSWER_MARGIN_MS)
        return now_ms + max(timeout_ms, 0)

    async def _attempt(
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
            tasks.start_soon(_watch_caller, receive, scope, route, request)
            # Detects a caller that disconnected while its request waited, before a
            # server gets the request.
            await anyio.lowlevel.checkpoint()
            try:
                answer = await self.attempts.whole_answer(
                    state, request, route.is_repeatable
                )
                await reply.whole(answer)
            except (CinderwayError, OutcomeError) as error:
                failure = error
            scope.cancel()
        if failure is not None:
            raise failure
        if reply.first_byte_ms is None:
            raise CallerLeftError

    def _note_end(self, served: Served, reply: Reply) -> None:
        """Count the request and write its log line."""
        now_ms = monotonic_ms()
        duration_ms = now_ms - served.started_at_ms
        route = served.route_name
        labels = {"route": route, "outcome": reply.outcome}
        self.metrics.count("requests_total", labels)
        self.metrics.observe("request_seconds", duration_ms / 1000, {"route": route})
        revision, age_ms = self.state.mirror.revision, self.state.age_ms(now_ms)
        line = served.line(reply.outcome, duration_ms, revision, age_ms)
        logger.info("%s%s", line, f"; {served.error}" if served.error else "")


def _objective_at_ms(route: RouteRow, started_at_ms: int) -> int | None:
    """Return when the latency objective is missed; None without an objective."""
    return started_at_ms + route.objective_ms if route.objective_ms else None


async def _watch_caller(
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
    request.caller_left.set()
    if route.is_repeatable or not request.tried:
        scope.cancel()
