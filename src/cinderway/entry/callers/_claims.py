"""The ledger side of requests that run at most once: claim them, record outcomes."""

from dataclasses import dataclass

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AttemptId, EntryName
from cinderway.entry.callers._requests import KEY_HEADER, CallerRequest, fingerprint_of
from cinderway.ledger import (
    NO_ANSWER,
    Claim,
    ClaimAnswer,
    ClaimName,
    Finish,
    LedgerClient,
    Resolution,
    Ruling,
    StoredAnswer,
)
from cinderway.table import ServiceRow

RECORD_TIMEOUT_MS = 10_000
ABANDON_TIMEOUT_MS = 30_000
# Share of the time until the deadline that a claim may take: the rest must suffice for
# an attempt.
CLAIM_TIME_SHARE = 0.5


@dataclass(frozen=True)
class Granted:
    """The claim is granted: this attempt may run the request."""

    name: ClaimName
    attempt_id: AttemptId


@dataclass(frozen=True)
class Resent:
    """The request ran before; its stored answer is returned."""

    answer: StoredAnswer


def claim_name_of(request: CallerRequest, service: ServiceRow) -> ClaimName:
    """Return the name that identifies a run-once request in the whole fleet."""
    key = request.header(KEY_HEADER).decode("latin-1")
    return ClaimName(service.name, request.caller, key)


async def claim(
    ledger: LedgerClient,
    request: CallerRequest,
    service: ServiceRow,
    attempt_id: AttemptId,
    entry: EntryName,
) -> Granted | Resent:
    """Claim a request; if another attempt is running it, wait for that one to end.

    Raises CinderwayError, whose code determines the outcome: see `outcome_of`.
    """
    name = claim_name_of(request, service)
    while True:
        now_ms = monotonic_ms()
        asked = Claim(
            name=name,
            fingerprint=fingerprint_of(request),
            attempt_id=attempt_id,
            entry=entry,
            run_ms=max(request.deadline_ms - now_ms, 1),
            retention_ms=service.claim_retention_s * 1000,
        )
        share_ms = (request.deadline_ms - now_ms) * CLAIM_TIME_SHARE
        answer = await _ask(ledger, asked, now_ms + round(share_ms))
        match answer:
            case ClaimAnswer(ruling=Ruling.GRANTED):
                return Granted(name, attempt_id)
            case ClaimAnswer(ruling=Ruling.RAN, answer=stored):
                return _resent(stored)
            case ClaimAnswer(ruling=Ruling.RUNNING):
                await _await_running(ledger, name, request.deadline_ms)
            case ClaimAnswer(ruling=ruling):
                raise _ruled_out(ruling)


async def _ask(ledger: LedgerClient, asked: Claim, deadline_ms: int) -> ClaimAnswer:
    try:
        return await ledger.claim(asked, deadline_ms)
    except CinderwayError as error:
        raise CinderwayError(
            ErrorCode.NO_QUORUM,
            f"the ledger did not answer: {error.detail}",
            step=Step.CLAIM,
            peer=error.peer,
        ) from error


async def record(
    ledger: LedgerClient,
    granted: Granted,
    resolution: Resolution,
    answer: StoredAnswer = NO_ANSWER,
) -> None:
    """Record an outcome; if that fails the claim becomes in doubt at its deadline."""
    finish = Finish(granted.name, granted.attempt_id, resolution, answer)
    await ledger.finish(finish, monotonic_ms() + RECORD_TIMEOUT_MS)


def outcome_of(error: CinderwayError) -> Resolution:
    """Return the outcome of a request whose claim failed."""
    match error.code:
        case ErrorCode.CLAIM_IN_DOUBT | ErrorCode.CLAIM_RUNNING:
            return Resolution.UNKNOWN
        case ErrorCode.ANSWER_NOT_KEPT:
            return Resolution.RAN
        case _:
            return Resolution.NOT_RUN


def _resent(stored: StoredAnswer) -> Resent:
    if not stored.is_whole:
        raise CinderwayError(
            ErrorCode.ANSWER_NOT_KEPT,
            "the request ran; its answer was too large to keep",
            step=Step.CLAIM,
        )
    return Resent(stored)


async def _await_running(
    ledger: LedgerClient, name: ClaimName, deadline_ms: int
) -> None:
    try:
        answer = await ledger.await_claim(name, deadline_ms)
    except CinderwayError as error:
        raise _still_running() from error
    if answer.ruling is Ruling.RUNNING:
        raise _still_running()


def _still_running() -> CinderwayError:
    return CinderwayError(
        ErrorCode.CLAIM_RUNNING,
        "another attempt at this request is still running",
        step=Step.CLAIM,
    )


def _ruled_out(ruling: Ruling) -> CinderwayError:
    match ruling:
        case Ruling.IN_DOUBT:
            return CinderwayError(
                ErrorCode.CLAIM_IN_DOUBT,
                "an earlier attempt ended without a known outcome",
                step=Step.CLAIM,
            )
        case Ruling.KEY_REUSED:
            return CinderwayError(
                ErrorCode.KEY_REUSED,
                "this Idempotency-Key was already used for another request",
                step=Step.CLAIM,
            )
        case _:
            return CinderwayError(
                ErrorCode.NO_QUORUM, "this attempt was abandoned", step=Step.CLAIM
            )
