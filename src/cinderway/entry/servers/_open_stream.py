"""Open a connection whose TCP window is bounded from its first packet on."""

import os
import socket

import anyio
from anyio.abc import SocketStream


async def open_stream(host: str, port: int, window_bytes: int = 0) -> SocketStream:
    """Connect to an IP number; 0 leaves the window to the operating system.

    The bound is set before the connection is opened, because the first window is
    announced with it. Raises OSError.
    """
    if not window_bytes:
        return await anyio.connect_tcp(host, port)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        try:
            raw.connect((host, port))
        except BlockingIOError:
            await anyio.wait_writable(raw)
            error = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                raise OSError(error, os.strerror(error)) from None
        return await SocketStream.from_socket(raw)
    except BaseException:
        raw.close()
        raise
