"""The bytes of answers that callers have not read yet, over all connections."""

import asyncio

# A buffer below this size is not counted; many callers' connections have one.
COUNTED_FROM_BYTES = 16 * 1024


class UnreadAnswers:
    """Transports whose write buffers are full."""

    def __init__(self):
        self._transports: set[asyncio.Transport] = set()

    def add(self, transport: asyncio.Transport) -> None:
        """Count a connection whose caller reads more slowly than it is written to."""
        self._transports.add(transport)

    def discard(self, transport: asyncio.Transport) -> None:
        """Stop counting a connection."""
        self._transports.discard(transport)

    def count_bytes(self) -> int:
        """Return the bytes of all these connections."""
        return sum(t.get_write_buffer_size() for t in self._transports)
