"""Requests to backend servers, their responses, and the headers of both."""

import re
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

import httpcore

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, AttemptId
from cinderway.pushback import PushbackHeaders, parse_pushback_headers

# How long a connection may be idle if its server announces no keep-alive timeout.
IDLE_LIMIT_S = 30.0
DEADLINE_HEADER = b"cinderway-deadline-ms"
ATTEMPT_HEADER = b"cinderway-attempt"
OUTCOME_HEADER = b"cinderway-outcome"
LOAD_HEADER = b"cinderway-load"
LEAVING_HEADER = b"cinderway-drain"
LIMIT_HEADER = b"cinderway-rate-limit"
NOT_RUN = b"not_run"
MISDIRECTED = 421
OK = 200
# RFC 9110, section 15: a final status has the class 2, 3, 4 or 5.
LAST_STATUS = 599
MULTIPLE_CHOICES = 300
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
# A connection is no longer used this long before its server may close it.
IDLE_MARGIN_S = 1.0

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True)
class HeaderNames:
    """Names of the headers exchanged with backend servers, in lower case.

    `expected`, `not_run`, `seal` and `account` are empty if servers do not support
    these headers; `account` names the client account that a request belongs to.
    `is_attempt_echoed` means that every response repeats the attempt id, and
    `forwards_own_headers` that headers with our own prefix are forwarded.
    """

    attempt: bytes = ATTEMPT_HEADER
    deadline: bytes = DEADLINE_HEADER
    load: bytes = LOAD_HEADER
    leaving: bytes = LEAVING_HEADER
    limit: bytes = LIMIT_HEADER
    expected: bytes = b""
    not_run: bytes = b""
    seal: bytes = b""
    account: bytes = b""
    is_attempt_echoed: bool = False
    forwards_own_headers: bool = False


DEFAULT_HEADER_NAMES = HeaderNames()


def describe_invalid_status(status: int) -> str:
    """Return why a response with this status cannot be forwarded; "" if it can."""
    if OK <= status <= LAST_STATUS:
        return ""
    return f"the response has status {status}; {OK} to {LAST_STATUS} are allowed"


@dataclass(frozen=True)
class BackendRequest:
    """A request to a backend server, without the headers that differ by attempt."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class ResponseConnection(Protocol):
    """The connection that a response is received on."""

    address: Address
    is_reusable: bool
    idle_limit_ms: int

    async def release(self, response: httpcore.Response | None) -> None:
        """Return it to the pool for reuse, or close it."""


@dataclass
class BackendAnswer:
    """Status and headers of a response whose body has not been read yet."""

    status: int
    headers: Headers
    _response: httpcore.Response
    _connection: ResponseConnection
    names: HeaderNames = DEFAULT_HEADER_NAMES

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value, or None."""
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return None

    def parse_pushback(self, wall_clock_ms: int) -> PushbackHeaders:
        """Parse the pushback in the response."""
        return parse_pushback_headers(
            self.status,
            self.headers,
            is_shed=self.is_shed,
            leaving_header=self.names.leaving,
            limit_header=self.names.limit,
            wall_clock_ms=wall_clock_ms,
        )

    @property
    def is_shed(self) -> bool:
        """Whether the server states that it did not run the request."""
        if self.names.not_run and self.header(self.names.not_run) is not None:
            return True
        return self.header(OUTCOME_HEADER) == NOT_RUN or self.is_misdirected

    @property
    def is_misdirected(self) -> bool:
        """Whether the address now belongs to a server other than the expected one."""
        return bool(self.names.expected) and self.status == MISDIRECTED

    def describe_mismatch(self, attempt_id: AttemptId) -> str:
        """Return why this cannot be the response to the attempt; "" if it can."""
        names = self.names
        if (
            names.is_attempt_echoed
            and self.header(names.attempt) != attempt_id.encode()
        ):
            return "the response belongs to another request"
        if not names.seal or not OK <= self.status < MULTIPLE_CHOICES:
            return ""
        if self.header(names.seal) is None:
            return "a successful response lacks the server's seal header"
        if self.header(b"content-encoding") is not None:
            return "the body has a content encoding that was not requested"
        return ""

    def compute_idle_limit_s(self) -> float:
        """Return how long the connection may be idle until the server may close it."""
        found = KEEP_ALIVE_TIMEOUT.search(self.header(b"keep-alive") or b"")
        if found is None:
            return IDLE_LIMIT_S
        return max(min(int(found[1]) - IDLE_MARGIN_S, IDLE_LIMIT_S), 0.0)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise CinderwayError if it is cut short.

        A response with both a length and chunks is an error unless both agree, and its
        connection is not used again (RFC 9112, section 6.3).
        """
        size_bytes = 0
        try:
            async for chunk in self._response.aiter_stream():
                size_bytes += len(chunk)
                yield chunk
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise self._build_cut_error(f"the body ended early: {error}") from error
        length = self.header(b"content-length")
        if length is not None and self.header(b"transfer-encoding") is not None:
            if length != b"%d" % size_bytes:
                raise self._build_cut_error(
                    f"the body has {size_bytes} bytes in chunks, and a length of "
                    f"{length.decode('latin-1')}"
                )
            return
        self._connection.is_reusable = True
        self._connection.idle_limit_ms = round(self.compute_idle_limit_s() * 1000)

    def _build_cut_error(self, detail: str) -> CinderwayError:
        return CinderwayError(
            ErrorCode.ANSWER_CUT_SHORT,
            detail,
            step=Step.RELAY_BODY,
            peer=self._connection.address,
        )

    async def aclose(self) -> None:
        """Give the connection back if the body was read whole, else close it."""
        await self._connection.release(self._response)
