"""One-way message links to the other replicas, with one connection per address."""

from collections import deque

import anyio
from anyio.abc import TaskGroup

from cinderway._errors import CinderwayError
from cinderway._ids import Address
from cinderway.replication._messages import REPLICATION, ReplicaMessage
from cinderway.wire import Identity, connect

QUEUE_LIMIT = 256
RECONNECT_DELAY_S = 0.1


class Links:
    """Sends messages in order while a connection is up; drops them otherwise.

    The Raft protocol resends whatever matters, so a message that cannot be sent soon
    is dropped rather than kept. A full queue drops its oldest messages.
    """

    def __init__(self, tasks: TaskGroup, identity: Identity):
        self._tasks = tasks
        self._identity = identity
        self._queues: dict[Address, _Queue] = {}

    def send(self, address: Address, message: ReplicaMessage) -> None:
        """Queue a message for an address."""
        queue = self._queues.get(address)
        if queue is None:
            queue = self._queues[address] = _Queue()
            self._tasks.start_soon(self._send_queued, address, queue)
        queue.put(message)

    async def _send_queued(self, address: Address, queue: "_Queue") -> None:
        while True:
            await queue.wait_for_message()
            try:
                connection = await connect(address, REPLICATION, self._identity)
            except CinderwayError:
                queue.clear()
                await anyio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                while True:
                    await queue.wait_for_message()
                    await connection.send(queue.pop())
            except CinderwayError:
                queue.clear()
            finally:
                await connection.aclose()


class _Queue:
    def __init__(self):
        self._messages: deque[ReplicaMessage] = deque(maxlen=QUEUE_LIMIT)
        self._message_added = anyio.Event()

    def put(self, message: ReplicaMessage) -> None:
        self._messages.append(message)
        self._message_added.set()

    def pop(self) -> ReplicaMessage:
        return self._messages.popleft()

    def clear(self) -> None:
        self._messages.clear()

    async def wait_for_message(self) -> None:
        while not self._messages:
            self._message_added = anyio.Event()
            await self._message_added.wait()
