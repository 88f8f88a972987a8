"""Tell other replicas something, without waiting until they have heard it."""

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
class Tellings:
    """Brings messages to replicas; one that cannot be told in time is left out."""

    calls: ReplicaCalls
    timeout_s: float
    _tasks: TaskGroup | None = None

    def start(self, tasks: TaskGroup) -> None:
        """Take the task group to tell in; before the first telling."""
        self._tasks = tasks

    def tell(self, replicas: Iterable[Address], message: Message) -> None:
        """Send a message to each of some replicas."""
        for address in replicas:
            self._tasks.start_soon(self._tell_one, address, message)

    async def _tell_one(self, address: Address, message: Message) -> None:
        try:
            await self.calls.call(address, message, self.timeout_s)
        except CinderwayError as error:
            kind = type(message).__name__
            logger.debug("%s was not told to a replica: %s", kind, error)
