"""The socket below a stream.

The event loop closes a connection as soon as it notices a reset, also between two
requests. Its socket is gone then: asking for it, or for an option of it, raises
AttributeError, OSError or ValueError, depending on the loop and on the moment.
"""

import socket

import anyio
from anyio.abc import SocketStream

CONNECTION_GONE = (AttributeError, OSError, ValueError)


def find_raw_socket(stream: SocketStream) -> socket.socket | None:
    """Return a stream's socket; None if its connection is gone."""
    try:
        return stream.extra(anyio.abc.SocketAttribute.raw_socket)
    except CONNECTION_GONE:
        return None


def is_open(raw: socket.socket | None) -> bool:
    """Whether the event loop has not closed a connection."""
    return raw is not None and raw.fileno() >= 0


def set_option(raw: socket.socket | None, level: int, option: int, value: int) -> None:
    """Set an option; if the connection is gone, its next use reports that."""
    try:
        if raw is not None:
            raw.setsockopt(level, option, value)
    except CONNECTION_GONE:
        return
