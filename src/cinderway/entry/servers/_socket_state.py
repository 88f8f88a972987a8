"""What the kernel tells about a connection to a backend server.

Source: Linux, tcp(7) and `struct tcp_info` in linux/tcp.h.
"""

import select
import socket
import struct

import anyio

from cinderway._clock import monotonic_ms
from cinderway._raw_socket import CONNECTION_GONE

# `tcpi_state` is the first byte of the structure. A socket that was reset is in the
# state TCP_CLOSE.
TCP_CLOSE = 7
# `tcpi_bytes_acked`, a number of 64 bits.
BYTES_ACKED_OFFSET = 120
INFO_BYTES = BYTES_ACKED_OFFSET + 8
# How long to wait for the reset with which a closed socket answers a request. It comes
# a round trip after the request was written.
RESET_WAIT_MS = 50
RESET_POLL_S = 0.002


def is_readable(raw: socket.socket) -> bool:
    """Whether data or an end of the stream is waiting.

    Uses poll, since select takes no descriptors above 1,023.
    """
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def read_acked_bytes(raw: socket.socket | None) -> int | None:
    """Return how many of the bytes that were sent the peer's kernel acknowledged.

    None if the kernel does not say.
    """
    info = _read_info(raw)
    return info[1] if info is not None and info[1] else None


async def was_closed_unread(
    raw: socket.socket | None, acked_before: int | None
) -> bool:
    """Whether the peer closed a connection before it received any of a request.

    To be called after the end of the stream was read. `acked_before` was read before
    the request was written. The peer's end of the stream carries an acknowledgement of
    all that it had received: if that covers nothing of the request, the close came
    first. A peer that closed only its sending direction may still read, so that this
    waits for the reset that says that nothing was delivered. A reset without a
    preceding end of the stream proves nothing, since its acknowledgement is ignored.
    """
    if acked_before is None:
        return False
    give_up_at_ms = monotonic_ms() + RESET_WAIT_MS
    while True:
        info = _read_info(raw)
        if info is None or info[1] != acked_before:
            return False
        if info[0] == TCP_CLOSE:
            return True
        if monotonic_ms() >= give_up_at_ms:
            return False
        await anyio.sleep(RESET_POLL_S)


def _read_info(raw: socket.socket | None) -> tuple[int, int] | None:
    """Return the connection's state and the acknowledged bytes; None if unknown."""
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    except CONNECTION_GONE:
        return None
    if len(info) < INFO_BYTES:
        return None
    return info[0], struct.unpack_from("=Q", info, BYTES_ACKED_OFFSET)[0]
