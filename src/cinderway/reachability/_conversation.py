"""Messages by which one entry asks another one to relay a request to a server.

Each connection carries one request. A RelayRefused promises that the request was not
sent to the server and will not be.
"""

from cinderway._errors import ErrorCode, Step
from cinderway._ids import AttemptId, RequestDigest, ServerName, ServiceName
from cinderway.reachability._relay_peers import PeerFailure
from cinderway.wire import Conversation, Message, PackedMessage


class RelayRequest(PackedMessage, frozen=True):
    """Request to send a caller's request to one server.

    `body` holds the whole body, or nothing if `body_bytes` of it follow in RelayBody
    messages once the request is accepted. `remaining_ms` is the time until the
    request's deadline. A request that is not `is_repeatable` runs to its end even if
    the connection closes.
    """

    service: ServiceName
    server: ServerName
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    body_bytes: int
    attempt_id: AttemptId
    remaining_ms: int
    is_repeatable: bool
    digest: RequestDigest


class RelayAccepted(Message, frozen=True):
    """The body of a RelayRequest may follow."""


class RelayBody(PackedMessage, frozen=True):
    """A part of the body, of the request or of the answer."""

    data: bytes


class RelayRefused(PackedMessage, frozen=True):
    """The request is not relayed; nothing was sent to the server."""

    reason: PeerFailure
    detail: str


class RelayedHead(PackedMessage, frozen=True):
    """The status and the headers of the server's answer."""

    status: int
    headers: list[tuple[bytes, bytes]]


class RelayedEnd(Message, frozen=True):
    """The server's answer is complete."""


class RelayedFailure(PackedMessage, frozen=True):
    """The relaying entry got no answer, or only a part of one.

    `is_connection_lost` means that the server closed the connection while it had the
    request.
    """

    code: ErrorCode
    step: Step
    detail: str
    is_connection_lost: bool


RELAY = Conversation(
    "relay",
    1,
    (
        RelayRequest,
        RelayAccepted,
        RelayBody,
        RelayRefused,
        RelayedHead,
        RelayedEnd,
        RelayedFailure,
    ),
)
