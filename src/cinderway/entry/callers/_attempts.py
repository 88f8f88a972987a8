"""Fetch unstreamed answers: attempt, hedge and retry until there is one.

A request that may have run is sent again only if it is repeatable. Hedges and retries
consume a retry budget and are bounded by the request's server limit; retries after a
shed are neither, unless `consumes_budget_for_sheds` is set. A server that could not be
reached got nothing: another one is tried without using the budget, UNREACHABLE_LIMIT
times at most.
Nothing is sent again for a caller that has disconnected.
"""

from dataclasses import dataclass, field
from typing import Protocol

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._operators import Metrics
from cinderway.entry._blackboard import ServiceState
from cinderway.entry.callers._outcomes import OutcomeError, outcome_of_attempt
from cinderway.entry.callers._race import Hedge, race
from cinderway.entry.callers._relay import WholeAnswer, read_whole_answer
from cinderway.entry.callers._requests import CallerRequest
from cinderway.entry.callers._route_policies import compute_hedge_delay_ms
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._send_checks import HeldBackError
from cinderway.judgement import Pace
from cinderway.ledger import Resolution

SERVER_ERROR = 500
# Unreachable servers that a request may meet; at the next one it fails.
UNREACHABLE_LIMIT = 3


class SpendableBudget(Protocol):
    """The budget that retries and hedges consume."""

    def credit(self, service: ServiceState) -> None:
        """Credit the budget for an incoming request."""

    async def consume(
        self, service: ServiceState, *, until_ms: float, after_failure: bool = True
    ) -> bool:
        """Consume one retry, after a failure or as a hedge of a slow attempt.

        False if none is left, or if that is not known by `until_ms`.
        """


class LocalRetryBudget:
    """The retry budget that each service has on this entry."""

    def credit(self, service: ServiceState) -> None:
        """Credit the budget for an incoming request."""
        service.budget.credit()

    async def consume(
        self, service: ServiceState, *, until_ms: float, after_failure: bool = True
    ) -> bool:
        """Consume one retry; False if none is left."""
        return service.budget.consume()


