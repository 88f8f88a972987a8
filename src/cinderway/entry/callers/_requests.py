"""A caller's request, read from ASGI."""

from dataclasses import dataclass, field
from enum import Enum

import anyio
import anyio.to_thread
import xxhash

from cinderway._http_body import whole_body
from cinderway._ids import (
    AccountName,
    AttemptId,
    CallerName,
    RequestDigest,
    ServerName,
)
from cinderway.entry.servers._messages import (
    DEADLINE_HEADER,
    OWN_NAMES,
    BackendRequest,
    HeaderNames,
    Headers,
)
from cinderway.entry.servers._permit import UNLIMITED, Permit
from cinderway.poison import RequestDigests
from cinderway.routing import USUAL_PENALTIES, Penalties, RouteMatch

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
KEY_HEADER = b"idempotency-key"
AUTHORIZATION = b"authorization"
# From here on a digest is made in another thread: nothing else would run meanwhile.
LARGE_BODY_BYTES = 256 * 1024
KEY_LIMIT_BYTES = 255
# Servers that one request may reach where nothing else is said.
ATTEMPT_LIMIT = 4
# Source: RFC 9110, section 7.6.1. These concern one connection only.
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
    """How often a request may reach backend servers."""

    REPEATABLE = "repeatable"
    SINGLE = "single"
    RUN_ONCE = "run-once"


@dataclass(frozen=True)
class CallerRequest:
    """A whole request with its deadline on this entry's monotonic clock."""

    method: str
    path: str
    headers: Headers
    caller: CallerName
    deadline_ms: int
    body: bytes
    backend_request: BackendRequest
    # The caller's own name of this try, where callers give one.
    attempt_id: AttemptId | None = None
    # How many servers may get it, and those that did.
    server_limit: int = ATTEMPT_LIMIT
    # The time from its arrival within which an answer is worth most; 0 if unknown.
    objective_ms: int = 0
    # When that time is over; None where nothing goes by it.
    objective_at_ms: int | None = None
    tried: set[ServerName] = field(default_factory=set)
    # Set when the caller is gone while an attempt is seen to its end all the same.
    caller_left: anyio.Event = field(default_factory=anyio.Event)
    # Leave to send it, and to send it again.
    permit: Permit = UNLIMITED
    # What counts against a server when one is chosen for it.
    penalties: Penalties = USUAL_PENALTIES

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value, or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; names are lower-case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def repeatability_of(request: CallerRequest, match: RouteMatch) -> Repeatability:
    """Say how often a request may reach backend servers."""
    if match.is_run_once:
        if request.header(KEY_HEADER) is not None:
            return Repeatability.RUN_ONCE
        return Repeatability.SINGLE
    if request.method in IDEMPOTENT_METHODS:
        return Repeatability.REPEATABLE
    return Repeatability.SINGLE


def caller_of(scope: dict, caller_header: bytes) -> CallerName:
    """Return the caller's name: its header, or else its IP number."""
    named = find_header(scope["headers"], caller_header)
    if named is not None:
        return CallerName(named.decode("latin-1")[:KEY_LIMIT_BYTES])
    client = scope.get("client") or ("unknown", 0)
    return CallerName(client[0])


def deadline_of(scope: dict, timeout_ms: int, now_ms: int) -> int:
    """Return the request's deadline: the caller's if sooner than the service's."""
    text = find_header(scope["headers"], DEADLINE_HEADER)
    if text is not None and text.isdigit():
        timeout_ms = min(timeout_ms, int(text))
    return now_ms + timeout_ms


def fingerprint_of(request: CallerRequest) -> bytes:
    """Return a digest that tells whether two requests with one key are the same."""
    target = request.backend_request.target
    parts = (request.method.encode(), target, request.body)
    return xxhash.xxh3_128_digest(b"\0".join(parts))


async def digest_of(request: CallerRequest, digests: RequestDigests) -> RequestDigest:
    """Return what all repeats of a request share, at whichever entry they come."""
    sent = request.backend_request
    # Where callers have no names only what a request carries tells them apart.
    caller = request.caller.encode() or request.header(AUTHORIZATION) or b""
    host = request.header(b"host") or b""
    parts = (sent.method, host, sent.target, caller, sent.body)
    if len(sent.body) < LARGE_BODY_BYTES:
        return digests.of(*parts)
    return await anyio.to_thread.run_sync(digests.of, *parts)


def backend_request_of(
    scope: dict,
    body: bytes,
    names: HeaderNames = OWN_NAMES,
    caller_headers: Headers | None = None,
    account: AccountName | None = None,
) -> BackendRequest:
    """Return what goes to the backend server.

    `caller_headers` stand in place of the request's own where some may not go on;
    `account` is the client account that servers are told.
    """
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    # The attempt's name is set anew for each send.
    headers = [
        (name, value)
        for name, value in forwarded(
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


def forwarded(headers: Headers, names: HeaderNames = OWN_NAMES) -> Headers:
    """Return the headers that go on to the other side."""
    own = {names.deadline, names.expected, names.not_run, names.load, names.leaving}
    named = find_header(headers, b"connection") or b""
    also_dropped = {name.strip().lower() for name in named.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name not in also_dropped
        and name not in own
        and (names.passes_own or not name.startswith(OWN_HEADER_PREFIX))
    ]


async def read_body(receive, limit_bytes: int) -> bytes:
    """Read a request's whole body.

    Raises CinderwayError with REQUEST_TOO_LARGE over the limit, and CallerLeftError.
    """
    body = await whole_body(receive, limit_bytes)
    if body is None:
        raise CallerLeftError
    return body


class CallerLeftError(Exception):
    """The caller closed its connection before it got an answer."""
