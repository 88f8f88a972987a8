"""Sends requests through other entries while no server of a service can be reached.

One request uses one connection to one entry, which sends it to the server that was
chosen here, and passes the answer on as it arrives. Slots, retries, hedges and tokens
stay with this entry. What the answers say about servers is observed by the other one.
"""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import httpcore

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, RequestDigest
from cinderway._operators import Metrics
from cinderway.entry.servers._backends import (
    LARGE_BODY_BYTES,
    SEND_PIECE_BYTES,
    Objection,
    UseRecorder,
)
from cinderway.entry.servers._idle_connections import ConnectionUse
from cinderway.entry.servers._messages import (
    BackendAnswer,
    BackendRequest,
    HeaderNames,
    describe_invalid_status,
)
from cinderway.entry.servers._notes import OutgoingAttempt
from cinderway.limits import ConnectTimeout
from cinderway.reachability import (
    RELAY,
    PeerFailure,
    RelayAccepted,
    RelayBody,
    RelayedEnd,
    RelayedFailure,
    RelayedHead,
    RelayPeers,
    RelayRefused,
    RelayRequest,
)
from cinderway.wire import Connection, Identity, Message, connect

# Entries that one attempt asks. Right after a data hall is cut off, most of the own
# hall's entries refuse.
PEER_LIMIT = 4


class RelayError(CinderwayError):
    """A request did not get a server's answer through another entry.

    It is no observation of the server by this entry. With step CONNECT no server got
    the request. `is_connection_lost`: the other entry saw the server close the
    connection while it had the request.
    """

    is_connection_lost = False


@dataclass(frozen=True)
class RelayOrder:
    """A request to be sent through another entry to the server chosen for it.

    `objection` is asked before each entry gets the request, and `record_use` called if
    it has none.
    """

    outgoing: OutgoingAttempt
    request: BackendRequest
    deadline_ms: int
    digest: RequestDigest
    is_repeatable: bool
    objection: Objection
    record_use: UseRecorder


class RequestRelays(Protocol):
    """A way to send requests through other entries."""

    def can_relay(self, now_ms: int) -> bool:
        """Whether there is an entry to ask."""

    async def send(self, order: RelayOrder) -> BackendAnswer:
        """Send a request through another entry; return the head of its answer.

        Raises RelayError, or the error that the order's `objection` returns.
        """


Connect = Callable[..., Awaitable[Connection]]


@dataclass
class Relays:
    """Sends requests through the entries of `peers`, over their own protocol."""

    peers: RelayPeers
    identity: Identity
    names: HeaderNames
    metrics: Metrics = field(default_factory=Metrics)
    connect: Connect = connect
    rng: random.Random = field(default_factory=random.Random)
    _connect_timeout: ConnectTimeout = field(default_factory=ConnectTimeout)

    def can_relay(self, now_ms: int) -> bool:
        """Whether there is an entry to ask."""
        return self.peers.has_usable(now_ms)

    async def send(self, order: RelayOrder) -> BackendAnswer:
        """Send a request through one entry after the other until one accepts it."""
        tried: set[Address] = set()
        reasons: list[str] = []
        while len(tried) < PEER_LIMIT:
            peer = self.peers.choose(tried, monotonic_ms(), self.rng)
            if peer is None:
                break
            tried.add(peer)
            answered = await self._ask(peer, order)
            if isinstance(answered, BackendAnswer):
                self._count("answered")
                return answered
            self.peers.record_failure(peer, answered.reason, monotonic_ms())
            self._count(answered.reason.value)
            reasons.append(f"{peer} {answered.reason.value}: {answered.detail}")
        raise RelayError(
            ErrorCode.BACKEND_FAILED,
            f"no other entry relays the request: {'; '.join(reasons) or 'none known'}",
            step=Step.CONNECT,
            peer=order.outgoing.server.row.address,
        )

    async def _ask(
        self, peer: Address, order: RelayOrder
    ) -> BackendAnswer | RelayRefused:
        """Ask one entry; raise RelayError if it tried and failed."""
        connection = await self._connect(peer)
        if connection is None:
            return RelayRefused(PeerFailure.UNREACHABLE, "no connection")
        exchange = _RelayExchange(connection, peer, self.peers)
        message: Message | None = None
        try:
            error = order.objection()
            if error is not None:
                raise error
            order.record_use(ConnectionUse.RELAYED)
            message = await exchange.send(_build_message(order), order.request.body)
        finally:
            if not isinstance(message, RelayedHead):
                await exchange.aclose()
        match message:
            case RelayedHead(status=status, headers=headers):
                return BackendAnswer(status, headers, exchange, exchange, self.names)
            case RelayedFailure() as failure:
                self._record_server_failure(peer, failure)
                raise _build_server_error(failure, peer)
        return message

    def _record_server_failure(self, peer: Address, failure: RelayedFailure) -> None:
        """Leave an entry alone for a moment that could not connect to the server."""
        if failure.step is not Step.CONNECT:
            self._count("failed")
            return
        reason = PeerFailure.SERVER_UNREACHABLE
        self.peers.record_failure(peer, reason, monotonic_ms())
        self._count(reason.value)

    async def _connect(self, peer: Address) -> Connection | None:
        started_at_ms = monotonic_ms()
        try:
            connection = await self.connect(
                peer, RELAY, self.identity, self._connect_timeout.current_ms / 1000
            )
        except CinderwayError:
            self._connect_timeout.record_timeout()
            return None
        self._connect_timeout.record_connect_time(monotonic_ms() - started_at_ms)
        return connection

    def _count(self, outcome: str) -> None:
        self.metrics.count("relayed_total", {"outcome": outcome})


