"""Send an answer to one caller as ASGI messages."""

from collections.abc import Awaitable, Callable

from cinderway._clock import monotonic_ms
from cinderway.entry._blackboard import Blackboard
from cinderway.entry.callers._answers import OUTCOME_HEADER, ProblemAnswer
from cinderway.entry.callers._relay import WholeAnswer, headers_for_caller
from cinderway.entry.servers._messages import (
    BackendAnswer,
    Headers,
)
from cinderway.ledger import Resolution

Send = Callable[[dict], Awaitable[None]]

SERVER_ERROR = 500
STATUSES_WITHOUT_BODY = (204, 304)


class Reply:
    """Sends the answer to one caller; `outcome` is the label for the counters."""

    def __init__(self, send: Send, board: Blackboard):
        self._send = send
        self._board = board
        self._started_at_ms = monotonic_ms()
        self.first_byte_ms: int | None = None
        self.outcome = "broken"

    async def send_problem(self, answer: ProblemAnswer) -> None:
        """Send an answer that the entry itself generated."""
        length = (b"content-length", b"%d" % len(answer.body))
        await self._start(answer.status, [*answer.headers, length])
        await self._send({"type": "http.response.body", "body": answer.body})
        self.outcome = "failed" if answer.status >= SERVER_ERROR else "refused"

    async def send_answer(
        self, answer: WholeAnswer, outcome: Resolution | None = None
    ) -> None:
        """Send an answer that was read to its end."""
        headers = list(answer.headers)
        if answer.announced_length is not None:
            headers.append((b"content-length", answer.announced_length))
        elif answer.status not in STATUSES_WITHOUT_BODY:
            headers.append((b"content-length", b"%d" % len(answer.body)))
        if outcome is not None:
            headers.append((OUTCOME_HEADER, outcome.value.encode()))
        await self._start(answer.status, headers)
        await self._send({"type": "http.response.body", "body": answer.body})
        self.outcome = "failed" if answer.status >= SERVER_ERROR else "answered"

    async def send_head(self, answer: BackendAnswer) -> None:
        """Send the head of a streamed answer."""
        headers = headers_for_caller(answer)
        length = answer.header(b"content-length")
        if length is not None:
            headers.append((b"content-length", length))
        await self._start(answer.status, headers)

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a chunk of a streamed answer."""
        message = {"type": "http.response.body", "body": chunk, "more_body": True}
        await self._send(message)

    async def send_end(self) -> None:
        """End a streamed answer."""
        await self._send({"type": "http.response.body", "body": b""})
        self.outcome = "answered"

    async def _start(self, status: int, headers: Headers) -> None:
        self.first_byte_ms = monotonic_ms() - self._started_at_ms
        headers = [(name.lower(), value) for name, value in headers]
        if self._board.is_leaving:
            headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
