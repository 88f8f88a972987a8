"""A caller's request as read from ASGI, and what is derived from it."""

from dataclasses import dataclass, field
from enum import Enum

import anyio
import anyio.to_thread
import xxhash

from cinderway._http_body import read_full_body
from cinderway._ids import (
    AccountName,
    AttemptId,
    CallerName,
    RequestDigest,
    ServerName,
)
from cinderway.entry.callers._holdings import UNLIMITED_HOLDING, Holding
from cinderway.entry.servers._idle_connections import ConnectionUse
from cinderway.entry.servers._messages import (
    DEADLINE_HEADER,
    DEFAULT_HEADER_NAMES,
    BackendRequest,
    HeaderNames,
    Headers,
)
from cinderway.entry.servers._permit import UNLIMITED, Permit
from cinderway.poison import RequestDigests
from cinderway.routing import DEFAULT_PENALTIES, Penalties, RouteMatch
from cinderway.scheduling import WorkClass

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
KEY_HEADER = b"idempotency-key"
AUTHORIZATION = b"authorization"
# Digests of bodies from this size on are computed in a worker thread, since they would
# block the event loop.
DIGEST_IN_THREAD_BYTES = 256 * 1024
KEY_LIMIT_BYTES = 255
# Default for the number of servers that one request may reach.
ATTEMPT_LIMIT = 4
# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
OWN_HEADER_PREFIX = b"cinderway-"


class Repeatability(Enum):
    """How often a request may be sent to backend servers."""

    REPEATABLE = "repeatable"
    SINGLE = "single"
    RUN_ONCE = "run-once"


@dataclass(frozen=True)
class CallerRequest:
    """A complete request; its deadline is on this entry's monotonic clock."""

    method: str
    path: str
    headers: Headers
    caller: CallerName
    deadline_ms: int
    body: bytes
    backend_request: BackendRequest
    # The id that the caller gave this attempt, if any.
    attempt_id: AttemptId | None = None
    # How many servers it may be sent to; those that got it are in `tried_servers`.
    server_limit: int = ATTEMPT_LIMIT
    # The latency objective, counted from the request's arrival; 0 if unknown.
    objective_ms: int = 0
    # When the latency objective is missed; None if the request is not judged by it.
    objective_at_ms: int | None = None
    tried_servers: set[ServerName] = field(default_factory=set)
    # The kinds of connection that it was sent on, in order.
    connection_uses: list[ConnectionUse] = field(default_factory=list)
    # Set when the caller has disconnected although an attempt still runs to its end.
    caller_disconnected: anyio.Event = field(default_factory=anyio.Event)
    # Decides whether the request may be sent, and sent again.
    permit: Permit = UNLIMITED
    # Penalties by which servers are compared when one is chosen for the request.
    penalties: Penalties = DEFAULT_PENALTIES
    # Counts the bytes that are held for the request.
    holding: Holding = UNLIMITED_HOLDING
    # The class of work, if other classes share the request's service.
    work: WorkClass | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value, or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; names are lower-case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def get_repeatability(request: CallerRequest, match: RouteMatch) -> Repeatability:
    """Return how often a request may be sent to backend servers."""
    if match.is_run_once:
        if request.header(KEY_HEADER) is not None:
            return Repeatability.RUN_ONCE
        return Repeatability.SINGLE
    if request.method in IDEMPOTENT_METHODS:
        return Repeatability.REPEATABLE
    return Repeatability.SINGLE


def get_caller_name(scope: dict, caller_header: bytes) -> CallerName:
    """Return the caller's name: the caller header, or else its IP address."""
    named = find_header(scope["headers"], caller_header)
    if named is not None:
        return CallerName(named.decode("latin-1")[:KEY_LIMIT_BYTES])
    client = scope.get("client") or ("unknown", 0)
    return CallerName(client[0])


def compute_deadline(scope: dict, timeout_ms: int, now_ms: int) -> int:
    """Return the deadline: the earlier one of the caller's and the service's."""
    text = find_header(scope["headers"], DEADLINE_HEADER)
    if text is not None and text.isdigit():
        timeout_ms = min(timeout_ms, int(text))
    return now_ms + timeout_ms


def compute_fingerprint(request: CallerRequest) -> bytes:
    """Return a digest that differs between different requests with the same key."""
    target = request.backend_request.target
    parts = (request.method.encode(), target, request.body)
    return xxhash.xxh3_128_digest(b"\0".join(parts))


async def compute_digest(
    request: CallerRequest, digests: RequestDigests
) -> RequestDigest:
    """Return a digest that all repeats of a request share, at every entry."""
    sent = request.backend_request
    # Callers without a name are told apart by the credentials of their requests.
    caller = request.caller.encode() or request.header(AUTHORIZATION) or b""
    host = request.header(b"host") or b""
    parts = (sent.method, host, sent.target, caller, sent.body)
    if len(sent.body) < DIGEST_IN_THREAD_BYTES:
        return digests.of(*parts)
    return await anyio.to_thread.run_sync(digests.of, *parts)


def build_backend_request(
    scope: dict,
    body: bytes,
    names: HeaderNames = DEFAULT_HEADER_NAMES,
    caller_headers: Headers | None = None,
    account: AccountName | None = None,
) -> BackendRequest:
    """Build the request that is sent to the backend server.

    `caller_headers` replaces the request's own headers if some must not be forwarded;
    `account` is the client account that is named to servers.
    """
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    # The attempt id is added separately for each attempt.
    headers = [
        (name, value)
        for name, value in select_forwarded_headers(
            scope["headers"] if caller_headers is None else caller_headers, names
        )
        if name != names.attempt
    ]
    if account is not None and names.account:
        headers.append((names.account, account.encode()))
    if body or scope["method"] not in ("GET", "HEAD", "OPTIONS"):
        headers.append((b"content-length", str(len(body)).encode()))
    if find_header(headers, b"host") is None:
        headers.append((b"host", b"backend"))
    return BackendRequest(scope["method"].encode(), target, headers, body)


def select_forwarded_headers(
    headers: Headers, names: HeaderNames = DEFAULT_HEADER_NAMES
) -> Headers:
    """Return the headers that are forwarded to the other side."""
    own = {names.deadline, names.expected, names.not_run, names.load, names.leaving}
    named = find_header(headers, b"connection") or b""
    also_dropped = {name.strip().lower() for name in named.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name not in also_dropped
        and name not in own
        and (names.forwards_own_headers or not name.startswith(OWN_HEADER_PREFIX))
    ]


async def read_body(
    receive, limit_bytes: int, holding: Holding = UNLIMITED_HOLDING
) -> bytes:
    """Read a request's whole body.

    Raises CinderwayError with REQUEST_TOO_LARGE if it exceeds the limit, and
    CallerDisconnectedError if the caller disconnects before its end.
    """
    body = await read_full_body(receive, limit_bytes, holding.add_body)
    if body is None:
        raise CallerDisconnectedError
    return body


class CallerDisconnectedError(Exception):
    """The caller closed its connection before it received an answer."""
