"""Whole answers: attempt, hedge and retry until one is there.

A request that may have run is sent again only if it is repeatable. Hedges and retries
are paid for from a retry budget and bounded by the request's server limit; retries
after a shed are neither, unless `pays_for_sheds` is set. A server that could not be
reached got nothing: another is tried for free, a few times. Nothing is sent again for a
caller that has left.
"""

from dataclasses import dataclass, field
from typing import Protocol

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._operators import Metrics
from cinderway.entry._blackboard import ServiceState
from cinderway.entry.callers._outcomes import OutcomeError, outcome_of_attempt
from cinderway.entry.callers._policies import hedge_after_ms
from cinderway.entry.callers._race import Hedge, race
from cinderway.entry.callers._relay import WholeAnswer, read_whole
from cinderway.entry.callers._requests import CallerRequest
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._holds import HeldBackError
from cinderway.ledger import Resolution

SERVER_ERROR = 500
# Servers that one request may find out of reach before it is given up.
UNREACHED_LIMIT = 3


class RetrySource(Protocol):
    """Where retries and hedges are paid from."""

    def earn(self, service: ServiceState) -> None:
        """Note a request that came in."""

    async def spend(
        self, service: ServiceState, *, until_ms: float, after_failure: bool = True
    ) -> bool:
        """Take one retry, after a failure or beside a slow attempt; False if none is
        left, or if that is not known by `until_ms`.
        """


class OwnRetries:
    """Each service's budget on this entry alone."""

    def earn(self, service: ServiceState) -> None:
        """Note a request that came in."""
        service.budget.earn()

    async def spend(
        self, service: ServiceState, *, until_ms: float, after_failure: bool = True
    ) -> bool:
        """Take one retry; False if there is none left."""
        return service.budget.spend()


