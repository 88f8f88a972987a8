"""Streamed answers: relayed as they arrive, and resumed at another server."""

from dataclasses import dataclass

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import ServerName
from cinderway.entry._blackboard import ServiceState
from cinderway.entry.callers._attempts import SERVER_ERROR, Attempts
from cinderway.entry.callers._outcomes import (
    AnswerBrokenError,
    OutcomeError,
    outcome_of_attempt,
)
from cinderway.entry.callers._relay import Download, next_chunk
from cinderway.entry.callers._reply import Reply
from cinderway.entry.callers._requests import ATTEMPT_LIMIT, CallerRequest
from cinderway.entry.servers._dispatch import Exchange
from cinderway.judgement import FailureKind


@dataclass
class Streams:
    """Serves requests of services whose answers are streamed."""

    attempts: Attempts

    async def serve(
        self, service: ServiceState, request: CallerRequest, reply: Reply
    ) -> None:
        """Relay one answer to its end.

        Raises OutcomeError if it fails before anything was relayed, and
        AnswerBrokenError after that.
        """
        self.attempts.budget.credit(service)
        transfer = _Transfer(service, request, reply)
        for attempt in range(ATTEMPT_LIMIT + 1):
            has_attempts = attempt < ATTEMPT_LIMIT
            try:
                if await self._attempt(transfer, has_attempts):
                    await reply.send_end()
                    return
            except CinderwayError as error:
                await self._resume_or_raise(transfer, error, has_attempts)
        raise AnswerBrokenError

    async def _attempt(self, transfer: "_Transfer", has_attempts: bool) -> bool:
        """Relay what one server sends; False if another server should be tried."""
        dispatcher = self.attempts.dispatcher
        async with dispatcher.exchange(
            transfer.service,
            transfer.next_request(),
            dispatcher.new_attempt_id(),
            transfer.deadline_ms(),
            exclude=transfer.exclude,
            is_repeatable=True,
            permit=transfer.request.permit,
            record_use=transfer.request.connection_uses.append,
        ) as exchange:
            answer = exchange.answer
            if transfer.download is not None:
                if not transfer.download.can_continue_with(answer):
                    raise AnswerBrokenError
            else:
                is_failed = answer.status >= SERVER_ERROR
                if is_failed and has_attempts:
                    if await self.attempts.consume_retry(
                        transfer.service, transfer.request
                    ):
                        return False
                transfer.download = Download(answer)
                await transfer.reply.send_head(answer)
            await self._relay(transfer, exchange)
        if transfer.download.status < SERVER_ERROR:
            transfer.request.permit.record_successful_run()
        return True

    async def _relay(self, transfer: "_Transfer", exchange: Exchange) -> None:
        evidence = self.attempts.dispatcher.evidence
        stall_timeout_ms = transfer.service.row.stall_timeout_ms
        chunks = exchange.answer.chunks()
        try:
            while True:
                chunk = await next_chunk(chunks, exchange, stall_timeout_ms)
                if chunk is None:
                    return
                before_ms = monotonic_ms()
                evidence.record_progress(exchange.attempt, len(chunk), before_ms)
                await transfer.reply.send_chunk(chunk)
                transfer.download.sent_bytes += len(chunk)
                blocked_ms = monotonic_ms() - before_ms
                evidence.exclude_blocked_time(exchange.attempt, blocked_ms)
        except CinderwayError:
            # Not recorded as a sign that the server ended: a download that breaks is
            # resumed at another server, as often as necessary.
            evidence.record_failure(exchange.attempt, FailureKind.CUT)
            raise
        finally:
            await chunks.aclose()

    async def _resume_or_raise(
        self, transfer: "_Transfer", error: CinderwayError, has_attempts: bool
    ) -> None:
        outcome = outcome_of_attempt(error)
        is_retried = await self.attempts.acquire_retry(
            transfer.service, error, outcome, True, has_attempts, transfer.request
        )
        if transfer.download is None and not is_retried:
            raise OutcomeError(error, outcome) from error
        if transfer.download is not None:
            if not is_retried or not transfer.download.is_resumable:
                raise AnswerBrokenError from error


class _Transfer:
    """One caller's streamed answer, over all the servers that it comes from."""

    def __init__(self, service: ServiceState, request: CallerRequest, reply: Reply):
        self.service = service
        self.reply = reply
        self.exclude: set[ServerName] = set()
        self.download: Download | None = None
        self.request = request

    def next_request(self):
        """Return the request for the next server: for the whole body or its rest."""
        if self.download is None:
            return self.request.backend_request
        return self.download.build_resume_request(self.request.backend_request)

    def deadline_ms(self) -> int:
        """Return the deadline of the next attempt.

        The caller's deadline applies to the first byte; after it only stalls count.
        """
        if self.download is None:
            return self.request.deadline_ms
        return monotonic_ms() + self.service.row.request_timeout_ms
