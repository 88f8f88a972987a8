"""The ways in which a request can end without a backend server's answer."""

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.ledger import Resolution
from cinderway.limits import Rejected


class RefusedError(CinderwayError):
    """The request was not admitted; `retry_after_s` tells when to retry."""

    def __init__(self, refused: Rejected):
        super().__init__(refused.code, refused.detail, step=Step.QUEUE)
        self.retry_after_s = refused.retry_after_s


class OutcomeError(Exception):
    """The request ended without an answer; `outcome` tells whether it may have run."""

    def __init__(self, error: CinderwayError, outcome: Resolution):
        super().__init__(str(error))
        self.error = error
        self.outcome = outcome


class AnswerBrokenError(Exception):
    """A streamed answer cannot be completed: the caller's connection must be closed."""


def outcome_of_attempt(error: CinderwayError) -> Resolution:
    """Return whether the request of a failed attempt may have run."""
    if error.code in (ErrorCode.BACKEND_SHED, ErrorCode.BACKEND_MISDIRECTED):
        return Resolution.NOT_RUN
    if error.step in (Step.QUEUE, Step.ROUTE, Step.CONNECT):
        return Resolution.NOT_RUN
    return Resolution.UNKNOWN