class _RelayExchange:
    """One request at another entry: its connection, and the response read from it."""

    def __init__(self, connection: Connection, peer: Address, peers: RelayPeers):
        self.address = peer
        self.is_reusable = False
        self.idle_limit_ms = 0
        self._connection = connection
        self._peers = peers
        self._is_open = True
        peers.record_begin(peer)

    async def send(self, wanted: RelayRequest, body: bytes) -> Message:
        """Send the request; return a head, a refusal or a failure.

        Raises RelayError if the connection breaks, or if anything else arrives: the
        request may have run.
        """
        try:
            await self._connection.send(wanted)
            message = (await self._connection.receive()).message
            if isinstance(message, RelayAccepted):
                await self._send_body(body)
                message = (await self._connection.receive()).message
        except CinderwayError as error:
            raise self._build_lost_error(error.detail) from error
        if not isinstance(message, RelayedHead | RelayRefused | RelayedFailure):
            raise self._build_lost_error(f"it sent {type(message).__name__}")
        if isinstance(message, RelayedHead):
            # Entries of older builds forward any status.
            reason = describe_invalid_status(message.status)
            if reason:
                raise self._build_lost_error(reason)
        return message

    def _build_lost_error(self, detail: str) -> RelayError:
        return RelayError(
            ErrorCode.BACKEND_FAILED,
            f"the entry that relays the request was lost: {detail}",
            step=Step.AWAIT_ANSWER,
            peer=self.address,
        )

    async def _send_body(self, body: bytes) -> None:
        self._connection.limit_send_buffer(SEND_PIECE_BYTES)
        for start in range(0, len(body), SEND_PIECE_BYTES):
            piece = body[start : start + SEND_PIECE_BYTES]
            await self._connection.send(RelayBody(piece))

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yield the body of the answer, as httpcore's responses do."""
        while True:
            try:
                message = (await self._connection.receive()).message
            except CinderwayError as error:
                raise httpcore.ReadError(str(error)) from error
            match message:
                case RelayBody(data=data):
                    yield data
                case RelayedEnd():
                    return
                case RelayedFailure(detail=detail):
                    raise httpcore.ReadError(detail)
                case _:
                    raise httpcore.ReadError(f"got {type(message).__name__}")

    async def release(self, response: object) -> None:
        """Close the connection, as each one carries one request."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close the connection; a repeatable request in progress is cancelled."""
        if self._is_open:
            self._is_open = False
            self._peers.record_end(self.address)
        with anyio.CancelScope(shield=True):
            await self._connection.aclose()


def _build_message(order: RelayOrder) -> RelayRequest:
    outgoing, request = order.outgoing, order.request
    is_large = len(request.body) >= LARGE_BODY_BYTES
    return RelayRequest(
        service=outgoing.service.row.name,
        server=outgoing.server.row.name,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=b"" if is_large else request.body,
        body_bytes=len(request.body),
        attempt_id=outgoing.attempt_id,
        remaining_ms=max(order.deadline_ms - monotonic_ms(), 0),
        is_repeatable=order.is_repeatable,
        digest=order.digest,
    )


def _build_server_error(failure: RelayedFailure, peer: Address) -> RelayError:
    error = RelayError(
        failure.code,
        f"relayed by {peer}: {failure.detail}",
        step=failure.step,
        peer=peer,
    )
    error.is_connection_lost = failure.is_connection_lost
    return error
