"""Connections to backend servers; each carries one HTTP/1.1 request at a time."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import httpcore

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, AttemptId, ServerName, ServiceName
from cinderway._operators import Metrics
from cinderway._peer_close import is_closed_by_peer
from cinderway._raw_socket import find_raw_socket, is_open, set_option
from cinderway.entry.servers._early_answer import BodySender
from cinderway.entry.servers._head_check import HeadCheck
from cinderway.entry.servers._idle_connections import (
    DEFAULT_CONNECTION_LIMIT,
    DEFAULT_TERMS,
    DROP_INTERVAL_MS,
    ConnectionUse,
    IdleConnections,
    ReuseTerms,
)
from cinderway.entry.servers._messages import (
    DEFAULT_HEADER_NAMES,
    IDLE_LIMIT_S,
    BackendAnswer,
    BackendRequest,
    HeaderNames,
    describe_invalid_status,
)
from cinderway.entry.servers._open_stream import open_stream
from cinderway.entry.servers._socket_state import (
    is_readable,
    read_acked_bytes,
    was_closed_unread,
)
from cinderway.limits import ConnectTimeout
from cinderway.reachability import Uplinks
from cinderway.wire import split_address

# Bodies from this size on are sent in pieces and through a small send buffer, so that
# they do not keep the entry's own messages waiting on a slow link.
LARGE_BODY_BYTES = 16 * 1024
SEND_PIECE_BYTES = 8 * 1024
# Longest time for one piece that counts as time of the entry's own link. A server that
# hangs before it has read the request takes longer.
PIECE_TIME_LIMIT_MS = 500
SENDING_STARTED_EVENT = "http11.send_request_headers.started"
# Interval of looking for idle connections that servers closed. What is found late is
# found when the connection is to be used.
SWEEP_INTERVAL_S = 0.2


class ConnectionLostError(CinderwayError):
    """The server closed the connection while a request was in progress."""


class ClosedUnreadError(ConnectionLostError):
    """The server closed a kept connection before it read the request.

    Its step is CONNECT: the request did not run.
    """


# Called with the kind of connection that a request is about to be written to.
UseRecorder = Callable[[ConnectionUse], None]
# Called when the connection is open and before the request is written. If it returns an
# error, the request is not written.
Objection = Callable[[], CinderwayError | None]


# Called with the time in ms that sending a piece of a large body took.
RecordSendTime = Callable[[int], None]


def no_objection() -> None:
    """Allow every request."""


def ignore_send_time(piece_ms: int) -> None:
    """Record nothing."""


def ignore_use(use: ConnectionUse) -> None:
    """Record nothing."""


class _Stream(httpcore.AsyncNetworkStream):
    """An anyio stream for httpcore, without a timer for each read and write.

    Timeouts are set once around the whole attempt. httpcore's own stream enters a
    cancel scope for every call, which is most of the cost of a small request.
    """

    def __init__(self, stream: anyio.abc.SocketStream):
        self._stream = stream
        # None if the connection was gone as soon as it was open.
        self.raw = find_raw_socket(stream)
        # Whether the server has closed the connection.
        self.is_closed_by_server = False
        # Whether it did so before it read the current request.
        self.is_closed_unread = False
        # Whether the server refused the request before it was sent whole.
        self.is_cut_short = False
        self.record_send_time: RecordSendTime = ignore_send_time
        self._received = b""
        self._head_check = HeadCheck()
        self._acked_bytes: int | None = None
        self._unsent: list[bytes] = []

    def begin_kept_request(self) -> None:
        """Prepare to tell whether the server reads the next request at all."""
        self._acked_bytes = read_acked_bytes(self.raw)

    def begin_response(self) -> None:
        """Check what is received from now on as the head of a response."""
        self._head_check = HeadCheck()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send what was written; return the available bytes, or b"" at the end."""
        received = await self._receive(max_bytes)
        self._head_check.receive(received)
        return received

    async def _receive(self, max_bytes: int) -> bytes:
        await self._send_request()
        if self._received:
            received, self._received = self._received, b""
            self._acked_bytes = None
            return received
        try:
            received = await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            self.is_closed_by_server = True
            self.is_closed_unread = await was_closed_unread(self.raw, self._acked_bytes)
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            self.is_closed_by_server = True
            raise httpcore.ReadError(str(error)) from error
        self._acked_bytes = None
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Take a part of a request; it is sent when the response is read.

        Written at once, the body could meet the reset that answers the headers, and the
        error would hide the end of the stream that came before it.
        """
        self._unsent.append(buffer)

    async def _send_request(self) -> None:
        unsent, self._unsent = b"".join(self._unsent), []
        if not unsent:
            return
        if len(unsent) < LARGE_BODY_BYTES:
            await self._send_or_note_close(unsent)
            return
        sender = BodySender(self._stream)
        await sender.run(lambda: self._send_in_pieces(unsent))
        self._received, self.is_cut_short = sender.received, sender.is_cut_short

    async def _send_or_note_close(self, buffer: bytes | memoryview) -> None:
        try:
            await self._stream.send(buffer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The server may have answered before it closed: that is read next.
            self.is_closed_by_server = True

    async def _send_in_pieces(self, buffer: bytes) -> None:
        set_option(self.raw, socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_PIECE_BYTES)
        pieces = memoryview(buffer)
        for start in range(0, len(buffer), SEND_PIECE_BYTES):
            # Another piece would meet a reset, which hides the end of the stream.
            if self.is_closed_by_server or not is_open(self.raw):
                return
            if start and is_closed_by_peer(self.raw):
                return
            started_at_ms = monotonic_ms()
            await self._send_or_note_close(pieces[start : start + SEND_PIECE_BYTES])
            piece_ms = monotonic_ms() - started_at_ms
            self.record_send_time(min(piece_ms, PIECE_TIME_LIMIT_MS))

    async def aclose(self) -> None:
        """Close at once, without waiting for the rest of a response."""
        await anyio.aclose_forcefully(self._stream)

    def get_extra_info(self, info: str):
        """Return whether the socket is readable; httpcore detects closing by this."""
        if info == "is_readable":
            return not is_open(self.raw) or is_readable(self.raw)
        return None


@dataclass
class _PooledConnection:
    address: Address
    stream: _Stream
    http: httpcore.AsyncHTTP11Connection
    pool: "BackendConnections"
    service: ServiceName = ServiceName("")
    connection_limit: int = DEFAULT_CONNECTION_LIMIT
    is_reusable: bool = False
    has_started_sending: bool = False
    started_at_ms: int = 0
    idle_limit_ms: int = 0
    # When it became idle for the last time; None while its first request is in use.
    idle_since_ms: int | None = None
    is_open: bool = True

    @property
    def has_trailing_data(self) -> bool:
        """Whether the server sent data beyond its response; it belongs to no request.

        httpcore has no public API for the data that h11 has read ahead.
        """
        trailing_data, _ = self.http._h11_state.trailing_data
        return bool(trailing_data)

    async def trace(self, event: str, info: dict) -> None:
        if event == SENDING_STARTED_EVENT:
            self.has_started_sending = True

    async def release(self, response: httpcore.Response | None) -> None:
        # A connection whose response was not read to the end may still deliver the
        # rest of it. If reused, it would give one caller another caller's response.
        if response is not None and self.is_reusable:
            await response.aclose()
        if (
            self.is_reusable
            and self.http.is_idle()
            and not self.has_trailing_data
            and not self.stream.is_cut_short
        ):
            self.idle_since_ms = monotonic_ms()
            if self.pool.keep_idle(self, self.idle_since_ms):
                return
        await self.aclose()

    async def release_unused(self) -> None:
        """Give it back as it was before it was taken, or close it if it is new."""
        if self.idle_since_ms is None:
            await self.aclose()
        else:
            self.pool.give_back_idle(self, self.idle_since_ms)

    def is_closed_by_server(self) -> bool:
        """Whether its end, or data that belongs to no request, is waiting."""
        return self.http.has_expired()

    async def aclose(self) -> None:
        """Close it."""
        if self.is_open:
            self.is_open = False
            self.pool.idle.record_closed(self.address)
        with anyio.CancelScope(shield=True):
            await self.http.aclose()


@dataclass(frozen=True)
class _Sending:
    """One request on its way to a server, whichever connection it takes."""

    request: BackendRequest
    attempt_id: AttemptId
    deadline_ms: int
    expected: ServerName | None
    objection: Objection
    record_use: UseRecorder
    record_send_time: RecordSendTime


@dataclass
class BackendConnections:
    """Opens connections, and keeps idle ones for later requests."""

    names: HeaderNames = DEFAULT_HEADER_NAMES
    metrics: Metrics = field(default_factory=Metrics)
    opened: int = 0
    # TCP window of the connections: how much of each answer may be under way to this
    # entry. 0 leaves it to the operating system.
    window_bytes: int = 0
    connect_timeout: ConnectTimeout = field(default_factory=ConnectTimeout)
    uplinks: Uplinks = field(default_factory=Uplinks)

    def __post_init__(self):
        self.idle: IdleConnections[_PooledConnection] = IdleConnections(
            self.connect_timeout, self.metrics
        )
        self._became_idle = anyio.Event()

    async def run(self) -> None:
        """Close idle connections that servers closed, or that are too old.

        While no connection is idle, only what was learnt of servers is dropped by age.
        """
        while True:
            if self.idle.is_empty:
                self._became_idle = anyio.Event()
                with anyio.move_on_after(DROP_INTERVAL_MS / 1000):
                    await self._became_idle.wait()
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.idle.sweep(monotonic_ms())
            await self._close_discarded()

    def keep_idle(self, connection: _PooledConnection, now_ms: int) -> bool:
        """Keep a connection that became idle; False if the server has enough."""
        is_kept = self.idle.keep(connection, connection.connection_limit, now_ms)
        if is_kept:
            self._became_idle.set()
        return is_kept

    def give_back_idle(self, connection: _PooledConnection, since_ms: int) -> None:
        """Keep a connection that was taken and not used."""
        self.idle.give_back(connection, since_ms, monotonic_ms())
        self._became_idle.set()

    def has_usable(self, address: Address, terms: ReuseTerms, now_ms: int) -> bool:
        """Whether a request would be sent on a kept connection to this server."""
        return self.idle.has_usable(address, terms, now_ms)

    async def send(
        self,
        address: Address,
        request: BackendRequest,
        attempt_id: AttemptId,
        deadline_ms: int,
        *,
        use_new_connection: bool,
        expected: ServerName | None = None,
        objection: Objection = no_objection,
        record_send_time: RecordSendTime = ignore_send_time,
        terms: ReuseTerms = DEFAULT_TERMS,
        record_use: UseRecorder = ignore_use,
    ) -> BackendAnswer:
        """Send a request and return the head of its response.

        Raises CinderwayError: with step CONNECT nothing was written, or the server did
        not read it, so the request did not run; with AWAIT_ANSWER it may have. The
        request uses a kept connection if `terms` allow it, and never does so if
        `use_new_connection` is set. If the server closed that connection before it read
        the request, the request is sent again on a new one. If `objection` returns an
        error, it is raised and nothing is written.
        """
        sending = _Sending(
            request,
            attempt_id,
            deadline_ms,
            expected,
            objection,
            record_use,
            record_send_time,
        )
        if not use_new_connection:
            connection = await self._take_idle(address, terms)
            if connection is not None:
                try:
                    return await self._send_on(connection, sending)
                except ClosedUnreadError:
                    # Checked again below: the wait for this took a round trip.
                    pass
        connection = await self._connect(address, terms)
        return await self._send_on(connection, sending)

    async def _send_on(
        self, connection: _PooledConnection, sending: _Sending
    ) -> BackendAnswer:
        reason = sending.objection()
        if reason is not None:
            await connection.release_unused()
            raise reason
        self._begin(connection, sending.record_use)
        connection.stream.record_send_time = sending.record_send_time
        connection.stream.begin_response()
        response = None
        try:
            response = await connection.http.handle_async_request(
                self._http_request(connection, sending)
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.ConnectionNotAvailable,
        ) as error:
            raised = _build_attempt_error(connection, error)
            if isinstance(raised, ConnectionLostError):
                self._record_lost(connection, raised)
            raise raised from error
        finally:
            if response is None:
                await connection.release(None)
        reason = describe_invalid_status(response.status)
        if reason:
            raise await _discard_response(connection, ErrorCode.BACKEND_FAILED, reason)
        headers = [(name, value) for name, value in response.headers]
        answer = BackendAnswer(
            response.status, headers, response, connection, self.names
        )
        reason = answer.describe_mismatch(sending.attempt_id)
        if reason:
            raise await _discard_response(connection, ErrorCode.ANSWER_FOREIGN, reason)
        return answer

    def _begin(self, connection: _PooledConnection, record_use: UseRecorder) -> None:
        connection.is_reusable = False
        connection.has_started_sending = False
        connection.started_at_ms = monotonic_ms()
        is_kept = connection.idle_since_ms is not None
        if is_kept:
            connection.stream.begin_kept_request()
            self.idle.record_reused(connection.service)
        record_use(ConnectionUse.KEPT if is_kept else ConnectionUse.NEW)

    def _record_lost(
        self, connection: _PooledConnection, error: ConnectionLostError
    ) -> None:
        now_ms = monotonic_ms()
        service, address = connection.service, connection.address
        if connection.idle_since_ms is None:
            self.idle.record_lost_new(service, address, now_ms)
            return
        self.idle.record_lost_kept(
            service,
            address,
            connection.started_at_ms - connection.idle_since_ms,
            now_ms,
            is_proven=isinstance(error, ClosedUnreadError),
        )

    async def _take_idle(
        self, address: Address, terms: ReuseTerms
    ) -> _PooledConnection | None:
        connection = self.idle.take(address, terms, monotonic_ms())
        await self._close_discarded()
        return connection

    async def _close_discarded(self) -> None:
        for connection in self.idle.pop_discarded():
            await connection.aclose()

    async def check(self, service: ServiceName, address: Address) -> None:
        """Open a connection to a server and close it; record whether it opened."""
        host, port = split_address(address)
        uplink = self.uplinks.of(service)
        try:
            with anyio.fail_after(self.connect_timeout.base_ms / 1000):
                stream = await open_stream(host.strip("[]"), port, self.window_bytes)
        except (OSError, TimeoutError):
            uplink.record_unreachable(address)
            return
        self.opened += 1
        uplink.record_connected(monotonic_ms())
        await anyio.aclose_forcefully(stream)

    async def _connect(self, address: Address, terms: ReuseTerms) -> _PooledConnection:
        self.idle.pop_oldest_if_full(address, terms)
        await self._close_discarded()
        host, port = split_address(address)
        start_ms = monotonic_ms()
        try:
            # The timeout is adaptive: one fixed for the slowest link would make
            # requests late that meet a dead server on a fast link.
            with anyio.fail_after(self.connect_timeout.current_ms / 1000):
                stream = await open_stream(host.strip("[]"), port, self.window_bytes)
        except (OSError, TimeoutError) as error:
            if isinstance(error, TimeoutError):
                self.connect_timeout.record_timeout()
            self.idle.record_rejected(terms.service, address, monotonic_ms())
            self.uplinks.of(terms.service).record_unreachable(address)
            raise CinderwayError(
                ErrorCode.BACKEND_FAILED,
                f"cannot connect: {str(error) or 'timed out'}",
                step=Step.CONNECT,
                peer=address,
            ) from error
        self.opened += 1
        now_ms = monotonic_ms()
        self.uplinks.of(terms.service).record_connected(now_ms)
        self.connect_timeout.record_connect_time(now_ms - start_ms)
        self.idle.paths.record_connected(address, now_ms - start_ms, now_ms)
        self.idle.record_opened(terms.service, address)
        http_stream = _Stream(stream)
        http = httpcore.AsyncHTTP11Connection(
            httpcore.Origin(b"http", host.encode(), port),
            http_stream,
            keepalive_expiry=IDLE_LIMIT_S,
        )
        return _PooledConnection(
            address, http_stream, http, self, terms.service, terms.connection_limit
        )

    def _http_request(
        self,
        connection: _PooledConnection,
        sending: _Sending,
    ) -> httpcore.Request:
        request = sending.request
        host, port = split_address(connection.address)
        remaining_ms = max(sending.deadline_ms - monotonic_ms(), 0)
        headers = [
            *request.headers,
            (self.names.deadline, str(remaining_ms).encode()),
            (self.names.attempt, sending.attempt_id.encode()),
        ]
        if self.names.expected and sending.expected:
            headers.append((self.names.expected, sending.expected.encode()))
        return httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b"http", host=host.encode(), port=port, target=request.target
            ),
            headers=headers,
            content=request.body,
            extensions={"trace": connection.trace},
        )


async def _discard_response(
    connection: _PooledConnection, code: ErrorCode, reason: str
) -> CinderwayError:
    """Close the connection of a response that cannot be used; return the error."""
    await connection.release(None)
    return CinderwayError(code, reason, step=Step.AWAIT_ANSWER, peer=connection.address)


def _build_attempt_error(
    connection: _PooledConnection, error: Exception
) -> CinderwayError:
    step = Step.AWAIT_ANSWER if connection.has_started_sending else Step.CONNECT
    kind = CinderwayError
    # An invalid response does not count as a broken connection.
    if step is Step.AWAIT_ANSWER and connection.stream.is_closed_by_server:
        kind = ConnectionLostError
        if connection.stream.is_closed_unread:
            kind, step = ClosedUnreadError, Step.CONNECT
    return kind(
        ErrorCode.BACKEND_FAILED,
        f"the attempt failed: {str(error) or type(error).__name__}",
        step=step,
        peer=connection.address,
    )
