"""The HTTP/1.1 protocol of callers' connections, on top of uvicorn's.

Answers are sent in the order of the requests. Repeatable requests of one connection may
run at the same time; all others are served one after another. What is read ahead is
bounded.
"""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from cinderway._caller_transport import (
    LARGE_BODY_BYTES,
    HeldOutput,
    LingeringTransport,
    ReadAheadFlow,
)
from cinderway._clock import monotonic_ms
from cinderway._http_timeouts import TimedHttpProtocol
from cinderway._peer_close import is_closed_by_peer
from cinderway._unread_answers import COUNTED_FROM_BYTES, UnreadAnswers

# Bounds on what one connection reads ahead of the request that is being served.
REQUESTS_AHEAD_LIMIT = 16
BYTES_AHEAD_LIMIT = 64 * 1024
# Outside of bodies the parser gets pieces of this size: it cannot stop within a piece,
# and few requests fit in one.
PIECE_BYTES = 512
# Interval of looking whether a caller has closed a connection that is not being read.
# A request must be cancelled within half a second of that.
CLOSE_CHECK_S = 0.2
# How long a closing connection still reads. Closing with unread data resets the
# connection, by which the caller can lose an answer that is under way.
LINGER_S = 2.0
# A caller that reads nothing of its answers for this long, which is longer than any
# request takes, is disconnected: its answers would be held for ever.
STALLED_READER_S = 60.0
# Key in the scope's `state` of the time at which a request's head was read.
RECEIVED_AT = "received_at_ms"


# Whether a request, given its scope, may run while those in front of it still do.
MayRunAhead = Callable[[dict], bool]


