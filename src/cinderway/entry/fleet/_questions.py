"""Requests to the followed replica, over the connection that follows it."""

import logging
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway.wire import Connection, Message

logger = logging.getLogger(__name__)

# Ids 1 and 2 belong to the calls that list replicas and fetch the catalog.
FIRST_CALL_ID = 3


@dataclass
class _Pending:
    done: anyio.Event = field(default_factory=anyio.Event)
    answer: Message | None = None


@dataclass
class ReplicaRequests:
    """Sends requests and matches answers to them; without a replica all fail."""

    # When the last replica was lost; None before the first loss.
    lost_at_ms: int | None = None
    _connection: Connection | None = None
    _changed: anyio.Event = field(default_factory=anyio.Event)
    _pending: dict[int, _Pending] = field(default_factory=dict)
    _next_call_id: int = FIRST_CALL_ID

    def connect(self, connection: Connection) -> None:
        """Send requests over this connection from now on."""
        self._connection = connection
        self._announce_change()

    @property
    def connection(self) -> Connection | None:
        """The connection to the followed replica, or None without one."""
        return self._connection

    async def wait_changed(self) -> None:
        """Return once a replica is followed that was not, or the other way round."""
        await self._changed.wait()

    def _announce_change(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def disconnect(self) -> None:
        """Forget the connection and end all pending requests without an answer."""
        self._connection = None
        self.lost_at_ms = monotonic_ms()
        self._announce_change()
        for pending in self._pending.values():
            pending.done.set()

    async def call(self, request: Message, timeout_s: float) -> Message | None:
        """Return the answer; None without a replica or on timeout."""
        connection = self._connection
        if connection is None:
            return None
        call_id = self._next_call_id
        self._next_call_id += 1
        pending = self._pending[call_id] = _Pending()
        try:
            with anyio.fail_after(timeout_s):
                await connection.send(request, call_id)
                await pending.done.wait()
        except (CinderwayError, TimeoutError) as error:
            logger.info(
                "%s was not answered: %s",
                type(request).__name__,
                str(error) or f"timed out after {timeout_s} s",
            )
        finally:
            del self._pending[call_id]
        return pending.answer

    def receive_answer(self, call_id: int, answer: Message) -> None:
        """Deliver an answer to the call that awaits it."""
        pending = self._pending.get(call_id)
        if pending is not None:
            pending.answer = answer
            pending.done.set()
