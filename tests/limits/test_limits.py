import unittest
from collections import Counter

from hypothesis import given, strategies as st

from cinderway._errors import ErrorCode
from cinderway.limits import (
    Admission,
    Admitted,
    Rejected,
    RetryBudget,
    plan_connections,
)
from cinderway.limits._retry_budget import INITIAL_TOKENS
from cinderway.routing import connection_subset
from cinderway.table import ServiceRow

SERVICE = ServiceRow(name="lookup", queue_limit=4, caller_limit=2)


class RetryBudgetTest(unittest.TestCase):
    @given(st.lists(st.booleans(), max_size=500), st.integers(0, 100))
    def test_retries_stay_within_their_share_of_first_attempts(self, steps, percent):
        budget = RetryBudget(percent)
        first_attempts = retries = 0
        for is_first_attempt in steps:
            if is_first_attempt:
                budget.credit()
                first_attempts += 1
            else:
                retries += budget.consume()
            allowed = INITIAL_TOKENS + first_attempts * percent / 100
            self.assertLessEqual(retries, allowed + 1e-6)

    def test_an_emptied_budget_grants_nothing_until_it_has_earned_a_retry(self):
        budget = RetryBudget(50)
        budget.clear()
        budget.credit()
        self.assertFalse(budget.consume())
        budget.credit()
        self.assertTrue(budget.consume())


class ConnectionPlanTest(unittest.TestCase):
    @given(st.integers(2, 400), st.integers(1, 200), st.integers(1, 50))
    def test_entries_that_all_use_a_server_respect_its_limit(
        self, limit, entries, servers
    ):
        plan = plan_connections(limit, entries, servers)
        if plan.subset_size == servers and plan.per_entry >= 2:
            self.assertLessEqual(plan.per_entry * entries, limit)

    def test_a_large_fleet_respects_the_limit_by_subsets(self):
        """1,100 entries choose subsets of 28 servers, which allow 200 connections."""
        servers = [f"s{n}" for n in range(28)]
        plan = plan_connections(200, 1_100, len(servers))
        connections = Counter()
        for entry in range(1_100):
            for server in connection_subset(f"e{entry}", servers, plan.subset_size):
                connections[server] += plan.per_entry
        self.assertLessEqual(max(connections.values()), 200)
        self.assertEqual(len(connections), len(servers))


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.admission = Admission()
        self.admission.record_service_time(100.0)

    def decide(self, remaining_ms=10_000, caller="ana"):
        return self.admission.decide(SERVICE, caller, remaining_ms, usable_slots=2)

    def test_a_request_that_would_miss_its_deadline_is_rejected_at_once(self):
        self.admission.waiting = 3
        self.assertEqual(self.decide(), Admitted())
        refused = self.decide(remaining_ms=200)
        self.assertIs(refused.code, ErrorCode.DEADLINE_PASSED)
        self.assertGreaterEqual(refused.retry_after_s, 1)

    def test_queue_is_bounded(self):
        self.admission.waiting = SERVICE.queue_limit
        self.assertIs(self.decide().code, ErrorCode.QUEUE_FULL)

    def test_a_caller_at_its_limit_does_not_block_other_callers(self):
        for _ in range(SERVICE.caller_limit):
            self.admission.enter("ana")
        self.assertIs(self.decide(caller="ana").code, ErrorCode.CALLER_LIMIT)
        self.assertEqual(self.decide(caller="ben"), Admitted())
        self.admission.leave("ana")
        self.assertEqual(self.decide(caller="ana"), Admitted())

    @given(st.integers(0, 100), st.integers(0, 20_000))
    def test_a_rejection_always_has_a_retry_after_time(self, waiting, remaining_ms):
        self.admission.waiting = waiting
        decision = self.decide(remaining_ms)
        if isinstance(decision, Rejected):
            self.assertGreaterEqual(decision.retry_after_s, 1)
