"""Questions to the replica that is followed, over the connection that follows it."""

import logging
from dataclasses import dataclass, field

import anyio

from cinderway._errors import CinderwayError
from cinderway.wire import Connection, Message

logger = logging.getLogger(__name__)

# Calls that find replicas and fetch the catalog have the first ids.
FIRST_CALL_ID = 3


@dataclass
class _Pending:
    done: anyio.Event = field(default_factory=anyio.Event)
    answer: Message | None = None


@dataclass
class Questions:
    """Questions under way; without a replica none is answered."""

    _connection: Connection | None = None
    _pending: dict[int, _Pending] = field(default_factory=dict)
    _next_call_id: int = FIRST_CALL_ID

    def connect(self, connection: Connection) -> None:
        """Ask over this connection from now on."""
        self._connection = connection

    def disconnect(self) -> None:
        """Let nobody wait for a replica that is gone."""
        self._connection = None
        for pending in self._pending.values():
            pending.done.set()

    async def ask(self, question: Message, timeout_s: float) -> Message | None:
        """Return the answer; None without a replica, or in too long a time."""
        connection = self._connection
        if connection is None:
            return None
        call_id = self._next_call_id
        self._next_call_id += 1
        pending = self._pending[call_id] = _Pending()
        try:
            with anyio.fail_after(timeout_s):
                await connection.send(question, call_id)
                await pending.done.wait()
        except (CinderwayError, TimeoutError) as error:
            logger.info(
                "no answer to %s: %s",
                type(question).__name__,
                str(error) or f"none within {timeout_s} s",
            )
        finally:
            del self._pending[call_id]
        return pending.answer

    def take_answer(self, call_id: int, answer: Message) -> None:
        """Bring an answer to whoever waits for it."""
        pending = self._pending.get(call_id)
        if pending is not None:
            pending.answer = answer
            pending.done.set()
