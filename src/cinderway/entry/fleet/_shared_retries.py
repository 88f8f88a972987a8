"""Retries from the budget of the followed replica, also while that replica changes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from cinderway._clock import monotonic_ms
from cinderway.catalog import RetryAnswer, TakeRetry
from cinderway.entry._blackboard import ServiceState
from cinderway.entry.fleet._questions import ReplicaRequests
from cinderway.wire import Connection, Message

# A replica answers within a few milliseconds, or within some hundreds on a busy link or
# a busy instance. A retry that is granted late can still save the request. A replica
# that stays silent for longer is abandoned soon afterwards, and the next one is
# followed within less.
RETRY_TIMEOUT_S = 1.0


async def keep_replica() -> None:
    """Leave no replica."""


@dataclass
class SharedRetries:
    """Asks the followed replica for retries; without one, uses the local budgets.

    A question that is lost with its replica is put to the next one. A failure waits
    for the next replica, but only for a short time after the loss: while control stays
    away, nothing is gained by holding a failed request. A replica that falls silent is
    left early, since its loss would be noticed only when the question has been given
    up: `leave_when_silent` runs while a question is not answered.
    """

    requests: ReplicaRequests
    leave_when_silent: Callable[[], Awaitable[None]] = keep_replica

    async def consume(
        self, service: ServiceState, until_ms: float, *, after_failure: bool
    ) -> bool:
        """Consume one retry; False if none is granted in time."""
        until_ms = min(until_ms, monotonic_ms() + 1000 * RETRY_TIMEOUT_S)
        question = TakeRetry(service.row.name, after_failure)
        while True:
            if self.requests.connection is None:
                if service.budget.consume():
                    return True
                if not after_failure or not await self._wait_for_replica(until_ms):
                    return False
            asked = self.requests.connection
            answer = await self._ask(question, _compute_left_s(until_ms))
            if not isinstance(answer, RetryAnswer):
                if not await self._wait_for_change(asked, until_ms):
                    return False
                continue
            if answer.is_granted:
                return True
            due_at_ms = monotonic_ms() + answer.due_in_ms
            if not answer.due_in_ms or due_at_ms > until_ms:
                return False
            await anyio.sleep(answer.due_in_ms / 1000)

    async def _ask(self, question: TakeRetry, timeout_s: float) -> Message | None:
        """Put a question to the followed replica; None without an answer."""
        answer: Message | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.leave_when_silent)
            answer = await self.requests.call(question, timeout_s)
            tasks.cancel_scope.cancel()
        return answer

    async def _wait_for_replica(self, until_ms: float) -> bool:
        """Wait until a replica is followed; False if that takes too long."""
        lost_at_ms = self.requests.lost_at_ms
        if lost_at_ms is None:
            return False
        until_ms = min(until_ms, lost_at_ms + 1000 * RETRY_TIMEOUT_S)
        return await self._wait_for_change(None, until_ms)

    async def _wait_for_change(
        self, connection: Connection | None, until_ms: float
    ) -> bool:
        """Wait until the connection is another one; False if that takes too long.

        A question that could not be sent fails before the loss of the replica is known.
        """
        with anyio.move_on_after(_compute_left_s(until_ms)):
            while self.requests.connection is connection:
                await self.requests.wait_changed()
        return self.requests.connection is not connection


def _compute_left_s(until_ms: float) -> float:
    return max(until_ms - monotonic_ms(), 0) / 1000
