"""The entry's own answers to callers: problem+json (RFC 9457).

Each one states in a machine-readable field whether the request ran.
"""

from dataclasses import dataclass

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, RetryLaterError
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
    ErrorCode.ENTRY_FULL: 503,
    ErrorCode.ENTRY_STOPS: 503,
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
    # This attempt has not run and will not run.
    ErrorCode.REQUEST_ENDS_SERVERS: 503,
    ErrorCode.BACKEND_FAILED: 502,
    ErrorCode.ANSWER_CUT_SHORT: 502,
}
UNAUTHORIZED = 401
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Errors that the same request would get again later.
STATUSES_WITHOUT_RETRY = {400, UNAUTHORIZED, 404, 413, 422, 428}


class Problem(msgspec.Struct, frozen=True):
    """The body of an answer that the entry itself generates."""

    type: str
    title: str
    status: int
    detail: str
    outcome: Resolution
    step: str
    peer: str


@dataclass(frozen=True)
class ProblemAnswer:
    """An answer that the entry itself generates."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def build_problem_answer(
    error: CinderwayError,
    outcome: Resolution,
    retry_after_s: float | None = None,
) -> ProblemAnswer:
    """Build the final answer for an error.

    It holds the error, the step and peer at fault, whether the request ran and when to
    retry. Without `retry_after_s` the time to retry comes from the error, if it has
    one.
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
    if status not in STATUSES_WITHOUT_RETRY and outcome is not Resolution.RAN:
        headers.append((b"retry-after", f"{retry_after_s:g}".encode()))
    return ProblemAnswer(status, headers, msgspec.json.encode(problem))


def _retry_after_s(error: CinderwayError) -> float:
    if isinstance(error, RetryLaterError):
        return error.retry_after_ms / 1000
    return DEFAULT_RETRY_AFTER_S


def _status_of(error: CinderwayError, outcome: Resolution) -> int:
    """Return the HTTP status; 503 guarantees callers that the request did not run."""
    status = STATUS_OF_CODE.get(error.code, BAD_GATEWAY)
    if status == UNAVAILABLE and outcome is not Resolution.NOT_RUN:
        is_late = error.code is ErrorCode.DEADLINE_PASSED
        return GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
    if status == BAD_GATEWAY and outcome is Resolution.NOT_RUN:
        return UNAVAILABLE
    return status
