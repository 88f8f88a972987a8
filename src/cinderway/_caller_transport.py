"""Transports and flow control of callers' connections."""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from uvicorn.protocols.http.flow_control import FlowControl

# Smaller bodies arrive in less time than one message needs on a link of a few megabits
# a second.
LARGE_BODY_BYTES = 16 * 1024
# Send buffer for large answers; the rest stays in this process.
SEND_BUFFER_BYTES = 8 * 1024


class ConnectionState(Protocol):
    """What the protocol knows of its connection."""

    is_closing: bool
    has_unread_data: bool
    may_read: bool

    def linger(self, transport: asyncio.Transport) -> None:
        """Close after what was written, but read on meanwhile."""

    def release_body(self) -> None:
        """Let a large body be read, if its request is the one being served."""


class ReadAheadFlow(FlowControl):
    """Flow control that does not resume reading beyond the protocol's bounds."""

    def __init__(
        self,
        transport: asyncio.Transport,
        state: ConnectionState,
        on_pause: Callable[[], None],
    ):
        super().__init__(transport)
        self._state = state
        self._on_pause = on_pause

    def pause_reading(self) -> None:
        """Stop reading."""
        super().pause_reading()
        self._on_pause()

    def resume_reading(self) -> None:
        """Read on, if the bounds allow it."""
        self._state.release_body()
        if self._state.may_read:
            super().resume_reading()

    def read_to_end(self) -> None:
        """Read on whatever the bounds are."""
        super().resume_reading()


class LingeringTransport:
    """A transport that reads on while it closes if there is unread data."""

    def __init__(self, transport: asyncio.Transport, state: ConnectionState):
        self._transport = transport
        self._state = state
        self._has_small_buffer = False
        self._written_bytes = 0

    @property
    def taken_bytes(self) -> int:
        """The bytes that the kernel has taken to send to the caller."""
        return self._written_bytes - self._transport.get_write_buffer_size()

    def __getattr__(self, name: str):
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Whether nothing more may be written."""
        return self._state.is_closing or self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write a part of an answer."""
        if len(data) >= LARGE_BODY_BYTES and not self._has_small_buffer:
            # What the kernel has accepted is sent in front of the entry's own messages.
            self._has_small_buffer = True
            raw = self._transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._written_bytes += len(data)
        self._transport.write(data)

    def close(self) -> None:
        """Close after what was written."""
        if self.is_closing():
            return
        if self._state.has_unread_data:
            self._state.linger(self._transport)
        else:
            self._transport.close()


class HeldOutput:
    """Keeps the answer to a request that runs ahead until it is the answer's turn."""

    def __init__(self, transport: LingeringTransport):
        self._transport = transport
        self._parts: list[bytes] = []
        self._closes = False

    def __getattr__(self, name: str):
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Keep a part of the answer."""
        self._parts.append(data)

    def close(self) -> None:
        """Close the connection once the answer is written."""
        self._closes = True

    def get_write_buffer_size(self) -> int:
        """Return the bytes that are kept."""
        return sum(map(len, self._parts))

    def release(self) -> None:
        """Write what was kept."""
        for part in self._parts:
            self._transport.write(part)
        self._parts.clear()
        if self._closes:
            self._transport.close()
