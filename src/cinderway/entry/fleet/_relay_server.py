"""Relays requests of other entries that cannot connect to servers themselves.

The other entry has chosen the server, and holds the slot and the tokens of the request.
This entry checks what the server asked of it, and observes the server.
"""

import logging
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._operators import Metrics
from cinderway.entry._blackboard import Blackboard, ServerState, ServiceState
from cinderway.entry._poison_watch import PoisonWatch
from cinderway.entry.callers._poison_permit import PoisonPermit
from cinderway.entry.servers._backends import ConnectionLostError
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._idle_connections import ConnectionUse
from cinderway.entry.servers._messages import BackendRequest, Headers
from cinderway.entry.servers._send_checks import check_server
from cinderway.limits import HeldBytes
from cinderway.pushback import RETRY_AFTER
from cinderway.reachability import (
    RELAY,
    PeerFailure,
    RelayAccepted,
    RelayBody,
    RelayedEnd,
    RelayedFailure,
    RelayedHead,
    RelayRefused,
    RelayRequest,
)
from cinderway.wire import Connection, Route

logger = logging.getLogger(__name__)

# Time from the handshake to the whole request but for a large body, which has until the
# request's deadline. An entry that loses power in between says nothing.
REQUEST_TIMEOUT_S = 1.0
# Leaves most of an entry's processor to its own callers; entries that get no room ask
# others.
RELAYS_AT_ONCE = 16
# Bound on the bodies that are held for other entries.
HELD_LIMIT_BYTES = 16 * 1024 * 1024


@dataclass
class RelayServer:
    """Serves the relay protocol; `in_progress` counts the requests being relayed."""

    board: Blackboard
    dispatcher: Dispatcher
    watch: PoisonWatch
    metrics: Metrics = field(default_factory=Metrics)
    held: HeldBytes = field(default_factory=lambda: HeldBytes(HELD_LIMIT_BYTES))
    in_progress: int = 0

    @property
    def route(self) -> Route:
        """The route for connections that use the relay protocol."""
        return Route(RELAY, self._serve)

    async def _serve(self, connection: Connection, name: str) -> None:
        with anyio.fail_after(REQUEST_TIMEOUT_S):
            request = (await connection.receive()).message
        if not isinstance(request, RelayRequest):
            return
        received_at_ms = monotonic_ms()
        refusal = self.find_refusal(request, received_at_ms)
        if refusal is not None:
            self._count(refusal.reason.value)
            await connection.send(refusal)
            return
        self.in_progress += 1
        # A stopping entry waits for it.
        self.board.in_flight += 1
        self.held.add(request.body_bytes)
        try:
            with anyio.fail_after(request.remaining_ms / 1000):
                body = await _receive_body(connection, request)
            relayed = _Relayed(request, body, received_at_ms + request.remaining_ms)
            await self._relay(connection, relayed)
        finally:
            self.held.remove(request.body_bytes)
            self.board.in_flight -= 1
            self.in_progress -= 1
            logger.info(
                "relayed request %s of entry %s to %s of %s in %d ms",
                request.attempt_id,
                name,
                request.server,
                request.service,
                monotonic_ms() - received_at_ms,
            )

    def find_refusal(self, request: RelayRequest, now_ms: int) -> RelayRefused | None:
        """Return why a request is not relayed; None if it is."""
        if self.board.is_leaving:
            return RelayRefused(PeerFailure.LEAVING, "the entry is stopping")
        is_full = self.in_progress >= RELAYS_AT_ONCE
        if is_full or not self.held.admits(request.body_bytes):
            detail = f"{self.in_progress} requests are being relayed"
            return RelayRefused(PeerFailure.BUSY, detail)
        if self.board.uplinks.of(request.service).is_cut_off:
            detail = f"no server of {request.service} can be connected to"
            return RelayRefused(PeerFailure.CUT_OFF, detail)
        found = self._find_server(request)
        if found is None:
            return RelayRefused(PeerFailure.SERVER_UNUSABLE, "the server is not listed")
        error = check_server(*found, now_ms)
        if error is not None:
            return RelayRefused(PeerFailure.SERVER_UNUSABLE, error.detail)
        return None

    def _find_server(
        self, request: RelayRequest
    ) -> tuple[ServiceState, ServerState] | None:
        service = self.board.services.get(request.service)
        server = service and service.servers.get(request.server)
        return (service, server) if server else None

    async def _relay(self, connection: Connection, relayed: "_Relayed") -> None:
        """Relay a request, unless its entry is gone before a server may run it."""
        async with anyio.create_task_group() as tasks:
            scope = tasks.cancel_scope
            tasks.start_soon(_cancel_when_closed, connection, relayed, scope)
            try:
                await self._send_to_server(connection, relayed)
            except CinderwayError as error:
                await self._send_failure(connection, error)
            scope.cancel()

    async def _send_to_server(
        self, connection: Connection, relayed: "_Relayed"
    ) -> None:
        request = relayed.request
        found = self._find_server(request)
        if found is None:
            # Removed from the list while the body arrived.
            raise CinderwayError(
                ErrorCode.BACKEND_LEAVES, "the server is not listed", step=Step.CONNECT
            )
        permit = PoisonPermit(
            watch=self.watch,
            metrics=self.metrics,
            origin=request.service,
            digest=request.digest,
            attempt_id=request.attempt_id,
        )
        async with self.dispatcher.relay(
            *found,
            relayed.backend_request,
            request.attempt_id,
            relayed.deadline_ms,
            is_repeatable=request.is_repeatable,
            permit=permit,
            record_use=relayed.record_use,
        ) as exchange:
            answer = exchange.answer
            head = RelayedHead(answer.status, _select_headers(answer.headers))
            await connection.send(head)
            async for chunk in answer.chunks():
                self.dispatcher.evidence.record_progress(
                    exchange.attempt, len(chunk), monotonic_ms()
                )
                await connection.send(RelayBody(chunk))
            await connection.send(RelayedEnd())
            self._count("answered")

    async def _send_failure(
        self, connection: Connection, error: CinderwayError
    ) -> None:
        self._count("failed")
        # Held back before it was written: the request did not run.
        step = Step.CONNECT if error.step is Step.QUEUE else error.step
        is_lost = isinstance(error, ConnectionLostError)
        try:
            await connection.send(
                RelayedFailure(error.code, step, error.detail, is_lost)
            )
        except CinderwayError as unsent:
            logger.debug("a failure could not be sent to an entry: %s", unsent)

    def _count(self, outcome: str) -> None:
        self.metrics.count("relays_served_total", {"outcome": outcome})


