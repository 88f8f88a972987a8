"""Read the platform's list of live and leaving instances.

    GET URL -> {"instances": [{"name": "suva-1", "address": "10.0.1.9:7000",
                               "state": "live"}, …]}

The list lags behind reality. For an entry it decides only how long to wait once that
entry has gone silent; for a backend server, only whether it is leaving. Absence from
the list is never taken as failure.
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

READ_INTERVAL_S = 1.0
READ_TIMEOUT_S = 2.0
# After this many failed reads in a row the last list is discarded.
MAX_FAILURES = 10


class InstanceState(Enum):
    """The state that the platform lists for an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance of the list; other fields of the platform are ignored."""

    name: EntryName
    address: Address
    state: InstanceState


class PlatformList(msgspec.Struct, frozen=True):
    """The whole list."""

    instances: list[ListedInstance]


def apply_list(board: Blackboard, listed: PlatformList | None) -> None:
    """Apply the list to the board; None reverts its effects."""
    instances = listed.instances if listed else []
    names = frozenset(instance.name for instance in instances)
    board.fleet.apply_platform_list(names if listed else None)
    leaving = {i.address for i in instances if i.state is InstanceState.LEAVING}
    for service in board.services.values():
        for server in service.servers.values():
            server.is_listed_leaving = server.row.address in leaving


@dataclass
class PlatformReader:
    """Polls the platform's list and applies it to the board."""

    board: Blackboard
    url: str
    failures: int = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        if not self.url:
            return
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while True:
                await self._fetch_list(pool)
                await anyio.sleep(READ_INTERVAL_S)

    async def _fetch_list(self, pool: httpcore.AsyncConnectionPool) -> None:
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
            if self.failures == MAX_FAILURES:
                logger.warning("cannot read the platform's list: %s", error)
                apply_list(self.board, None)
            return
        self.failures = 0
        apply_list(self.board, listed)
