"""Submits commands for the catalog to the leader, and calls other replicas."""

from dataclasses import dataclass, field

import anyio

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address
from cinderway.catalog import (
    CATALOG,
    CatalogMachine,
    Command,
    SubmitCommand,
    encode_command,
)
from cinderway.replication import Membership, Node
from cinderway.wire import Failure, Identity, Message, RpcClient

# Operators and servers wait for an answer for a second, then call another replica. A
# commit takes milliseconds, so a group that needs longer has no working leader.
PROPOSE_TIMEOUT_S = 0.9


def compute_voters_needed(membership: Membership, target_voters: int) -> int:
    """Return how many voters a new group needs before it may acknowledge changes.

    With fewer, losing as many disks as the group must tolerate could lose acknowledged
    changes. One machine may be away from the first start on if proven losses count.
    """
    return target_voters - 1 if membership.counts_all_proofs else target_voters


def can_accept_commands(
    membership: Membership, target_voters: int, *, has_sheet: bool
) -> bool:
    """Whether a group may acknowledge changes.

    Once it has its first route sheet, there are too few voters only while a lost disk
    is being replaced, and that disk counts among the tolerated losses.
    """
    needed = compute_voters_needed(membership, target_voters)
    return has_sheet or len(membership.voters) >= needed


@dataclass
class ReplicaCalls:
    """Calls other replicas, over one persistent connection to each."""

    identity: Identity
    _clients: dict[Address, RpcClient] = field(default_factory=dict)
    _tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Set the task group that connections run in; call it before the first call."""
        self._tasks = tasks

    async def call(
        self, address: Address, message: Message, timeout_s: float
    ) -> Message:
        """Return a replica's answer. Raises CinderwayError."""
        return await self._client_of(address).call(message, timeout_s)

    def _client_of(self, address: Address) -> RpcClient:
        client = self._clients.get(address)
        if client is None:
            client = RpcClient(address, CATALOG, self.identity)
            self._clients[address] = client
            self._tasks.start_soon(client.run)
        return client


@dataclass
class Commands:
    """Replicates commands of operators, servers and replicas for the catalog."""

    node: Node
    machine: CatalogMachine
    calls: ReplicaCalls
    target_voters: int

    async def submit(self, command: Command) -> None:
        """Replicate a command, here or through the leader; return once it is committed.

        Raises CinderwayError; with any code but NOT_LEADER and GROUP_TOO_SMALL the
        command may still take effect.
        """
        data = encode_command(command)
        if self.node.core.is_leader:
            await self.propose(data)
            return
        leader = self.node.leader_address
        if leader is None:
            raise CinderwayError(
                ErrorCode.NO_QUORUM, "this replica knows no leader", step=Step.PROPOSE
            )
        answer = await self.calls.call(leader, SubmitCommand(data), PROPOSE_TIMEOUT_S)
        if isinstance(answer, Failure):
            raise answer.error(leader)

    async def propose(self, data: bytes) -> None:
        """Replicate an encoded command; only the leader can."""
        membership = self.node.core.membership
        if not can_accept_commands(
            membership, self.target_voters, has_sheet=self.machine.has_sheet
        ):
            needed = compute_voters_needed(membership, self.target_voters)
            raise CinderwayError(
                ErrorCode.GROUP_TOO_SMALL,
                f"the group has {len(membership.voters)} voters; {needed} are needed",
                step=Step.PROPOSE,
            )
        await self.node.propose(data, PROPOSE_TIMEOUT_S)
