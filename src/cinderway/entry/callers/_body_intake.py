"""Receive a request's body, and ask whether it may be sent while a large one arrives.

The answer of a control replica waits on the entry's link behind the request bodies that
arrive. A request with a large body therefore asks before it reads the body and needs
the answer only when the body is whole. A refusal that arrives sooner still ends the
request at once.
"""

from collections.abc import Awaitable, Callable

import anyio

from cinderway._caller_transport import LARGE_BODY_BYTES
from cinderway._errors import CinderwayError, ErrorCode
from cinderway.catalog import RouteRow
from cinderway.entry.callers._permits import RequestPermit
from cinderway.entry.callers._requests import CallerDisconnectedError, find_header
from cinderway.entry.servers._messages import Headers

# Pause before an unanswered question is asked again while the body still arrives.
ASK_AGAIN_S = 0.05

ReadBody = Callable[[], Awaitable[bytes]]


def parse_body_length(headers: Headers) -> int | None:
    """Return the announced length of a request's body; None if it is unknown."""
    text = find_header(headers, b"content-length")
    return int(text) if text is not None and text.isdigit() else None


def is_large(headers: Headers) -> bool:
    """Whether a request announces a large body."""
    return (parse_body_length(headers) or 0) >= LARGE_BODY_BYTES


async def receive_permitted(
    permit: RequestPermit, route: RouteRow, headers: Headers, read: ReadBody
) -> bytes:
    """Return a request's body after its permit was acquired.

    Raises what the permit or `read` raises; an unknown key before any of the body is
    read.
    """
    if not is_large(headers):
        await permit.acquire(route)
        return await read()
    return await _Intake(permit, route, read).run()


class _Intake:
    """Reads one large body while its permit is acquired."""

    def __init__(self, permit: RequestPermit, route: RouteRow, read: ReadBody):
        self._permit = permit
        self._route = route
        self._read = read
        self._is_read = anyio.Event()
        self._body = b""
        self._failure: Exception | None = None

    async def run(self) -> bytes:
        refusal: CinderwayError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_body)
            try:
                await self._acquire()
            except CinderwayError as error:
                refusal = error
                tasks.cancel_scope.cancel()
        failure = self._failure or refusal
        if failure is not None:
            raise failure
        return self._body

    async def _read_body(self) -> None:
        try:
            self._body = await self._read()
        except (CinderwayError, CallerDisconnectedError) as error:
            # The question is left to end: tokens in a discarded answer would be lost.
            self._failure = error
        self._is_read.set()

    async def _acquire(self) -> None:
        """Acquire the permit; without an answer, ask again until the body is whole."""
        while True:
            was_read = self._is_read.is_set()
            try:
                return await self._permit.acquire(self._route)
            except CinderwayError as error:
                if error.code is not ErrorCode.ALLOWANCE_UNKNOWN or was_read:
                    raise
            with anyio.move_on_after(ASK_AGAIN_S):
                await self._is_read.wait()
