"""Time limits on the connections of an HTTP server: idle time and request headers."""

from asyncio import TimerHandle
from collections.abc import Callable
from dataclasses import dataclass

from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from cinderway._request_parser import HttpProtocol

REQUEST_TIMEOUT = 408


@dataclass(frozen=True)
class ConnectionTimeouts:
    """How long request headers may take, and how long a connection may be idle."""

    header_s: float
    idle_s: float


# Used where no other limits are given.
DEFAULT_TIMEOUTS = ConnectionTimeouts(header_s=30.0, idle_s=30.0)


class TimedHttpProtocol(HttpProtocol):
    """One connection of a uvicorn server.

    A connection is idle while no request has begun and no answer is due. The time for
    headers begins with the first byte of a request, or with the end of the answer
    before it: until then the server may have paused reading. Timeouts are read when
    they begin to count, so changed values apply without a restart.
    """

    def __init__(
        self,
        *args,
        timeouts: Callable[[], ConnectionTimeouts] = lambda: DEFAULT_TIMEOUTS,
        **kwargs,
    ):
        super().__init__(*args, **kwargs)
        self._timeouts = timeouts
        self._header_timer: TimerHandle | None = None

    def connection_made(self, transport) -> None:
        """Begin to count the idle time."""
        super().connection_made(transport)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers."""
        self._stop_header_timer()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; those that begin no request leave it idle."""
        super().data_received(data)
        if not (self._header_timer or self._is_answering or self._is_transport_closing):
            self._start_idle_timer()

    def on_message_begin(self) -> None:
        """Begin to count the time for headers."""
        super().on_message_begin()
        self._start_header_timer()

    def on_headers_complete(self) -> None:
        """Stop counting the time for headers."""
        self._stop_header_timer()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Begin to count the idle time, or the time for headers that have begun."""
        self.timeout_keep_alive = self._timeouts().idle_s
        super().on_response_complete()
        if self._header_timer is not None:
            self._unset_keepalive_if_required()
            self._start_header_timer()

    @property
    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def _is_transport_closing(self) -> bool:
        return self.transport.is_closing()

    def _start_idle_timer(self) -> None:
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(
            self._timeouts().idle_s, self.timeout_keep_alive_handler
        )

    def _start_header_timer(self) -> None:
        self._stop_header_timer()
        self._header_timer = self.loop.call_later(
            self._timeouts().header_s, self._end_header_time
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _end_header_time(self) -> None:
        if self._is_answering:
            self._start_header_timer()
            return
        self._header_timer = None
        if not self._is_transport_closing:
            self.transport.write(
                STATUS_LINE[REQUEST_TIMEOUT]
                + b"content-length: 0\r\nconnection: close\r\n\r\n"
            )
            self.transport.close()
