"""Requests routed by the route sheet, with a fake in place of `Attempts`."""

import json
import random
import unittest

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import ErrorCode, Step
from cinderway._ids import DataHall, EntryName
from cinderway._operators import Metrics
from cinderway.catalog import (
    CatalogMachine,
    GrantAllowances,
    GrantedAllowance,
    InstallSheet,
    encode_command,
)
from cinderway.entry._blackboard import Blackboard
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._relay import WholeAnswer
from cinderway.entry.callers._route_handler import (
    OUTDATED_AFTER_MS,
    RouteHandler,
    compute_retry_after_s,
)
from cinderway.entry.fleet._allowances import Allowances
from cinderway.entry.servers._messages import (
    HeaderNames,
)
from cinderway.judgement import EvidenceLog, Pace
from cinderway.poison import REFUSAL_THRESHOLD, REFUSED_FOR_MS
from cinderway.scheduling import WorkClass


def sheet(version, service="lookup", kind="repeatable", **fields):
    route = {
        "name": "r",
        "host": "a.example",
        "path_prefix": "/p/",
        "kind": kind,
        "timeout_ms": 1000,
        "service": service,
    }
    content = {
        "version": version,
        "routes": [route],
        "services": [{"name": service}],
        **fields,
    }
    return json.dumps(content).encode()


class AnsweringAttempts:
    """Answers each request at once and records the request and its service."""

    def __init__(self):
        self.services = []
        self.requests = []
        self.pace = Pace.from_normal(100)

    def find_pace(self, service, request):
        return self.pace

    async def fetch_answer(self, service, request, is_repeatable):
        self.services.append(service.row.name)
        self.requests.append(request)
        request.tried_servers.add("i-1")
        return WholeAnswer(200, [], b"done")


class Caller:
    """One caller's request, with its body in two parts, and the answer to it."""

    def __init__(self, deadline_ms, between_parts=None, headers=()):
        self.statuses = []
        self.headers = []
        self._parts = [b"first ", b"second"]
        self._between_parts = between_parts
        self._left = anyio.Event()
        self.scope = {
            "type": "http",
            "method": "POST",
            "path": "/p/x",
            "raw_path": b"/p/x",
            "query_string": b"",
            "headers": [
                (b"host", b"a.example"),
                (b"cinderway-deadline-ms", str(deadline_ms).encode()),
                *headers,
            ],
        }

    def disconnect_before_body(self):
        self._parts = []
        self._left.set()

    def disconnect(self):
        self._left.set()

    async def receive(self):
        if not self._parts:
            # Like the HTTP server: returns at once if the caller is known to be gone.
            if not self._left.is_set():
                await self._left.wait()
            return {"type": "http.disconnect"}
        body = self._parts.pop(0)
        if not self._parts and self._between_parts is not None:
            self._between_parts()
        return {"type": "http.request", "body": body, "more_body": bool(self._parts)}

    async def send(self, message):
        if message["type"] == "http.response.start":
            self.statuses.append(message["status"])
            self.headers.append(dict(message["headers"]))


