"""Relay an answer to the caller: read to its end, or streamed and resumable."""

import re
from dataclasses import dataclass

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.entry.callers._holdings import UNLIMITED_HOLDING, Holding
from cinderway.entry.callers._requests import find_header, select_forwarded_headers
from cinderway.entry.servers._dispatch import Dispatcher, Exchange
from cinderway.entry.servers._messages import (
    BackendAnswer,
    BackendRequest,
    Headers,
)
from cinderway.judgement import FailureKind
from cinderway.pushback import RETRY_AFTER, UNAVAILABLE

OK = 200
PARTIAL_CONTENT = 206
CONTENT_RANGE = re.compile(rb"bytes (\d+)-(\d+)/(\d+|\*)")


@dataclass(frozen=True)
class WholeAnswer:
    """An answer that was read to its end.

    `announced_length` is set if the length is that of a body that is not sent (HEAD).
    """

    status: int
    headers: Headers
    body: bytes
    announced_length: bytes | None = None


async def read_whole_answer(
    dispatcher: Dispatcher,
    exchange: Exchange,
    limit_bytes: int,
    deadline_ms: int,
    holding: Holding = UNLIMITED_HOLDING,
) -> WholeAnswer:
    """Read an answer to its end; raises CinderwayError if it breaks or is too large."""
    answer = exchange.answer
    parts: list[bytes] = []
    size_bytes = 0
    is_complete = False
    try:
        with anyio.fail_after(max(deadline_ms - monotonic_ms(), 0) / 1000):
            async for chunk in answer.chunks():
                parts.append(chunk)
                size_bytes += len(chunk)
                holding.add_answer(len(chunk))
                is_too_large = size_bytes > limit_bytes
                if is_too_large or not holding.admits_answer(size_bytes):
                    _record_unbounded_answer(dispatcher, exchange, is_too_large)
                    raise _build_too_large_error(exchange, size_bytes)
                dispatcher.evidence.record_progress(
                    exchange.attempt, len(chunk), monotonic_ms()
                )
        is_complete = True
    except TimeoutError as error:
        dispatcher.evidence.record_failure(exchange.attempt, FailureKind.OVERDUE)
        raise _build_cut_error(
            exchange, "the body did not end before the deadline"
        ) from error
    except CinderwayError as error:
        if error.code is ErrorCode.ANSWER_CUT_SHORT:
            dispatcher.evidence.record_failure(exchange.attempt, FailureKind.CUT)
            exchange.record_broken_connection()
        raise
    finally:
        if not is_complete:
            # An exception keeps this frame, and with it the parts, until it is handled.
            parts.clear()
            holding.remove_answer(size_bytes)
    body = b"".join(parts)
    length = answer.header(b"content-length")
    announced = length if not body and length not in (None, b"0") else None
    headers = headers_for_caller(answer)
    return WholeAnswer(answer.status, headers, body, announced)


def _record_unbounded_answer(
    dispatcher: Dispatcher, exchange: Exchange, is_too_large: bool
) -> None:
    """Record a failure of the server, unless the entry alone lacks room.

    An answer of announced length may only be one of many that are read.
    """
    is_announced = exchange.answer.header(b"content-length") is not None
    if is_too_large or not is_announced:
        dispatcher.evidence.record_failure(exchange.attempt, FailureKind.ERROR)


def headers_for_caller(answer: BackendAnswer) -> Headers:
    """Return the headers of a server's answer that are forwarded to the caller.

    Retry-After in an answer of 503 is addressed to this entry, not to the caller:
    another server may accept the request at once.
    """
    headers = select_forwarded_headers(_lowercase_names(answer.headers), answer.names)
    if answer.status != UNAVAILABLE:
        return headers
    return [(name, value) for name, value in headers if name != RETRY_AFTER]


async def next_chunk(chunks, exchange: Exchange, stall_timeout_ms: int) -> bytes | None:
    """Return the next chunk of a streamed body, or None at its end."""
    try:
        with anyio.fail_after(stall_timeout_ms / 1000):
            return await anext(chunks, None)
    except TimeoutError as error:
        raise _build_cut_error(
            exchange, f"no progress for {stall_timeout_ms} ms"
        ) from error


class Download:
    """The progress of a streamed answer, and how to resume it at another server.

    Resuming requires a strong ETag, since only that guarantees the same bytes on every
    server (RFC 9110, section 13.1.5), and an answer of known length.
    """

    def __init__(self, answer: BackendAnswer):
        self.etag = find_header(_lowercase_names(answer.headers), b"etag")
        self.status = answer.status
        self.sent_bytes = 0
        self._first_byte, self._last_byte = _byte_range(answer)

    @property
    def is_resumable(self) -> bool:
        """Whether another server can resume the answer."""
        return (
            self.status in (OK, PARTIAL_CONTENT)
            and self.etag is not None
            and not self.etag.startswith(b"W/")
            and self._last_byte is not None
        )

    def build_resume_request(self, request: BackendRequest) -> BackendRequest:
        """Build the request for the rest of the body."""
        kept = [
            (name, value)
            for name, value in request.headers
            if name not in (b"range", b"if-range")
        ]
        wanted = b"bytes=%d-%d" % (self._next_byte, self._last_byte)
        headers = [*kept, (b"range", wanted), (b"if-range", self.etag)]
        return BackendRequest(request.method, request.target, headers, request.body)

    def can_continue_with(self, answer: BackendAnswer) -> bool:
        """Whether an answer holds exactly the rest of the same body."""
        etag = find_header(_lowercase_names(answer.headers), b"etag")
        first_byte, last_byte = _byte_range(answer)
        return (
            answer.status == PARTIAL_CONTENT
            and etag == self.etag
            and (first_byte, last_byte) == (self._next_byte, self._last_byte)
        )

    @property
    def _next_byte(self) -> int:
        return self._first_byte + self.sent_bytes


def _byte_range(answer: BackendAnswer) -> tuple[int, int | None]:
    content_range = answer.header(b"content-range")
    if answer.status == PARTIAL_CONTENT and content_range is not None:
        found = CONTENT_RANGE.fullmatch(content_range)
        if found:
            return int(found[1]), int(found[2])
    length = answer.header(b"content-length")
    if length is not None and length.isdigit():
        return 0, int(length) - 1
    return 0, None


def _lowercase_names(headers: Headers) -> Headers:
    return [(name.lower(), value) for name, value in headers]


def _build_cut_error(exchange: Exchange, detail: str) -> CinderwayError:
    return CinderwayError(
        ErrorCode.ANSWER_CUT_SHORT,
        detail,
        step=Step.RELAY_BODY,
        peer=exchange.server.row.address,
    )


def _build_too_large_error(exchange: Exchange, size_bytes: int) -> CinderwayError:
    return CinderwayError(
        ErrorCode.BACKEND_FAILED,
        f"the answer is too large after {size_bytes} bytes, or has no end",
        step=Step.RELAY_BODY,
        peer=exchange.server.row.address,
    )
