"""The errors that cinderway raises or returns: each has a code, a step and a peer."""

from enum import Enum


class ErrorCode(Enum):
    """What went wrong. The values appear in responses, logs and the command line."""

    SETTING_INVALID = "setting-invalid"
    ADDRESS_UNUSABLE = "address-unusable"
    CSV_INVALID = "csv-invalid"
    CELL_INVALID = "cell-invalid"
    RULE_BROKEN = "rule-broken"
    SHEET_INVALID = "sheet-invalid"
    HEARTBEAT_INVALID = "heartbeat-invalid"
    DIGEST_INVALID = "digest-invalid"
    GROUP_TOO_SMALL = "group-too-small"
    REVISION_CONFLICT = "revision-conflict"
    EDIT_ID_REUSED = "edit-id-reused"
    EDIT_TOO_OLD = "edit-too-old"
    ENTRY_CANNOT_TAKE_EDIT = "entry-cannot-take-edit"
    FRAME_INVALID = "frame-invalid"
    VERSION_MISMATCH = "version-mismatch"
    AUTHENTICATION_FAILED = "authentication-failed"
    PEER_UNREACHABLE = "peer-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    NOT_LEADER = "not-leader"
    NO_QUORUM = "no-quorum"
    DATA_DAMAGED = "data-damaged"
    DATA_FOREIGN = "data-foreign"
    MEMBERSHIP_REFUSED = "membership-refused"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_ROUTE = "unknown-route"
    NO_BACKEND_SERVER = "no-backend-server"
    QUEUE_FULL = "queue-full"
    ENTRY_FULL = "entry-full"
    ENTRY_STOPS = "entry-stops"
    CALLER_LIMIT = "caller-limit"
    ACCOUNT_UNKNOWN = "account-unknown"
    ALLOWANCE_SPENT = "allowance-spent"
    ALLOWANCE_UNKNOWN = "allowance-unknown"
    TABLE_UNKNOWN = "table-unknown"
    REQUEST_ENDS_SERVERS = "request-ends-servers"
    REQUEST_TOO_LARGE = "request-too-large"
    BACKEND_FAILED = "backend-failed"
    BACKEND_SHED = "backend-shed"
    BACKEND_RESTS = "backend-rests"
    BACKEND_LIMITED = "backend-limited"
    BACKEND_LEAVES = "backend-leaves"
    BACKEND_MISDIRECTED = "backend-misdirected"
    ANSWER_FOREIGN = "answer-foreign"
    ANSWER_CUT_SHORT = "answer-cut-short"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    CLAIM_IN_DOUBT = "claim-in-doubt"
    CLAIM_RUNNING = "claim-running"
    ANSWER_NOT_KEPT = "answer-not-kept"


class Step(Enum):
    """The operation during which an error occurred."""

    START = "start"
    CONNECT = "connect"
    HELLO = "hello"
    SEND = "send"
    RECEIVE = "receive"
    STORE = "store"
    PROPOSE = "propose"
    CHECK_EDIT = "check-edit"
    READ_CSV = "read-csv"
    ROUTE = "route"
    IDENTIFY = "identify"
    QUEUE = "queue"
    CLAIM = "claim"
    DISPATCH = "dispatch"
    AWAIT_ANSWER = "await-answer"
    RELAY_BODY = "relay-body"


class CinderwayError(Exception):
    """An error with its code, the step where it occurred and the peer, if any."""

    def __init__(self, code: ErrorCode, detail: str, *, step: Step, peer: str = ""):
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        at_peer = f", peer {self.peer}" if self.peer else ""
        return f"[{self.code.value}] {self.detail} (step {self.step.value}{at_peer})"


class RetryLaterError(CinderwayError):
    """A temporary rejection: the request may be retried after `retry_after_ms`."""

    def __init__(
        self,
        code: ErrorCode,
        detail: str,
        retry_after_ms: int,
        *,
        step: Step,
        peer: str = "",
    ):
        super().__init__(code, detail, step=step, peer=peer)
        self.retry_after_ms = retry_after_ms