class CallerProtocol(TimedHttpProtocol):
    """Bounds what is read ahead, and tells every request of its caller's end.

    A large body is read only once the application asks for it: uvicorn reads 64 KiB of
    it ahead, which takes a slow link for longer than the entry's own messages may wait.
    """

    def __init__(
        self,
        *args,
        unread: UnreadAnswers | None = None,
        run_ahead_limit: int = 0,
        may_run_ahead: MayRunAhead = lambda scope: False,
        **kwargs,
    ):
        super().__init__(*args, **kwargs)
        self._unread = unread or UnreadAnswers()
        self._run_ahead_limit = run_ahead_limit
        self._may_run_ahead = may_run_ahead
        # Requests that run although others in front of them are still served.
        self._ahead: dict[RequestResponseCycle, HeldOutput] = {}
        self._closes_when_idle = False
        self._stall_check: asyncio.TimerHandle | None = None
        # Received bytes that the parser has not got yet.
        self._unparsed = bytearray()
        self._body_left_bytes = 0
        self._served_cycle: RequestResponseCycle | None = None
        # Whether a large body waits until the application asks for it.
        self._holds_body = False
        self._bad_request: str | None = None
        self._is_closing = False
        self._close_check: asyncio.TimerHandle | None = None

    # Interface of asyncio.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start a connection."""
        super().connection_made(LingeringTransport(transport, self))
        self.flow = ReadAheadFlow(self.transport, self, self._watch_for_close)
        transport.set_write_buffer_limits(high=COUNTED_FROM_BYTES)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived, as far as the bounds allow."""
        if self._is_closing or self._bad_request is not None:
            return
        if not self._unparsed and len(data) <= max(PIECE_BYTES, self._body_left_bytes):
            super().data_received(data)
        else:
            self._unparsed += data
            self._parse()
        self._apply_bounds()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell all requests on the connection that the caller is gone."""
        super().connection_lost(exc)
        self._end_requests()
        self._unread.discard(self.transport)
        for check in (self._close_check, self._stall_check):
            if check is not None:
                check.cancel()

    def pause_writing(self) -> None:
        """Count the answers of a caller that reads slowly."""
        super().pause_writing()
        self._unread.add(self.transport)
        self._watch_for_stall(self.transport.taken_bytes)

    def resume_writing(self) -> None:
        """Count the caller's answers no more."""
        super().resume_writing()
        self._unread.discard(self.transport)
        if self._stall_check is not None:
            self._stall_check.cancel()

    # Callbacks of uvicorn and of its parser.

    def on_headers_complete(self) -> None:
        """Start the request or queue it behind others."""
        self.scope["state"][RECEIVED_AT] = monotonic_ms()
        super().on_headers_complete()
        self._body_left_bytes = self._announced_body_bytes()
        if self._body_left_bytes >= LARGE_BODY_BYTES:
            self._holds_body = True
            self.flow.pause_reading()
        elif self.pipeline and self._can_run_ahead():
            self._start_ahead(*self.pipeline[0])

    def on_body(self, body: bytes) -> None:
        """Add to the body of the last request."""
        self._body_left_bytes = max(self._body_left_bytes - len(body), 0)
        super().on_body(body)

    def _start_asgi_task(self, cycle, app) -> None:
        """Serve the request whose turn it is; it may have run ahead.

        uvicorn also starts a request that arrives behind one whose answer is complete.
        If that one ran ahead, others in front of it are still served.
        """
        if self._is_serving:
            self.flow.pause_reading()
            self.pipeline.appendleft((cycle, app))
            return
        self._served_cycle = cycle
        output = self._ahead.pop(cycle, None)
        if output is None:
            super()._start_asgi_task(cycle, app)
            return
        self._unread.discard(output)
        cycle.transport = self.transport
        output.release()
        if cycle.response_complete:
            self.on_response_complete()
        else:
            cycle.on_response = self.on_response_complete

    def _start_ahead(self, cycle: RequestResponseCycle, app) -> None:
        cycle.transport = self._ahead[cycle] = HeldOutput(self.transport)
        cycle.on_response = lambda: None
        self._unread.add(cycle.transport)
        super()._start_asgi_task(cycle, app)

    def _can_run_ahead(self) -> bool:
        """Whether the last request and all in front of it may run at the same time.

        A request behind one whose answer closes the connection counts as not read: it
        must be one that can be repeated.
        """
        if len(self._ahead) >= self._run_ahead_limit or self._has_body:
            return False
        queued = [cycle for cycle, _ in self.pipeline]
        if any(cycle not in self._ahead for cycle in queued[1:]):
            return False
        in_front = [self._served_cycle, *queued[1:]]
        return all(cycle.keep_alive for cycle in in_front) and all(
            self._may_run_ahead(cycle.scope) for cycle in (queued[0], in_front[0])
        )

    def on_response_complete(self) -> None:
        """Start the next request, and parse what was held back for it."""
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._unparsed:
            self._parse()
        self._apply_bounds()
        if self._is_serving:
            return
        if self._bad_request is not None:
            super().send_400_response(self._bad_request)
        elif self._closes_when_idle:
            self.transport.close()

    def shutdown(self) -> None:
        """Close the connection once the requests that were read are answered."""
        if not self._is_serving:
            super().shutdown()
            return
        self._closes_when_idle = True
        if not self.cycle.response_complete:
            self.cycle.keep_alive = False

    def send_400_response(self, msg: str) -> None:
        """Answer a request that cannot be parsed, after those in front of it."""
        self._unparsed.clear()
        self._bad_request = msg
        if not self._is_serving:
            super().send_400_response(msg)

    # Bounds.

    @property
    def may_read(self) -> bool:
        """Whether the bounds allow to read on."""
        return not self._holds_body and self._may_parse and not self._unparsed

    def release_body(self) -> None:
        """Let a large body be read, if its request is the one being served."""
        if not self.pipeline:
            self._holds_body = False

    @property
    def _is_serving(self) -> bool:
        served = self._served_cycle
        return served is not None and not served.response_complete

    @property
    def _is_answering(self) -> bool:
        # The last request may be answered before one in front of it, if it ran ahead.
        return self._is_serving

    @property
    def _may_parse(self) -> bool:
        if len(self.pipeline) >= REQUESTS_AHEAD_LIMIT:
            return False
        if not self.pipeline:
            return True
        ahead_bytes = sum(len(cycle.body) for cycle, _ in self.pipeline)
        return ahead_bytes < BYTES_AHEAD_LIMIT

    def _parse(self) -> None:
        while self._unparsed and self._may_parse and not self.transport.is_closing():
            size_bytes = max(PIECE_BYTES, self._body_left_bytes)
            piece = bytes(self._unparsed[:size_bytes])
            del self._unparsed[:size_bytes]
            super().data_received(piece)

    def _apply_bounds(self) -> None:
        if not self.may_read:
            self.flow.pause_reading()
        elif self.pipeline or not self._is_serving:
            # uvicorn stops to read behind the second request, and would not see that
            # the caller closes the connection. While one request is served alone, its
            # own calls of `receive` decide.
            self.flow.resume_reading()

    @property
    def _has_body(self) -> bool:
        """Whether the last request has a body."""
        return any(
            name == b"transfer-encoding"
            or (name == b"content-length" and value != b"0")
            for name, value in self.headers
        )

    def _announced_body_bytes(self) -> int:
        for name, value in self.headers:
            if name == b"content-length" and value.isdigit():
                return int(value)
        return 0

    # Ends of connections.

    def _watch_for_close(self) -> None:
        """Look from time to time whether the caller closed a connection not read."""
        if self._close_check is None:
            self._close_check = self.loop.call_later(CLOSE_CHECK_S, self._check_close)

    def _check_close(self) -> None:
        self._close_check = None
        if self.transport.is_closing() or not self.flow.read_paused:
            return
        if is_closed_by_peer(self.transport.get_extra_info("socket")):
            self._end_requests()
            self.transport.abort()
        else:
            self._watch_for_close()

    def _watch_for_stall(self, taken_bytes: int) -> None:
        self._stall_check = self.loop.call_later(
            STALLED_READER_S, self._check_stall, taken_bytes
        )

    def _check_stall(self, taken_bytes: int) -> None:
        # What waits to be sent may grow by later answers although the caller reads.
        if self.transport.taken_bytes > taken_bytes:
            self._watch_for_stall(self.transport.taken_bytes)
        else:
            self.transport.abort()

    def _end_requests(self) -> None:
        """Tell the requests that run of the connection's end; forget the others."""
        self.pipeline.clear()
        self._unparsed.clear()
        for output in self._ahead.values():
            self._unread.discard(output)
        running = [*self._ahead, *filter(None, [self._served_cycle])]
        self._ahead.clear()
        for cycle in running:
            if not cycle.response_complete:
                cycle.disconnected = True
            cycle.message_event.set()

    @property
    def is_closing(self) -> bool:
        """Whether the connection ends after the bytes that were written."""
        return self._is_closing

    @property
    def has_unread_data(self) -> bool:
        """Whether there is data that the application has not read."""
        return bool(self.pipeline or self._unparsed or self.flow.read_paused) or (
            self.cycle is not None and self.cycle.more_body
        )

    def linger(self, transport: asyncio.Transport) -> None:
        """Close after what was written; requests behind it count as not read."""
        self._is_closing = True
        self._end_requests()
        if not transport.can_write_eof():
            transport.close()
            return
        transport.write_eof()
        self.flow.read_to_end()
        self.loop.call_later(LINGER_S, transport.close)