@dataclass
class Attempts:
    """Brings one request to as many backend servers as it may reach."""

    dispatcher: Dispatcher
    metrics: Metrics
    answer_limit_bytes: int
    # Whether a request that a server refused to run takes from the budget.
    pays_for_sheds: bool = False
    budget: RetrySource = field(default_factory=OwnRetries)

    async def whole_answer(
        self, service: ServiceState, request: CallerRequest, is_repeatable: bool
    ) -> WholeAnswer:
        """Return the first good answer of the servers that the request may reach.

        A server's answer of 5xx is returned if nothing better came. Raises OutcomeError
        whose outcome is NOT_RUN only if no server can have run the request.
        """
        self.budget.earn(service)
        tries = _Tries(request)
        while True:
            tries.rounds += 1
            try:
                answer = await self._raced(service, request, is_repeatable)
            except CinderwayError as error:
                outcome = tries.note_failure(error)
                if await self.may_retry(
                    service, error, outcome, is_repeatable, tries.has_more, request
                ):
                    continue
                if tries.bad_answer is not None:
                    return tries.bad_answer
                raise OutcomeError(error, tries.outcome) from error
            if answer.status < SERVER_ERROR or not is_repeatable:
                return answer
            tries.note_bad_answer(answer)
            if not tries.has_more or not await self._pay_again(service, request):
                return answer

    async def _one_whole(
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
            exclude=request.tried,
            is_repeatable=is_repeatable,
            penalties=request.penalties,
            # A second try is for what a first one may have cost already: it is not
            # turned away.
            objective_at_ms=None if request.tried else request.objective_at_ms,
            permit=request.permit,
        ) as exchange:
            answer = await read_whole(
                self.dispatcher,
                exchange,
                self.answer_limit_bytes,
                request.deadline_ms,
            )
            service.admission.note_service_time(monotonic_ms() - exchange.started_at_ms)
            if answer.status < SERVER_ERROR:
                request.permit.note_good_run()
            return answer

    async def _raced(
        self,
        service: ServiceState,
        request: CallerRequest,
        is_repeatable: bool,
    ) -> WholeAnswer:
        async def attempt() -> WholeAnswer:
            return await self._one_whole(service, request, is_repeatable)

        may_reach_more = len(request.tried) + 1 < request.server_limit
        if not is_repeatable or not may_reach_more:
            return await attempt()

        pace = self.dispatcher.evidence.pace(service.row.name)
        after_ms = hedge_after_ms(pace, request.objective_ms)
        until_ms = self._retry_until_ms(service, request)

        async def may_hedge() -> bool:
            if not await self.budget.spend(
                service, until_ms=until_ms, after_failure=False
            ):
                return False
            if not await request.permit.renew():
                return False
            self.metrics.count("hedges_total", {"service": service.row.name})
            return True

        hedge = Hedge(monotonic_ms() + after_ms, until_ms, may_hedge)
        return await race(attempt, hedge)

    async def may_retry(
        self,
        service: ServiceState,
        error: CinderwayError,
        outcome: Resolution,
        is_repeatable: bool,
        has_attempts: bool,
        request: CallerRequest,
    ) -> bool:
        """Say whether a failed attempt is followed by another, and pay for it."""
        if isinstance(error, HeldBackError):
            # No server got it, and the wait for a slot that follows paces it.
            return request.permit.holds and not request.caller_left.is_set()
        if error.step in (Step.QUEUE, Step.ROUTE):
            return False
        if error.code is ErrorCode.BACKEND_SHED and not self.pays_for_sheds:
            # Not run, and the slot wait that follows paces it: no new load.
            return True
        if not is_repeatable and outcome is not Resolution.NOT_RUN:
            return False
        if error.step is Step.CONNECT:
            # Nothing reached a server: no load that a budget would have to bound.
            return has_attempts
        if not has_attempts:
            return False
        if outcome is Resolution.NOT_RUN:
            return await self.spend(service, request)
        return await self._pay_again(service, request)

    async def _pay_again(self, service: ServiceState, request: CallerRequest) -> bool:
        """Take a retry, and leave to send what may have run once more."""
        return await self.spend(service, request) and await request.permit.renew()

    async def spend(self, service: ServiceState, request: CallerRequest) -> bool:
        """Take a retry from the service's budget, if there is one left."""
        until_ms = self._retry_until_ms(service, request)
        if not await self.budget.spend(service, until_ms=until_ms):
            return False
        self.metrics.count("retries_total", {"service": service.row.name})
        return True

    def _retry_until_ms(self, service: ServiceState, request: CallerRequest) -> float:
        """Return until when a further try would mostly be answered in time."""
        usual_ms = self.dispatcher.evidence.pace(service.row.name).usual_ms
        return request.deadline_ms - usual_ms


@dataclass
class _Tries:
    """What became of one request so far."""

    request: CallerRequest
    rounds: int = 0
    unreached: int = 0
    may_have_run: bool = False
    bad_answer: WholeAnswer | None = None

    def note_failure(self, error: CinderwayError) -> Resolution:
        """Note an attempt without an answer; return what it means by itself."""
        outcome = outcome_of_attempt(error)
        self.may_have_run = self.may_have_run or outcome is not Resolution.NOT_RUN
        self.unreached += error.step is Step.CONNECT
        self.rounds -= isinstance(error, HeldBackError)
        return outcome

    def note_bad_answer(self, answer: WholeAnswer) -> None:
        """Note a server's answer of 5xx."""
        self.bad_answer = answer
        self.may_have_run = True

    @property
    def outcome(self) -> Resolution:
        """What all attempts together mean."""
        return Resolution.UNKNOWN if self.may_have_run else Resolution.NOT_RUN

    @property
    def has_more(self) -> bool:
        """Whether the request may reach another server."""
        if self.request.caller_left.is_set() or self.unreached > UNREACHED_LIMIT:
            return False
        if not self.request.permit.holds:
            return False
        reached = max(self.rounds, len(self.request.tried)) - self.unreached
        return reached < self.request.server_limit