class RouteHandlerTests(unittest.TestCase):
    def setUp(self):
        self.machine = CatalogMachine()
        board = Blackboard(EntryName("e1"), DataHall("suva"), random.Random(1))
        self.state = CatalogBoard(board, EvidenceLog(), lone_retry_percent=5)
        self.attempts = AnsweringAttempts()
        self.handler = RouteHandler(
            self.state,
            self.attempts,
            HeaderNames(account=b"cinderway-account"),
            Metrics(),
            Allowances(self.ask),
        )
        self.asks = []
        self.grant = None

    def install(self, version, service="lookup", kind="repeatable", **fields):
        known = self.machine.revision
        body = sheet(version, service, kind, **fields)
        self.machine.apply(known + 1, encode_command(InstallSheet(body)))
        self.state.install(self.machine.update_since(known), now_ms=0)
        # In the future, so that the sheet is not outdated on a slow machine either.
        self.state.current_at_ms = monotonic_ms() + 60_000

    async def ask(self, asked, timeout_s):
        self.asks.append(asked)
        if self.grant is None:
            return None
        lines = [
            GrantedAllowance(line.account, min(self.grant, line.needed), 700)
            for line in asked.lines
        ]
        return GrantAllowances(lines, lease_ms=4_000, window_ms=5_000)

    def test_a_stopping_entry_refuses_what_it_would_probably_end(self):
        """Guards against running a request whose answer the stop would cut off."""
        self.install(1, kind="once")
        self.attempts.pace = Pace(usual_ms=100, slow_ms=600, late_ms=300)
        for left_ms, deadline_ms, expected in (
            (500, 4_000, 503),
            (900, 4_000, 200),
            (500, 400, 200),
        ):
            with self.subTest(left_ms=left_ms, deadline_ms=deadline_ms):
                self.state.board.end_at_ms = monotonic_ms() + left_ms
                caller = Caller(deadline_ms)
                self.assertEqual(anyio.run(self.serve, caller), [expected])
                if expected == 503:
                    self.assertEqual(
                        caller.headers[0][b"cinderway-outcome"], b"not_run"
                    )
                    self.assertEqual(self.attempts.requests, [])

    def test_an_unexpected_error_is_counted_with_its_cause(self):
        """A 500 of the entry's own must not be taken for a server's."""

        async def fail(service, request, is_repeatable):
            raise RuntimeError("unexpected")

        self.install(1)
        self.attempts.fetch_answer = fail
        with self.assertLogs(level="ERROR"), self.assertRaises(BaseExceptionGroup):
            anyio.run(self.serve, Caller(4_000))
        counter = self.handler.metrics._counters["unexpected_errors_total"]
        self.assertEqual(counter.get({"error": "RuntimeError"}), 1)

    async def serve(self, caller):
        await self.handler(caller.scope, caller.receive, caller.send)
        return caller.statuses

    def unknown_route(self, age_ms):
        """Return the status and Retry-After of a request that matches no route."""
        self.install(1)
        self.state.current_at_ms = monotonic_ms() - age_ms
        caller = Caller(deadline_ms=60_000)
        caller.scope.update(path="/new/x", raw_path=b"/new/x")
        (status,) = anyio.run(self.serve, caller)
        return status, caller.headers[0].get(b"retry-after")

    def test_a_request_without_a_route_gets_a_final_error(self):
        self.assertEqual(self.unknown_route(age_ms=-60_000), (404, None))

    def test_without_a_route_the_caller_may_retry_if_the_sheet_may_be_outdated(self):
        status, retry_after = self.unknown_route(age_ms=OUTDATED_AFTER_MS + 1_000)
        self.assertEqual(status, 503)
        self.assertGreater(float(retry_after), 0)

    def test_an_unknown_key_may_be_retried_if_the_sheet_may_be_outdated(
        self,
    ):
        self.install(1, accounts=[])
        headers = [(b"authorization", b"Bearer a-new-key")]
        caller = Caller(deadline_ms=60_000, headers=headers)
        self.state.current_at_ms = monotonic_ms() - OUTDATED_AFTER_MS - 1_000
        self.assertEqual(anyio.run(self.serve, caller), [503])

    def test_a_broken_run_is_logged_with_the_digest_that_repeats_share(self):
        self.install(1)
        with self.assertLogs("cinderway.entry.callers._poison_permit") as logs:
            for attempt in (b"a1", b"a2"):
                caller = Caller(60_000, headers=[(b"cinderway-attempt", attempt)])
                anyio.run(self.serve, caller)
                self.attempts.requests[-1].permit.record_failed_run("i-1", 90)
        first, second = (line.partition("a run of request ")[2] for line in logs.output)
        self.assertTrue(first.startswith("a1 broke off at i-1 after 90 ms; digest "))
        self.assertEqual(first.removeprefix("a1"), second.removeprefix("a2"))

    def poisoned(self, ended):
        """Send a request of which an earlier repeat ended that many servers."""
        self.install(1)
        anyio.run(self.serve, Caller(60_000))
        permit = self.attempts.requests.pop().permit
        for number in range(ended):
            permit.record_failed_run(f"i-{number}", 90)
        caller = Caller(60_000, headers=[(b"cinderway-attempt", b"again")])
        return anyio.run(self.serve, caller), caller

    def test_a_request_that_ends_servers_is_refused_at_once_with_a_retry_time(self):
        (status,), caller = self.poisoned(ended=REFUSAL_THRESHOLD)
        self.assertEqual(status, 503)
        self.assertEqual(caller.headers[0][b"cinderway-outcome"], b"not_run")
        retry_after_s = float(caller.headers[0][b"retry-after"])
        self.assertAlmostEqual(retry_after_s, REFUSED_FOR_MS / 1000, delta=30)
        self.assertEqual(self.attempts.requests, [])

    def test_a_request_that_ended_fewer_servers_is_sent_but_not_sent_again(self):
        (status,), _ = self.poisoned(ended=REFUSAL_THRESHOLD - 1)
        self.assertEqual(status, 200)
        (request,) = self.attempts.requests
        self.assertFalse(anyio.run(request.permit.acquire_rerun))

    def test_a_request_that_differs_is_served(self):
        self.poisoned(ended=REFUSAL_THRESHOLD)
        caller = Caller(60_000)
        caller.scope["query_string"] = b"page=2"
        self.assertEqual(anyio.run(self.serve, caller), [200])

    def test_a_request_in_flight_that_becomes_refused_reaches_no_further_server(self):
        self.install(1)
        anyio.run(self.serve, Caller(60_000))
        permit = self.attempts.requests[0].permit
        self.assertTrue(permit.is_valid)
        for number in range(REFUSAL_THRESHOLD):
            permit.record_failed_run(f"i-{number}", 90)
        self.assertFalse(permit.is_valid)
        self.assertIs(permit.refusal().step, Step.QUEUE)

    def test_a_request_that_arrives_before_the_sheet_waits_for_it(self):
        async def scenario():
            caller = Caller(deadline_ms=60_000)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.serve, caller)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(caller.statuses, [])
                self.install(1)
            return caller.statuses

        self.assertEqual(anyio.run(scenario), [200])

    def test_without_a_sheet_a_caller_is_told_to_retry_before_its_deadline(self):
        self.assertEqual(anyio.run(self.serve, Caller(deadline_ms=40)), [503])
        self.assertEqual(self.attempts.services, [])

    def test_nothing_is_sent_if_the_caller_disconnected_while_its_request_waited(self):
        async def scenario(caller):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.serve, caller)
                await anyio.wait_all_tasks_blocked()
                caller.disconnect()
                self.install(1, kind="once")
            return caller.statuses

        self.assertEqual(anyio.run(scenario, Caller(deadline_ms=60_000)), [])
        self.assertEqual(self.attempts.services, [])

    def test_a_service_that_is_removed_while_the_body_arrives_is_not_used(self):
        self.install(1, "lookup")
        caller = Caller(60_000, between_parts=lambda: self.install(2, "archive"))
        self.assertEqual(anyio.run(self.serve, caller), [200])
        self.assertEqual(self.attempts.services, ["archive"])

    def test_a_request_is_sent_with_its_accounts_name_and_without_its_key(self):
        self.install(1, accounts=[{"name": "acme", "keys": ["k3y0fAcme"]}])
        headers = [
            (b"authorization", b"Bearer k3y0fAcme"),
            (b"cinderway-account", b"other"),
        ]
        caller = Caller(60_000, headers=headers)
        self.assertEqual(anyio.run(self.serve, caller), [200])
        headers = self.attempts.requests[0].backend_request.headers
        self.assertIn((b"cinderway-account", b"acme"), headers)
        self.assertNotIn(b"other", dict(headers).values())
        self.assertNotIn(b"k3y0fAcme", repr(headers).encode())

    def test_an_accounts_priority_takes_precedence_over_its_routes(self):
        # Urgent accounts would else wait behind the others of their route.
        self.install(1, accounts=[{"name": "acme", "keys": ["k"], "priority": 2}])
        caller = Caller(60_000, headers=[(b"authorization", b"Bearer k")])
        anyio.run(self.serve, caller)
        self.assertEqual(self.attempts.requests[0].work, WorkClass("lookup", "r", 2, 0))

    def test_a_service_that_nothing_shares_has_no_classes_of_work(self):
        self.install(1, accounts=[{"name": "acme", "keys": ["k"], "priority": 0}])
        caller = Caller(60_000, headers=[(b"authorization", b"Bearer k")])
        anyio.run(self.serve, caller)
        self.assertIsNone(self.attempts.requests[0].work)

    def test_a_request_without_a_known_key_is_refused_before_its_body_is_read(self):
        self.install(1, accounts=[])
        caller = Caller(60_000, between_parts=lambda: self.fail("the body was read"))
        self.assertEqual(anyio.run(self.serve, caller), [401])
        self.assertEqual(self.attempts.services, [])

    def test_a_key_that_is_revoked_while_the_body_arrives_is_not_accepted(self):
        self.install(1, accounts=[{"name": "acme", "keys": ["k3y0fAcme"]}])
        caller = Caller(
            60_000,
            between_parts=lambda: self.install(2, accounts=[{"name": "acme"}]),
            headers=[(b"authorization", b"Bearer k3y0fAcme")],
        )
        self.assertEqual(anyio.run(self.serve, caller), [401])
        self.assertEqual(self.attempts.services, [])

    def test_an_entry_without_a_sheet_gives_no_final_error(self):
        caller = Caller(40, headers=[(b"authorization", b"Bearer k3y0fAcme")])
        self.assertEqual(anyio.run(self.serve, caller), [503])

    LIMITED = {"name": "acme", "keys": ["k3y0fAcme"], "rate_per_s": 1}
    CREDENTIAL = [(b"authorization", b"Bearer k3y0fAcme")]

    def test_a_request_of_a_limited_account_takes_a_token(self):
        self.install(1, accounts=[self.LIMITED])
        self.grant = 1
        caller = Caller(60_000, headers=self.CREDENTIAL)
        self.assertEqual(anyio.run(self.serve, caller), [200])
        self.assertEqual(self.asks[0].lines[0].needed, 1)

    def test_without_a_token_a_request_is_refused_before_its_body_is_read(self):
        self.install(1, accounts=[self.LIMITED])
        for grant, status in ((0, 429), (None, 503)):
            self.grant = grant
            caller = Caller(
                60_000,
                between_parts=lambda: self.fail("the body was read"),
                headers=self.CREDENTIAL,
            )
            self.assertEqual(anyio.run(self.serve, caller), [status])
            # Lets the next request ask for a token at once.
            self.handler.allowances.switch_replica()
        self.assertEqual(self.attempts.services, [])

    def test_a_refusal_tells_when_a_token_may_be_available(self):
        self.install(1, accounts=[self.LIMITED])
        self.grant = 0
        caller = Caller(60_000, headers=self.CREDENTIAL)
        anyio.run(self.serve, caller)
        self.assertGreaterEqual(float(caller.headers[0][b"retry-after"]), 0.5)

    def test_a_refused_request_returns_no_token(self):
        self.install(1, accounts=[self.LIMITED])

        async def scenario():
            self.grant = 1
            served = await self.serve(Caller(60_000, headers=self.CREDENTIAL))
            # The use of its token is not reported yet when the next request is refused
            # because the replica does not answer.
            self.grant = None
            refused = await self.serve(Caller(60_000, headers=self.CREDENTIAL))
            return served + refused

        self.assertEqual(anyio.run(scenario), [200, 503])
        self.assertEqual(self.handler.allowances.held, 0)

    def test_a_key_that_moves_while_the_body_arrives_uses_its_new_accounts_token(self):
        self.install(1, accounts=[self.LIMITED])
        self.grant = 1
        moved = [{**self.LIMITED, "name": "other"}]
        caller = Caller(
            60_000,
            between_parts=lambda: self.install(2, accounts=moved),
            headers=self.CREDENTIAL,
        )
        self.assertEqual(anyio.run(self.serve, caller), [200])
        asked = [line.account for ask in self.asks for line in ask.lines]
        self.assertEqual(asked, ["acme", "other"])
        self.assertEqual(self.handler.allowances.held, 1)

    def test_a_caller_that_disconnects_before_its_request_is_sent_uses_no_token(self):
        self.install(1, accounts=[self.LIMITED])
        self.grant = 1

        async def scenario():
            caller = Caller(60_000, headers=self.CREDENTIAL)
            caller.disconnect_before_body()
            await self.serve(caller)
            return await self.serve(Caller(60_000, headers=self.CREDENTIAL))

        self.assertEqual(anyio.run(scenario), [200])
        self.assertEqual(len(self.asks), 1)

    def test_a_caller_whose_request_was_shed_may_retry_sooner(self):
        for spread in (0.0, 0.5, 1.0):
            shed_s = compute_retry_after_s(ErrorCode.BACKEND_SHED, spread)
            self.assertGreater(shed_s, 0)
            self.assertLess(
                shed_s, compute_retry_after_s(ErrorCode.TABLE_UNKNOWN, spread)
            )
