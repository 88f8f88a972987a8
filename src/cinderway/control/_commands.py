"""Bring commands for the catalog to the leader, and call other replicas."""

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
from cinderway.replication import Node
from cinderway.wire import Failure, Identity, Message, RpcClient

# An operator's or server's call waits a second for its answer; then it goes elsewhere.
PROPOSE_TIMEOUT_S = 2.5


def may_take_commands(voters: int, least_voters: int, has_sheet: bool) -> bool:
    """Whether a group may acknowledge changes.

    While it forms, only once enough replicas vote: with fewer, losing as many disks as
    the fleet is to bear could lose what is acknowledged. Later, fewer vote only while a
    lost disk is being replaced, and that one counts among those to bear.
    """
    return has_sheet or voters >= least_voters


@dataclass
class ReplicaCalls:
    """Calls to other replicas, over one connection to each that stays open."""

    identity: Identity
    _clients: dict[Address, RpcClient] = field(default_factory=dict)
    _tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Take the task group that connections are kept in; before the first call."""
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
    """Commands of operators, servers and replicas that change the catalog."""

    node: Node
    machine: CatalogMachine
    calls: ReplicaCalls
    least_voters: int

    async def submit(self, command: Command) -> None:
        """Replicate a command, here or by the leader; return once it is committed.

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
                ErrorCode.NO_QUORUM, "no leader is known here", step=Step.PROPOSE
            )
        answer = await self.calls.call(leader, SubmitCommand(data), PROPOSE_TIMEOUT_S)
        if isinstance(answer, Failure):
            raise answer.error(leader)

    async def propose(self, data: bytes) -> None:
        """Replicate an encoded command, on the leader alone."""
        voters = len(self.node.core.membership.voters)
        if not may_take_commands(voters, self.least_voters, self.machine.has_sheet):
            raise CinderwayError(
                ErrorCode.GROUP_TOO_SMALL,
                f"{voters} voters; {self.least_voters} are needed",
                step=Step.PROPOSE,
            )
        await self.node.propose(data, PROPOSE_TIMEOUT_S)
