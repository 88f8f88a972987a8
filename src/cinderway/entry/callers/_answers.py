"""The entry's own answers to callers: problem+json with an outcome that can be read.

Source of the form: RFC 9457. Each says whether the request ran.
"""

from dataclasses import dataclass

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, RefusedForNowError
from cinderway.ledger import Resolution

OUTCOME_HEADER = b"cinderway-outcome"
PROBLEM_TYPE = b"application/problem+json"
DEFAULT_RETRY_AFTER_S = 1

STATUS_OF_CODE = {
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.ACCOUNT_UNKNOWN: 401,
    ErrorCode.REQUEST_TOO_LARGE: 413,
    ErrorCode.KEY_REQUIRED: 428,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.CLAIM_IN_DOUBT: 409,
    ErrorCode.CLAIM_RUNNING: 409,
    ErrorCode.ANSWER_NOT_KEPT: 409,
    ErrorCode.CALLER_LIMIT: 429,
    ErrorCode.ALLOWANCE_SPENT: 429,
    ErrorCode.ALLOWANCE_UNKNOWN: 503,
    ErrorCode.QUEUE_FULL: 503,
    ErrorCode.DEADLINE_PASSED: 503,
    ErrorCode.NO_BACKEND_SERVER: 503,
    ErrorCode.TABLE_UNKNOWN: 503,
    ErrorCode.NO_QUORUM: 503,
    ErrorCode.BACKEND_SHED: 503,
    ErrorCode.BACKEND_RESTS: 503,
    ErrorCode.BACKEND_LIMITED: 503,
    ErrorCode.BACKEND_LEAVES: 503,
    ErrorCode.BACKEND_MISDIRECTED: 503,
    ErrorCode.UNKNOWN_ROUTE: 404,
    # This try has not run and never will.
    ErrorCode.REQUEST_ENDS_SERVERS: 503,
    ErrorCode.BACKEND_FAILED: 502,
    ErrorCode.ANSWER_CUT_SHORT: 502,
}
UNAUTHORIZED = 401
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Coming back later does not change these.
WITHOUT_RETRY = {400, UNAUTHORIZED, 404, 413, 422, 428}


class Problem(msgspec.Struct, frozen=True):
    """Body of an answer that is the entry's own."""

    type: str
    title: str
    status: int
    detail: str
    outcome: Resolution
    step: str
    peer: str


@dataclass(frozen=True)
class OwnAnswer:
    """An answer that the entry gives itself."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def problem_answer(
    error: CinderwayError,
    outcome: Resolution,
    retry_after_s: float | None = None,
) -> OwnAnswer:
    """Return the final answer for an error: what, where, whether it ran, when next.

    Without `retry_after_s` the error says when, if it knows.
    """
    if retry_after_s is None:
        retry_after_s = _retry_after_s(error)
    status = _status_of(error, outcome)
    problem = Problem(
        type=f"urn:cinderway:error:{error.code.value}",
        title=error.code.value,
        status=status,
        detail=error.detail,
        outcome=outcome,
        step=error.step.value,
        peer=error.peer,
    )
    headers = [
        (b"content-type", PROBLEM_TYPE),
        (OUTCOME_HEADER, outcome.value.encode()),
    ]
    if status == UNAUTHORIZED:
        headers.append((b"www-authenticate", b"Bearer"))
    if status not in WITHOUT_RETRY and outcome is not Resolution.RAN:
        headers.append((b"retry-after", f"{retry_after_s:g}".encode()))
    return OwnAnswer(status, headers, msgspec.json.encode(problem))


def _retry_after_s(error: CinderwayError) -> float:
    if isinstance(error, RefusedForNowError):
        return error.retry_after_ms / 1000
    return DEFAULT_RETRY_AFTER_S


def _status_of(error: CinderwayError, outcome: Resolution) -> int:
    """503 promises that the request did not run; callers may rely on it."""
    status = STATUS_OF_CODE.get(error.code, BAD_GATEWAY)
    if status == UNAVAILABLE and outcome is not Resolution.NOT_RUN:
        is_late = error.code is ErrorCode.DEADLINE_PASSED
        return GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
    if status == BAD_GATEWAY and outcome is Resolution.NOT_RUN:
        return UNAVAILABLE
    return status
