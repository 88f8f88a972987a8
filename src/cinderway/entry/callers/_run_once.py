"""Run-once requests: claim, run, record the outcome, and only then answer."""

import logging
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode
from cinderway._ids import AttemptId, EntryName
from cinderway._operators import Metrics
from cinderway.entry._blackboard import ServiceState
from cinderway.entry.callers import _claims
from cinderway.entry.callers._answers import build_problem_answer
from cinderway.entry.callers._attempts import Attempts
from cinderway.entry.callers._outcomes import OutcomeError
from cinderway.entry.callers._relay import WholeAnswer
from cinderway.entry.callers._reply import Reply
from cinderway.entry.callers._requests import CallerRequest
from cinderway.ledger import (
    NO_ANSWER,
    Header,
    LedgerClient,
    Resolution,
    StoredAnswer,
)

logger = logging.getLogger(__name__)


@dataclass
class RunOnce:
    """Serves the run-once requests of one entry."""

    entry: EntryName
    attempts: Attempts
    ledger: LedgerClient
    metrics: Metrics
    tasks: TaskGroup
    # Requests and tombstones being written, which a stop must wait for.
    in_progress: int = 0

    async def serve(
        self, service: ServiceState, request: CallerRequest, reply: Reply
    ) -> None:
        """Serve one request and send its answer."""
        # Runs in a task of the daemon, not of the caller: once dispatched, the request
        # runs to its end and is recorded even if the caller disconnects.
        done = anyio.Event()
        self.tasks.start_soon(self._run, service, request, reply, done)
        await done.wait()

    async def _run(
        self,
        service: ServiceState,
        request: CallerRequest,
        reply: Reply,
        done: anyio.Event,
    ) -> None:
        self.in_progress += 1
        try:
            await self._claim_and_run(service, request, reply)
        except OutcomeError as error:
            await reply.send_problem(build_problem_answer(error.error, error.outcome))
        except CinderwayError as error:
            await reply.send_problem(
                build_problem_answer(error, _claims.outcome_of(error))
            )
        except Exception:
            # An error in one request must not end the task group that all share.
            logger.exception("a run-once request failed with an unexpected error")
        finally:
            self.in_progress -= 1
            done.set()

    async def _claim_and_run(
        self, service: ServiceState, request: CallerRequest, reply: Reply
    ) -> None:
        attempt_id = self.attempts.dispatcher.new_attempt_id()
        try:
            ruling = await _claims.claim(
                self.ledger, request, service.row, attempt_id, self.entry
            )
        except CinderwayError as error:
            if error.code is ErrorCode.NO_QUORUM:
                # The claim may still reach the ledger. It is not dispatched any more,
                # and the tombstone lets the caller's next attempt run.
                self.tasks.start_soon(self._abandon, service, request, attempt_id)
            raise
        match ruling:
            case _claims.Replayed(answer=stored):
                headers = [(h.name, h.value) for h in stored.headers]
                await reply.send_answer(
                    WholeAnswer(stored.status, headers, stored.body), Resolution.RAN
                )
            case _claims.Granted():
                await self._run_granted(service, request, ruling, reply)

    async def _run_granted(
        self,
        service: ServiceState,
        request: CallerRequest,
        granted: _claims.Granted,
        reply: Reply,
    ) -> None:
        try:
            answer = await self.attempts.fetch_answer(service, request, False)
        except OutcomeError as error:
            # Recorded before the caller is answered: a caller that is told "not run"
            # and retries must not conflict with its own earlier claim.
            await self._record(granted, error.outcome)
            raise
        kept = self._build_stored_answer(service, answer)
        await self._record(granted, Resolution.RAN, kept)
        await reply.send_answer(answer, Resolution.RAN)

    def _build_stored_answer(
        self, service: ServiceState, answer: WholeAnswer
    ) -> StoredAnswer:
        if len(answer.body) > service.row.answer_kept_bytes:
            return NO_ANSWER
        headers = [Header(name, value) for name, value in answer.headers]
        return StoredAnswer(True, answer.status, headers, answer.body)

    async def _record(
        self,
        granted: _claims.Granted,
        resolution: Resolution,
        answer: StoredAnswer = NO_ANSWER,
    ) -> None:
        try:
            await _claims.record_outcome(self.ledger, granted, resolution, answer)
        except CinderwayError as error:
            self.metrics.count("claims_unrecorded_total", {})
            logger.warning(
                "the outcome of claim %s was not recorded: %s", granted.name.key, error
            )

    async def _abandon(
        self, service: ServiceState, request: CallerRequest, attempt_id: AttemptId
    ) -> None:
        name = _claims.get_claim_name(request, service.row)
        deadline_ms = monotonic_ms() + _claims.ABANDON_TIMEOUT_MS
        self.in_progress += 1
        try:
            await self.ledger.abandon(name, attempt_id, deadline_ms)
        except CinderwayError as error:
            logger.warning(
                "attempt %s was not marked as abandoned: %s", attempt_id, error
            )
        finally:
            self.in_progress -= 1