@dataclass
class Attempts:
    """Sends requests to backend servers, with retries and hedges."""

    dispatcher: Dispatcher
    metrics: Metrics
    answer_limit_bytes: int
    # Whether a retry after a server shed the request consumes the budget.
    consumes_budget_for_sheds: bool = False
    budget: SpendableBudget = field(default_factory=LocalRetryBudget)

    async def fetch_answer(
        self, service: ServiceState, request: CallerRequest, is_repeatable: bool
    ) -> WholeAnswer:
        """Return the first good answer of the servers that the request may reach.

        A server's answer of 5xx is returned if no better one arrives. Raises
        OutcomeError, whose outcome is NOT_RUN only if no server can have run the
        request.
        """
        self.budget.credit(service)
        history = _AttemptHistory(request)
        while True:
            history.rounds += 1
            try:
                answer = await self._attempt_hedged(service, request, is_repeatable)
            except CinderwayError as error:
                outcome = history.record_failure(error)
                if await self.acquire_retry(
                    service,
                    error,
                    outcome,
                    is_repeatable,
                    history.has_attempts_left,
                    request,
                ):
                    continue
                if history.error_answer is not None:
                    return history.error_answer
                raise OutcomeError(error, history.outcome) from error
            if answer.status < SERVER_ERROR or not is_repeatable:
                return answer
            history.record_error_answer(answer)
            if not history.has_attempts_left or not await self._acquire_rerun(
                service, request
            ):
                return answer

    async def _attempt_once(
        self,
        service: ServiceState,
        request: CallerRequest,
        is_repeatable: bool,
    ) -> WholeAnswer:
        async with self.dispatcher.exchange(
            service,
            request.backend_request,
            request.attempt_id or self.dispatcher.new_attempt_id(),
            request.deadline_ms,
            exclude=request.tried_servers,
            is_repeatable=is_repeatable,
            penalties=request.penalties,
            # A second attempt is not refused for a long queue: the first one may have
            # used up the time until the objective.
            objective_at_ms=None if request.tried_servers else request.objective_at_ms,
            permit=request.permit,
            record_use=request.connection_uses.append,
            work=request.work,
        ) as exchange:
            answer = await read_whole_answer(
                self.dispatcher,
                exchange,
                self.answer_limit_bytes,
                request.deadline_ms,
                request.holding,
            )
            service.admission.record_service_time(
                monotonic_ms() - exchange.started_at_ms
            )
            if answer.status < SERVER_ERROR:
                request.permit.record_successful_run()
            return answer

    async def _attempt_hedged(
        self,
        service: ServiceState,
        request: CallerRequest,
        is_repeatable: bool,
    ) -> WholeAnswer:
        async def attempt() -> WholeAnswer:
            return await self._attempt_once(service, request, is_repeatable)

        may_reach_more = len(request.tried_servers) + 1 < request.server_limit
        if not is_repeatable or not may_reach_more:
            return await attempt()

        pace = self.find_pace(service, request)
        delay_ms = compute_hedge_delay_ms(pace, request.objective_ms)
        until_ms = self._retry_until_ms(service, request)

        async def may_hedge() -> bool:
            if not await self.budget.consume(
                service, until_ms=until_ms, after_failure=False
            ):
                return False
            if not await request.permit.acquire_rerun():
                return False
            self.metrics.count("hedges_total", {"service": service.row.name})
            return True

        hedge = Hedge(monotonic_ms() + delay_ms, until_ms, may_hedge)
        return await race(attempt, hedge)

    async def acquire_retry(
        self,
        service: ServiceState,
        error: CinderwayError,
        outcome: Resolution,
        is_repeatable: bool,
        has_attempts: bool,
        request: CallerRequest,
    ) -> bool:
        """Decide whether to retry a failed attempt; consume the budget if so."""
        if isinstance(error, HeldBackError):
            # No server got it, and the wait for a slot that follows limits the rate.
            return request.permit.is_valid and not request.caller_disconnected.is_set()
        if error.step in (Step.QUEUE, Step.ROUTE):
            return False
        if error.code is ErrorCode.BACKEND_SHED and not self.consumes_budget_for_sheds:
            # It did not run, and the wait for a slot that follows limits the rate: a
            # retry adds no load.
            return True
        if not is_repeatable and outcome is not Resolution.NOT_RUN:
            return False
        if error.step is Step.CONNECT:
            # No server got anything, so there is no load for a budget to bound.
            return has_attempts
        if not has_attempts:
            return False
        if outcome is Resolution.NOT_RUN:
            return await self.consume_retry(service, request)
        return await self._acquire_rerun(service, request)

    async def _acquire_rerun(
        self, service: ServiceState, request: CallerRequest
    ) -> bool:
        """Consume a retry and acquire a rerun, for a request that may have run."""
        return (
            await self.consume_retry(service, request)
            and await request.permit.acquire_rerun()
        )

    async def consume_retry(
        self, service: ServiceState, request: CallerRequest
    ) -> bool:
        """Consume a retry from the service's budget; False if none is left."""
        until_ms = self._retry_until_ms(service, request)
        if not await self.budget.consume(service, until_ms=until_ms):
            return False
        self.metrics.count("retries_total", {"service": service.row.name})
        return True

    def _retry_until_ms(self, service: ServiceState, request: CallerRequest) -> float:
        """Return until when another attempt would usually be answered in time."""
        return request.deadline_ms - self.find_pace(service, request).usual_ms

    def find_pace(self, service: ServiceState, request: CallerRequest) -> Pace:
        """Return the pace of a request's class of work, or else of its service."""
        work = self.dispatcher.board.find_mixed_class(request.work)
        return self.dispatcher.evidence.pace(service.row.name, work)


@dataclass
class _AttemptHistory:
    """The attempts at one request so far."""

    request: CallerRequest
    rounds: int = 0
    unreachable_count: int = 0
    may_have_run: bool = False
    error_answer: WholeAnswer | None = None

    def record_failure(self, error: CinderwayError) -> Resolution:
        """Record an attempt without an answer; return the outcome of that attempt."""
        outcome = outcome_of_attempt(error)
        self.may_have_run = self.may_have_run or outcome is not Resolution.NOT_RUN
        self.unreachable_count += error.step is Step.CONNECT
        self.rounds -= isinstance(error, HeldBackError)
        return outcome

    def record_error_answer(self, answer: WholeAnswer) -> None:
        """Record a server's answer of 5xx."""
        self.error_answer = answer
        self.may_have_run = True

    @property
    def outcome(self) -> Resolution:
        """The outcome of all attempts together."""
        return Resolution.UNKNOWN if self.may_have_run else Resolution.NOT_RUN

    @property
    def has_attempts_left(self) -> bool:
        """Whether the request may be sent to another server."""
        if (
            self.request.caller_disconnected.is_set()
            or self.unreachable_count > UNREACHABLE_LIMIT
        ):
            return False
        if not self.request.permit.is_valid:
            return False
        reached = (
            max(self.rounds, len(self.request.tried_servers)) - self.unreachable_count
        )
        return reached < self.request.server_limit
