"""Open connections to control replicas, also over slow links.

A connection takes four round trips until the replica can be followed, and each of them
queues behind the callers' traffic on the same link. An attempt is not abandoned because
the link is slow: the next replica is tried concurrently, and the first one that answers
is used.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import Address
from cinderway._operators import Metrics
from cinderway.catalog import CATALOG, FindReplicas, ReplicasAnswer
from cinderway.entry.fleet._replica_choice import ReplicaChoice
from cinderway.wire import Connection, Identity

logger = logging.getLogger(__name__)

# Timeout of each step of opening a connection. On a narrow link every download that is
# queued ahead delays a round trip; attempts that are abandoned too early leave an entry
# without a replica.
STEP_TIMEOUT_S = 3.0
# How long an attempt runs before the next replica is tried too. On an idle link a
# replica answers within some 10 ms.
STAGGER_S = 0.4

Connect = Callable[..., Awaitable[Connection]]


@dataclass(frozen=True)
class ControlSession:
    """An open connection to one control replica.

    `is_first_contact` is true if the replica's data hall was not known before.
    """

    address: Address
    connection: Connection
    is_first_contact: bool


@dataclass
class ControlSessions:
    """Opens sessions and adds the replicas that they list to the choice."""

    choice: ReplicaChoice
    identity: Identity
    metrics: Metrics
    connect: Connect

    async def open_first(self, addresses: Iterable[Address]) -> ControlSession | None:
        """Return a session with the first replica that answers; None if none does.

        Replicas are tried in order; the next attempt starts once the previous one has
        failed or has not succeeded within `STAGGER_S`.
        """
        opened: list[ControlSession] = []
        async with anyio.create_task_group() as tasks:

            async def attempt(address: Address, ended: anyio.Event) -> None:
                session = await self._try_open(address)
                ended.set()
                if session is None:
                    return
                if opened:
                    await session.connection.aclose()
                    return
                opened.append(session)
                tasks.cancel_scope.cancel()

            for address in addresses:
                ended = anyio.Event()
                tasks.start_soon(attempt, address, ended)
                with anyio.move_on_after(STAGGER_S):
                    await ended.wait()
        return opened[0] if opened else None

    async def _try_open(self, address: Address) -> ControlSession | None:
        started_at_ms = monotonic_ms()
        try:
            session = await self._open(address)
        except (CinderwayError, TimeoutError) as error:
            self.choice.avoid(address, monotonic_ms())
            logger.info(
                "cannot connect to control replica %s: %s after %d ms",
                address,
                str(error) or "no answer",
                self._record_setup(started_at_ms, "failed"),
            )
            return None
        took_ms = self._record_setup(started_at_ms, "opened")
        logger.info("connected to control replica %s in %d ms", address, took_ms)
        return session

    async def _open(self, address: Address) -> ControlSession:
        connection = await self.connect(address, CATALOG, self.identity, STEP_TIMEOUT_S)
        is_first_contact = not self.choice.find_hall(address)
        try:
            if is_first_contact:
                await self._find_replicas(connection)
        except BaseException:
            await connection.aclose()
            raise
        return ControlSession(address, connection, is_first_contact)

    async def _find_replicas(self, connection: Connection) -> None:
        with anyio.fail_after(STEP_TIMEOUT_S):
            await connection.send(FindReplicas(), call_id=1)
            answer = (await connection.receive()).message
        if isinstance(answer, ReplicasAnswer):
            self.choice.update_replicas(answer.replicas)

    def _record_setup(self, started_at_ms: int, outcome: str) -> int:
        """Record how long opening took and return it in milliseconds."""
        took_ms = monotonic_ms() - started_at_ms
        labels = {"outcome": outcome}
        self.metrics.observe("control_setup_seconds", took_ms / 1000, labels)
        return took_ms
