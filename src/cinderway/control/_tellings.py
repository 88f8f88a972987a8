"""Sends messages to other replicas without waiting for them to arrive."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from anyio.abc import TaskGroup

from cinderway._errors import CinderwayError
from cinderway._ids import Address
from cinderway.control._commands import ReplicaCalls
from cinderway.wire import Message

logger = logging.getLogger(__name__)


@dataclass
class BestEffortSender:
    """Sends messages to replicas, best effort.

    A message that a replica does not answer within `timeout_s` is dropped.
    """

    calls: ReplicaCalls
    timeout_s: float
    _tasks: TaskGroup | None = None

    def start(self, tasks: TaskGroup) -> None:
        """Set the task group that sends run in; call it before the first send."""
        self._tasks = tasks

    def send(self, replicas: Iterable[Address], message: Message) -> None:
        """Send a message to each of the replicas, concurrently."""
        for address in replicas:
            self._tasks.start_soon(self._send_one, address, message)

    async def _send_one(self, address: Address, message: Message) -> None:
        try:
            await self.calls.call(address, message, self.timeout_s)
        except CinderwayError as error:
            message_type = type(message).__name__
            logger.debug("%s could not be sent to a replica: %s", message_type, error)
