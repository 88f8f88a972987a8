"""Concurrent request-response calls over one connection."""

from collections.abc import Awaitable, Callable

import anyio

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.wire._codec import Conversation, Message
from cinderway.wire._connection import Connection, Identity, connect

CallHandler = Callable[[str, Message], Awaitable[Message]]


async def serve_calls(connection: Connection, name: str, handler: CallHandler) -> None:
    """Answer every call on a connection, each in its own task."""

    async def answer(call_id: int, message: Message) -> None:
        reply = await handler(name, message)
        try:
            await connection.send(reply, call_id)
        except CinderwayError:
            await connection.aclose()

    ended: CinderwayError | None = None
    async with anyio.create_task_group() as tasks:
        try:
            while True:
                envelope = await connection.receive()
                tasks.start_soon(answer, envelope.call_id, envelope.message)
        except CinderwayError as error:
            ended = error
            tasks.cancel_scope.cancel()
    # Raised outside the task group, which would wrap it in an exception group.
    raise ended


class _PendingCall:
    def __init__(self):
        self.done = anyio.Event()
        self.reply: Message | None = None


class RpcClient:
    """Calls one peer over one connection, which is opened when first needed.

    `run` must run in a task group for as long as the client is used. If the connection
    ends during a call, the call raises PEER_UNREACHABLE: whether the peer acted on it
    is then unknown, and the code that made the call decides what to do.
    """

    def __init__(self, address: str, conversation: Conversation, identity: Identity):
        self.address = address
        self._conversation = conversation
        self._identity = identity
        self._connection: Connection | None = None
        self._connect_lock = anyio.Lock()
        self._pending: dict[int, _PendingCall] = {}
        self._next_call_id = 1
        self._wake_reader = anyio.Event()

    async def run(self) -> None:
        """Read answers until cancelled."""
        while True:
            await self._wake_reader.wait()
            self._wake_reader = anyio.Event()
            await self._read_answers()

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its answer."""
        pending = _PendingCall()
        call_id = self._next_call_id
        self._next_call_id += 1
        try:
            with anyio.fail_after(timeout_s):
                connection = await self._get_connection()
                self._pending[call_id] = pending
                await connection.send(message, call_id)
                await pending.done.wait()
        except TimeoutError as error:
            raise CinderwayError(
                ErrorCode.DEADLINE_PASSED,
                f"no answer to {type(message).__name__} in {timeout_s} s",
                step=Step.RECEIVE,
                peer=self.address,
            ) from error
        finally:
            self._pending.pop(call_id, None)
        if pending.reply is None:
            raise CinderwayError(
                ErrorCode.PEER_UNREACHABLE,
                f"the connection ended before the answer to {type(message).__name__}",
                step=Step.RECEIVE,
                peer=self.address,
            )
        return pending.reply

    async def _get_connection(self) -> Connection:
        async with self._connect_lock:
            if self._connection is None:
                self._connection = await connect(
                    self.address, self._conversation, self._identity
                )
                self._wake_reader.set()
            return self._connection

    async def _read_answers(self) -> None:
        connection = self._connection
        if connection is None:
            return
        try:
            while True:
                envelope = await connection.receive()
                pending = self._pending.get(envelope.call_id)
                if pending is not None:
                    pending.reply = envelope.message
                    pending.done.set()
        except CinderwayError:
            pass
        finally:
            self._connection = None
            waiting, self._pending = self._pending, {}
            for pending in waiting.values():
                pending.done.set()
            await connection.aclose()


async def call_once(
    address: str,
    conversation: Conversation,
    identity: Identity,
    message: Message,
    timeout_s: float,
) -> Message:
    """Connect, make one call, and close."""
    client = RpcClient(address, conversation, identity)
    failure: CinderwayError | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.run)
        try:
            reply = await client.call(message, timeout_s)
        except CinderwayError as error:
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return reply
