"""Watch for a refusal that a server sends before it has read a large body."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketStream

# The start of a status line up to the first digit of the status.
STATUS_AT = len(b"HTTP/1.1 ")
# First digits of the statuses after which a client stops sending a body (RFC 9112,
# section 9.5). After others the server still reads it.
REFUSAL_DIGITS = b"45"
RECEIVE_BYTES = 64 * 1024


class BodySender:
    """Sends a body over a stream, and reads an answer that comes meanwhile.

    A server may refuse a request by its head and close. If the answer was read only
    after the body, the reset that answers the body would discard it.
    """

    def __init__(self, stream: SocketStream):
        self._stream = stream
        # What was received while the body was sent.
        self.received = b""
        # Whether the body was not sent to its end because the server refused it.
        self.is_cut_short = False

    async def run(self, send: Callable[[], Awaitable[None]]) -> None:
        """Call `send`, which raises nothing, and cancel it at a refusal."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive_refusal, tasks.cancel_scope)
            await send()
            tasks.cancel_scope.cancel()

    async def _receive_refusal(self, sending: anyio.CancelScope) -> None:
        try:
            while len(self.received) <= STATUS_AT:
                self.received += await self._stream.receive(RECEIVE_BYTES)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            # Raised again when the answer is read.
            return
        if self.received[STATUS_AT] in REFUSAL_DIGITS:
            self.is_cut_short = True
            sending.cancel()
