"""A network link of limited bandwidth in front of one process, on loopback.

All connections through the link share its bandwidth and one queue, first come, first
served, as the packets of one network interface do. Each connection has at most its
receiver's TCP window in the queue, so that a receiver with a small window keeps the
queue short. The window is read from the kernel.
"""

import socket
import struct
from dataclasses import dataclass, field

import anyio
import anyio.abc

SEGMENT_BYTES = 1_460
# Offset of `tcpi_snd_wnd` in Linux's `struct tcp_info`.
SEND_WINDOW_OFFSET = 228
TCP_INFO_BYTES = 232
WINDOW_POLL_S = 0.001


@dataclass
class PacedLane:
    """One direction of the link."""

    rate_bytes_per_s: float
    sent_bytes: int = 0
    _queue: list = field(default_factory=list)
    _has_work: anyio.Event = field(default_factory=anyio.Event)

    async def run(self) -> None:
        """Deliver queued segments at the link's rate, until cancelled."""
        free_at_s = 0.0
        while True:
            await self._has_work.wait()
            queue, self._queue = self._queue, []
            self._has_work = anyio.Event()
            for flow, data in queue:
                start_s = max(free_at_s, anyio.current_time())
                free_at_s = start_s + len(data) / self.rate_bytes_per_s
                await anyio.sleep_until(free_at_s)
                self.sent_bytes += len(data)
                await flow.deliver(data)

    def put(self, flow: "_Flow", data: bytes) -> None:
        """Queue a segment of a connection."""
        self._queue.append((flow, data))
        self._has_work.set()


class _Flow:
    """One connection's bytes in one direction."""

    def __init__(self, lane: PacedLane, source, target):
        self._lane, self._source, self._target = lane, source, target
        self._queued_bytes = 0
        self._raw = target.extra(anyio.abc.SocketAttribute.raw_socket)

    async def run(self) -> None:
        try:
            while True:
                room = await self._wait_for_room()
                data = await self._source.receive(min(room, SEGMENT_BYTES))
                self._queued_bytes += len(data)
                self._lane.put(self, data)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while self._queued_bytes:
                await anyio.sleep(WINDOW_POLL_S)
            await anyio.aclose_forcefully(self._target)

    async def _wait_for_room(self) -> int:
        while True:
            room = _send_window(self._raw) - self._queued_bytes
            if room > 0:
                return room
            await anyio.sleep(WINDOW_POLL_S)

    async def deliver(self, data: bytes) -> None:
        try:
            await self._target.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        self._queued_bytes -= len(data)


class PacedLink:
    """The link of one process: what it receives and what it sends."""

    def __init__(self, rate_bytes_per_s: float):
        self.inbound = PacedLane(rate_bytes_per_s)
        self.outbound = PacedLane(rate_bytes_per_s)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Run both directions, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.inbound.run)
            tasks.start_soon(self.outbound.run)
            task_status.started()

    async def forward(
        self,
        port: int,
        *,
        is_to_process: bool,
        task_status=anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forward connections to a port; `started` receives the link's own port.

        `is_to_process` says whether the process behind the link accepts the connections
        or opens them.
        """
        there = self.inbound if is_to_process else self.outbound
        back = self.outbound if is_to_process else self.inbound

        async def handle(near: anyio.abc.SocketStream) -> None:
            async with near, await anyio.connect_tcp("127.0.0.1", port) as far:
                for stream in (near, far):
                    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_Flow(there, near, far).run)
                    tasks.start_soon(_Flow(back, far, near).run)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
        await listener.serve(handle)


def _send_window(raw: socket.socket) -> int:
    """Return how many bytes the peer's window accepts beyond what it acknowledged."""
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return SEGMENT_BYTES
    return struct.unpack_from("I", info, SEND_WINDOW_OFFSET)[0]
