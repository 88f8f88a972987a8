"""How a request can end without a backend server's answer."""

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.ledger import Resolution
from cinderway.limits import Refused


class RefusedError(CinderwayError):
    """A request that was not taken, with when to come back."""

    def __init__(self, refused: Refused):
        super().__init__(refused.code, refused.detail, step=Step.QUEUE)
        self.retry_after_s = refused.retry_after_s


class OutcomeError(Exception):
    """A request that ended without an answer, with what is known of its outcome."""

    def __init__(self, error: CinderwayError, outcome: Resolution):
        super().__init__(str(error))
        self.error = error
        self.outcome = outcome


class AnswerBrokenError(Exception):
    """A streamed answer that cannot be ended: the caller's connection must break."""


def outcome_of_attempt(error: CinderwayError) -> Resolution:
    """Say whether a failed attempt's request may have run."""
    if error.code in (ErrorCode.BACKEND_SHED, ErrorCode.BACKEND_MISDIRECTED):
        return Resolution.NOT_RUN
    if error.step in (Step.QUEUE, Step.ROUTE, Step.CONNECT):
        return Resolution.NOT_RUN
    return Resolution.UNKNOWN
