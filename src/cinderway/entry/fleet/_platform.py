"""Read the platform's list of live and leaving instances, which lags.

    GET URL -> {"instances": [{"name": "suva-1", "address": "10.0.1.9:7000",
                               "state": "live"}, …]}

The list says of an entry only how long to wait for it once it is silent, and of a
backend server that it is leaving. What it leaves out is never taken for dead.
"""

import logging
from dataclasses import dataclass
from enum import Enum

import anyio
import httpcore
import msgspec

from cinderway._ids import Address, EntryName
from cinderway.entry._blackboard import Blackboard

logger = logging.getLogger(__name__)

READ_PAUSE_S = 1.0
READ_TIMEOUT_S = 2.0
# A list that cannot be read for this many times in a row is not used any longer.
FAILURES_TO_FORGET = 10


class InstanceState(Enum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance of the list; fields of the platform's that we do not use go."""

    name: EntryName
    address: Address
    state: InstanceState


class PlatformList(msgspec.Struct, frozen=True):
    """The whole list."""

    instances: list[ListedInstance]


def apply_list(board: Blackboard, listed: PlatformList | None) -> None:
    """Write what the list says to the board; None takes it back."""
    instances = listed.instances if listed else []
    names = frozenset(instance.name for instance in instances)
    board.fleet.set_listed(names if listed else None)
    leaving = {i.address for i in instances if i.state is InstanceState.LEAVING}
    for service in board.services.values():
        for server in service.servers.values():
            server.is_listed_leaving = server.row.address in leaving


@dataclass
class PlatformReader:
    """Keeps the board in line with the platform's list."""

    board: Blackboard
    url: str
    failures: int = 0

    async def run(self) -> None:
        """Read until cancelled."""
        if not self.url:
            return
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while True:
                await self._read_once(pool)
                await anyio.sleep(READ_PAUSE_S)

    async def _read_once(self, pool: httpcore.AsyncConnectionPool) -> None:
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                answer = await pool.request("GET", self.url)
            listed = msgspec.json.decode(answer.content, type=PlatformList)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            msgspec.DecodeError,
            TimeoutError,
        ) as error:
            self.failures += 1
            if self.failures == FAILURES_TO_FORGET:
                logger.warning("the platform's list cannot be read: %s", error)
                apply_list(self.board, None)
            return
        self.failures = 0
        apply_list(self.board, listed)