@dataclass
class _Relayed:
    """A request of another entry."""

    request: RelayRequest
    body: bytes
    deadline_ms: int
    is_written: bool = False

    @property
    def backend_request(self) -> BackendRequest:
        """The request as it is sent to the server."""
        request = self.request
        return BackendRequest(
            request.method, request.target, request.headers, self.body
        )

    def record_use(self, use: ConnectionUse) -> None:
        """Record that the request is about to be written to a server."""
        self.is_written = True


async def _receive_body(connection: Connection, request: RelayRequest) -> bytes:
    if len(request.body) == request.body_bytes:
        return request.body
    await connection.send(RelayAccepted())
    body = bytearray()
    while len(body) < request.body_bytes:
        message = (await connection.receive()).message
        if not isinstance(message, RelayBody):
            raise CinderwayError(
                ErrorCode.FRAME_INVALID,
                f"expected RelayBody, got {type(message).__name__}",
                step=Step.RECEIVE,
                peer=connection.peer,
            )
        body += message.data
    return bytes(body)


async def _cancel_when_closed(
    connection: Connection, relayed: _Relayed, scope: anyio.CancelScope
) -> None:
    """Cancel a request when its entry closes the connection.

    One that may run only once runs to its end once a server may have got it.
    """
    try:
        await connection.receive()
    except CinderwayError:
        if relayed.request.is_repeatable or not relayed.is_written:
            scope.cancel()


def _select_headers(headers: Headers) -> Headers:
    """Return a server's headers without a backoff, which it asks of this entry."""
    return [(name, value) for name, value in headers if name.lower() != RETRY_AFTER]
