"""Call the leader of a replicated group."""

import anyio
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.wire._codec import Conversation, Message
from cinderway.wire._connection import Identity
from cinderway.wire._failure import Failure
from cinderway.wire._rpc import RpcClient

RETRY_PAUSE_S = 0.05
CALL_TIMEOUT_S = 3.0


class GroupClient:
    """Calls the leader of a group and finds the new one when it changes.

    A call is retried if no connection could be opened or the replica answered that it
    is not the leader; repeatable requests (`is_repeatable`) also after a lost answer.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        conversation: Conversation,
        identity: Identity,
        tasks: TaskGroup,
    ):
        self._addresses = addresses
        self._conversation = conversation
        self._identity = identity
        self._tasks = tasks
        self._clients: dict[str, RpcClient] = {}
        self._leader = addresses[0]

    async def call(
        self, message: Message, deadline_ms: int, *, is_repeatable: bool = True
    ) -> Message:
        """Return the leader's answer; raises the last error at the deadline."""
        failure = CinderwayError(
            ErrorCode.DEADLINE_PASSED,
            "the deadline passed before the call was sent",
            step=Step.SEND,
            peer=self._leader,
        )
        while monotonic_ms() < deadline_ms:
            target = self._leader
            try:
                answer = await self._get_client(target).call(
                    message, _timeout_s(deadline_ms)
                )
            except CinderwayError as error:
                if not is_repeatable and error.step is not Step.CONNECT:
                    raise
                failure = error
                self._leader = self._next_address(target)
            else:
                if not isinstance(answer, Failure):
                    return answer
                failure = answer.error(target)
                if failure.code is not ErrorCode.NOT_LEADER:
                    raise failure
                self._leader = answer.leader or self._next_address(target)
            await anyio.sleep(RETRY_PAUSE_S)
        raise failure

    def _get_client(self, address: str) -> RpcClient:
        client = self._clients.get(address)
        if client is None:
            client = RpcClient(address, self._conversation, self._identity)
            self._clients[address] = client
            self._tasks.start_soon(client.run)
        return client

    def _next_address(self, address: str) -> str:
        if address not in self._addresses:
            return self._addresses[0]
        position = self._addresses.index(address)
        return self._addresses[(position + 1) % len(self._addresses)]


def _timeout_s(deadline_ms: int) -> float:
    remaining_s = max(deadline_ms - monotonic_ms(), 1) / 1000
    return min(remaining_s, CALL_TIMEOUT_S)
