"""The messages between the ledger and its clients: entries and operators."""

from enum import Enum

from cinderway._ids import AttemptId, CallerName, EntryName, ServiceName
from cinderway.wire import Conversation, Done, Failure, Message


class ClaimName(Message, frozen=True):
    """Identifies a run-once request across the fleet: same name, same request."""

    service: ServiceName
    caller: CallerName
    key: str


class Resolution(Enum):
    """The outcome of a claimed request."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Ruling(Enum):
    """The ledger's answer to a claim."""

    GRANTED = "granted"
    RUNNING = "running"
    RAN = "ran"
    IN_DOUBT = "in-doubt"
    KEY_REUSED = "key-reused"
    ATTEMPT_ABANDONED = "attempt-abandoned"


class Header(Message, frozen=True):
    """One header of a stored response."""

    name: bytes
    value: bytes


class StoredAnswer(Message, frozen=True):
    """A response kept for resends; `is_whole` is false if it was too large to keep."""

    is_whole: bool = False
    status: int = 0
    headers: list[Header] = []
    body: bytes = b""


NO_ANSWER = StoredAnswer()


class Claim(Message, frozen=True):
    """Request that this attempt be the only one that may run a request.

    `fingerprint` identifies the request's content. The attempt may run for `run_ms`;
    the outcome is kept for `retention_ms` after that.
    """

    name: ClaimName
    fingerprint: bytes
    attempt_id: AttemptId
    entry: EntryName
    run_ms: int
    retention_ms: int


class ClaimAnswer(Message, frozen=True):
    """The ruling; `answer` is set if the request ran and its response was kept."""

    ruling: Ruling
    answer: StoredAnswer = NO_ANSWER


class Finish(Message, frozen=True):
    """Record a granted attempt's outcome. NOT_RUN lets another attempt claim."""

    name: ClaimName
    attempt_id: AttemptId
    resolution: Resolution
    answer: StoredAnswer = NO_ANSWER


class Abandon(Message, frozen=True):
    """Give up an attempt whose claim got no answer; it will never be dispatched.

    If the claim arrives after this message, the ledger refuses it.
    """

    name: ClaimName
    attempt_id: AttemptId


class AwaitClaim(Message, frozen=True):
    """Wait until a claim is no longer running, or `wait_ms` have passed."""

    name: ClaimName
    wait_ms: int


class Settle(Message, frozen=True):
    """Set the outcome of a claim in doubt, as an operator determined it."""

    name: ClaimName
    resolution: Resolution


class ListClaims(Message, frozen=True):
    """List claims in doubt."""

    limit: int


class ClaimRecord(Message, frozen=True):
    """A claim as shown to operators."""

    name: ClaimName
    attempt_id: AttemptId
    entry: EntryName
    age_ms: int


class ClaimList(Message, frozen=True):
    """Claims in doubt, oldest first."""

    claims: list[ClaimRecord]


LEDGER = Conversation(
    "ledger",
    1,
    (
        Claim,
        ClaimAnswer,
        Finish,
        Abandon,
        AwaitClaim,
        Settle,
        ListClaims,
        ClaimList,
        Done,
        Failure,
    ),
)
