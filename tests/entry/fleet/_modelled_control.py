"""Control replicas at the far end of a slow link, in virtual time.

The entry's follower and the replicas' service are production code; only the network and
the replicated group between the replicas are simulated.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace

import anyio

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, DataHall, ReplicaId
from cinderway.catalog import (
    CATALOG,
    AnnounceReplica,
    CatalogMachine,
    Command,
    encode_command,
)
from cinderway.control._account_tokens import VotingStatus
from cinderway.control._allowances import Allowances
from cinderway.control._catalog_service import CatalogService
from cinderway.control._commands import Commands, ReplicaCalls
from cinderway.control._hall_assessor import HallAssessor, JudgementRules
from cinderway.control._hall_service import HallService
from cinderway.control._retry_pools import RetryPools
from cinderway.experiment._virtual_time import call_later
from cinderway.limits import AllowanceRules
from cinderway.table import Bias
from cinderway.wire import Identity

KEY = b"a key of sixteen"
# One-way trips that opening a connection takes: TCP, then the handshake.
TCP_LEGS, HELLO_LEGS = 2, 4
STEP_TIMEOUT_S = 1.0


class ModelNode:
    """A replicated group's node that leads and is always up to date."""

    def __init__(self):
        self.core = SimpleNamespace(
            is_leader=True,
            has_caught_up=True,
            leader_heard_at_ms=0,
            replica_id=ReplicaId(1),
            membership=SimpleNamespace(
                voters={ReplicaId(1)}, members={}, counts_all_proofs=False
            ),
        )
        self.leader_address = None
        self.has_caught_up = True
        self._applied = anyio.Event()

    def knowledge_age_ms(self, now_ms):
        return 0

    async def wait_for_applied_entry(self):
        await self._applied.wait()

    async def propose(self, data, timeout_s):
        """Reject the replica's own commands: tests decide what the group commits."""
        raise CinderwayError(ErrorCode.NO_QUORUM, "not modelled", step=Step.PROPOSE)

    def announce_applied(self):
        self._applied.set()
        self._applied = anyio.Event()


class ModelReplica:
    """One control replica: its state machine, its service, and whether it has power."""

    def __init__(self, address: Address, data_hall: DataHall):
        self.address = address
        self.own = AnnounceReplica(address, data_hall, Address("unused:0"))
        self.machine = CatalogMachine()
        self.node = ModelNode()
        self.has_power = True
        self.connections = 0
        calls = ReplicaCalls(Identity("control", KEY))
        rules = AllowanceRules(window_ms=5_000)
        self.service = CatalogService(
            self.node,
            self.machine,
            self.own,
            calls,
            Commands(self.node, self.machine, calls, 1),
            HallService.of(
                self.own,
                self.machine,
                calls,
                HallAssessor(JudgementRules(Bias.BALANCED, 70)),
                RetryPools(18, 1.45),
            ),
            Allowances(
                address, self.machine, calls, rules, lambda: VotingStatus(True, 1)
            ),
        )

    def apply(self, index: int, *commands: Command) -> None:
        """Apply commands that the group has committed."""
        for position, command in enumerate(commands):
            self.machine.apply(index + position, encode_command(command))
        self.node.announce_applied()


@dataclass
class _End:
    """One end of a simulated connection; what it sends arrives after a delay."""

    peer: str
    replica: ModelReplica
    control: "ModelControl"
    incoming: list[bytes] = field(default_factory=list)
    other: "_End | None" = None
    is_closed: bool = False
    # Simulated messages always arrive complete.
    is_receiving: bool = False
    _has_arrived: anyio.Event = field(default_factory=anyio.Event)

    async def send(self, message, call_id=0):
        await self.send_encoded([CATALOG.encode(message, call_id)])

    async def send_encoded(self, payloads):
        if self.is_closed:
            raise self._error("the connection broke", Step.SEND)
        if self.replica.has_power:
            for payload in payloads:
                call_later(self.control.leg_ms, self.other.deliver, payload)

    async def receive(self):
        while not self.incoming:
            if self.is_closed:
                raise self._error("the connection ended", Step.RECEIVE)
            self._has_arrived = anyio.Event()
            await self._has_arrived.wait()
        return CATALOG.decode(self.incoming.pop(0), peer=self.peer)

    async def aclose(self):
        self.is_closed = True
        self._has_arrived.set()
        if self.replica.has_power:
            call_later(self.control.leg_ms, self.other.end)

    def deliver(self, payload):
        if self.replica.has_power:
            self.incoming.append(payload)
            self._has_arrived.set()

    def end(self):
        self.is_closed = True
        self._has_arrived.set()

    def _error(self, detail, step):
        return CinderwayError(
            ErrorCode.PEER_UNREACHABLE, detail, step=step, peer=self.peer
        )


class ModelControl:
    """All control replicas, as one entry reaches them.

    A one-way trip takes `leg_ms`, which may change at any time.
    """

    def __init__(self, leg_ms: float, replicas: list[ModelReplica]):
        self.leg_ms = leg_ms
        self.replicas = {replica.address: replica for replica in replicas}
        self._tasks: anyio.abc.TaskGroup | None = None

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Serve until the block ends."""
        async with anyio.create_task_group() as self._tasks:
            for replica in self.replicas.values():
                self._tasks.start_soon(replica.service.run)
            yield
            self._tasks.cancel_scope.cancel()

    async def connect(
        self, address, conversation, identity, step_timeout_s=STEP_TIMEOUT_S
    ):
        """Open a connection like `cinderway.wire.connect`, with its round trips."""
        replica = self.replicas[address]
        await self._travel(replica, TCP_LEGS, step_timeout_s, Step.CONNECT)
        await self._travel(replica, HELLO_LEGS, step_timeout_s, Step.HELLO)
        near = _End(address, replica, self)
        near.other = _End(identity.name, replica, self, other=near)
        replica.connections += 1
        self._tasks.start_soon(replica.service._serve, near.other, identity.name)
        return near

    async def _travel(self, replica, legs, timeout_s, step):
        try:
            with anyio.fail_after(timeout_s):
                await anyio.sleep(legs * self.leg_ms / 1000)
                if not replica.has_power:
                    await anyio.sleep_forever()
        except TimeoutError as error:
            raise CinderwayError(
                ErrorCode.PEER_UNREACHABLE,
                "timed out",
                step=step,
                peer=replica.address,
            ) from error
