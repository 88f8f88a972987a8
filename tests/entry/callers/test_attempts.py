"""Which failed attempts are retried, and which retries consume the budget."""

import random
import unittest
from contextlib import asynccontextmanager

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import CallerName, ServerName, ServiceName
from cinderway._operators import Metrics
from cinderway.entry._blackboard import ServiceState
from cinderway.entry.callers._attempts import UNREACHABLE_LIMIT, Attempts
from cinderway.entry.callers._outcomes import OutcomeError
from cinderway.entry.callers._requests import CallerRequest
from cinderway.entry.servers._messages import (
    BackendRequest,
)
from cinderway.judgement import EvidenceLog
from cinderway.ledger import Resolution
from cinderway.limits import RetryBudget
from cinderway.table import ServiceRow

UNREACHABLE = CinderwayError(ErrorCode.BACKEND_FAILED, "no way", step=Step.CONNECT)
BROKEN = CinderwayError(ErrorCode.BACKEND_FAILED, "cut", step=Step.AWAIT_ANSWER)


class FailingDispatcher:
    """Fails each attempt with the next of the given errors, at another server."""

    def __init__(self, *errors):
        self.errors = list(errors)
        self.evidence = EvidenceLog()

    def new_attempt_id(self):
        return f"try-{random.random()}"

    @asynccontextmanager
    async def exchange(self, service, request, attempt_id, deadline_ms, **options):
        options["exclude"].add(ServerName(f"s{len(options['exclude'])}"))
        raise self.errors.pop(0)
        yield


class ExhaustedBudget:
    """An exhausted retry budget that counts the requests for a retry."""

    def __init__(self):
        self.asked = 0

    def credit(self, service):
        pass

    async def consume(self, service, *, until_ms, after_failure=True):
        self.asked += 1
        return False


class AttemptsTests(unittest.TestCase):
    def outcome_of(self, *errors, server_limit=2, has_disconnected=False):
        self.dispatcher = FailingDispatcher(*errors)
        self.budget = ExhaustedBudget()
        attempts = Attempts(self.dispatcher, Metrics(), 1024, True, self.budget)
        row = ServiceRow(name=ServiceName("submit"))
        service = ServiceState(row, RetryBudget(0))
        request = CallerRequest(
            method="POST",
            path="/p/x",
            headers=[],
            caller=CallerName(""),
            deadline_ms=monotonic_ms() + 60_000,
            body=b"",
            backend_request=BackendRequest(b"POST", b"/p/x", [], b""),
            server_limit=server_limit,
        )
        if has_disconnected:
            request.caller_disconnected.set()
        with self.assertRaises(OutcomeError) as raised:
            anyio.run(attempts.fetch_answer, service, request, False)
        return raised.exception.outcome

    def test_unreachable_servers_use_neither_the_budget_nor_the_server_limit(self):
        outcome = self.outcome_of(UNREACHABLE, UNREACHABLE, UNREACHABLE, BROKEN)
        self.assertEqual(outcome, Resolution.UNKNOWN)
        self.assertEqual(self.dispatcher.errors, [])
        self.assertEqual(self.budget.asked, 0)

    def test_after_several_unreachable_servers_the_request_fails_as_not_run(self):
        outcome = self.outcome_of(*[UNREACHABLE] * 9, server_limit=1)
        self.assertEqual(outcome, Resolution.NOT_RUN)
        self.assertEqual(len(self.dispatcher.errors), 9 - UNREACHABLE_LIMIT - 1)

    def test_no_other_server_is_tried_after_the_caller_disconnected(self):
        outcome = self.outcome_of(UNREACHABLE, UNREACHABLE, has_disconnected=True)
        self.assertEqual(outcome, Resolution.NOT_RUN)
        self.assertEqual(len(self.dispatcher.errors), 1)

    def test_a_request_that_may_have_run_is_not_sent_again(self):
        self.assertEqual(self.outcome_of(BROKEN, BROKEN), Resolution.UNKNOWN)
        self.assertEqual(len(self.dispatcher.errors), 1)
