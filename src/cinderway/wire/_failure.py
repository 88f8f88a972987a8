"""The answers that all conversations with a replicated group share."""

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address
from cinderway.wire._codec import Message


class Done(Message, frozen=True):
    """A request that has no answer of its own was carried out durably."""


class Failure(Message, frozen=True):
    """A request was not carried out, or may not have been; the code says which.

    `leader` is the address to ask instead, "" if it is not known.
    """

    code: ErrorCode
    detail: str
    step: Step
    peer: str
    leader: Address

    def error(self, answered_by: str) -> CinderwayError:
        """Convert the answer to the error that it carries."""
        peer = self.peer or answered_by
        return CinderwayError(self.code, self.detail, step=self.step, peer=peer)


def failure_from(error: CinderwayError, leader: Address | None) -> Failure:
    """Build the answer that carries an error to the peer."""
    return Failure(
        error.code, error.detail, error.step, error.peer, leader or Address("")
    )
