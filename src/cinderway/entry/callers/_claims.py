"""The ledger side of requests that run at most once: claim them, record outcomes."""

from dataclasses import dataclass

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AttemptId, EntryName
from cinderway.entry.callers._requests import (
    KEY_HEADER,
    CallerRequest,
    compute_fingerprint,
)
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
class Replayed:
    """The request ran before; its stored answer is returned."""

    answer: StoredAnswer


def get_claim_name(request: CallerRequest, service: ServiceRow) -> ClaimName:
    """Return the name that identifies a run-once request in the whole fleet."""
    key = request.header(KEY_HEADER).decode("latin-1")
    return ClaimName(service.name, request.caller, key)


async def claim(
    ledger: LedgerClient,
    request: CallerRequest,
    service: ServiceRow,
    attempt_id: AttemptId,
    entry: EntryName,
) -> Granted | Replayed:
    """Claim a request; if another attempt is running it, wait for that one to end.

    Raises CinderwayError, whose code determines the outcome: see `outcome_of`.
    """
    name = get_claim_name(request, service)
    while True:
        now_ms = monotonic_ms()
        claim_request = Claim(
            name=name,
            fingerprint=compute_fingerprint(request),
            attempt_id=attempt_id,
            entry=entry,
            run_ms=max(request.deadline_ms - now_ms, 1),
            retention_ms=service.claim_retention_s * 1000,
        )
        share_ms = (request.deadline_ms - now_ms) * CLAIM_TIME_SHARE
        answer = await _ask(ledger, claim_request, now_ms + round(share_ms))
        match answer:
            case ClaimAnswer(ruling=Ruling.GRANTED):
                return Granted(name, attempt_id)
            case ClaimAnswer(ruling=Ruling.RAN, answer=stored):
                return _build_replay(stored)
            case ClaimAnswer(ruling=Ruling.RUNNING):
                await _wait_for_running_attempt(ledger, name, request.deadline_ms)
            case ClaimAnswer(ruling=ruling):
                raise _build_ruling_error(ruling)


async def _ask(
    ledger: LedgerClient, claim_request: Claim, deadline_ms: int
) -> ClaimAnswer:
    try:
        return await ledger.claim(claim_request, deadline_ms)
    except CinderwayError as error:
        raise CinderwayError(
            ErrorCode.NO_QUORUM,
            f"the ledger did not answer: {error.detail}",
            step=Step.CLAIM,
            peer=error.peer,
        ) from error


async def record_outcome(
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


def _build_replay(stored: StoredAnswer) -> Replayed:
    if not stored.is_whole:
        raise CinderwayError(
            ErrorCode.ANSWER_NOT_KEPT,
            "the request ran; its answer was too large to keep",
            step=Step.CLAIM,
        )
    return Replayed(stored)


async def _wait_for_running_attempt(
    ledger: LedgerClient, name: ClaimName, deadline_ms: int
) -> None:
    try:
        answer = await ledger.await_claim(name, deadline_ms)
    except CinderwayError as error:
        raise _build_still_running_error() from error
    if answer.ruling is Ruling.RUNNING:
        raise _build_still_running_error()


def _build_still_running_error() -> CinderwayError:
    return CinderwayError(
        ErrorCode.CLAIM_RUNNING,
        "another attempt at this request is still running",
        step=Step.CLAIM,
    )


def _build_ruling_error(ruling: Ruling) -> CinderwayError:
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
