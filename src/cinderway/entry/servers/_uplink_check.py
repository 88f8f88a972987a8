"""Opens connections to servers to find out whether this entry reaches any.

It runs while an uplink is in doubt or cut off, and sets no timer otherwise.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from cinderway._ids import Address, ServiceName
from cinderway.entry._blackboard import Blackboard
from cinderway.reachability import Uplink, UplinkChange, UplinkState

# Callers' requests open connections too, and settle most doubts within this time.
GRACE_S = 0.02
# Several times a connect between data halls. Servers are tried one after the other at
# this interval, so that usually one connection is opened and not three.
STAGGER_S = 0.025
SERVERS_TRIED = 3
# Interval of the checks while an uplink is cut off.
RECHECK_S = 0.3


class CheckedConnections(Protocol):
    """Opens connections and records the results at the uplinks."""

    async def check(self, service: ServiceName, address: Address) -> None:
        """Open a connection to a server and close it."""


@dataclass
class UplinkCheck:
    """Checks the uplinks of one entry."""

    board: Blackboard
    connections: CheckedConnections
    rng: random.Random = field(default_factory=random.Random)
    _wake: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self):
        self.board.uplinks.listeners.append(self._handle_change)

    def _handle_change(self, change: UplinkChange) -> None:
        if change.after is not UplinkState.CONNECTED:
            self._wake.set()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await anyio.sleep(GRACE_S)
            await self._check_until_connected()

    async def _check_until_connected(self) -> None:
        while True:
            in_doubt = self.board.uplinks.find_in_state(UplinkState.IN_DOUBT)
            cut_off = self.board.uplinks.find_in_state(UplinkState.CUT_OFF)
            if not in_doubt and not cut_off:
                return
            async with anyio.create_task_group() as tasks:
                for uplink in in_doubt:
                    servers = self._draw_servers(uplink, SERVERS_TRIED)
                    tasks.start_soon(self._try_servers, uplink, servers)
                for uplink in cut_off:
                    servers = self._draw_servers(uplink, 1)
                    tasks.start_soon(self._try_servers, uplink, servers)
            if not in_doubt:
                with anyio.move_on_after(RECHECK_S):
                    await self._wake.wait()
            self._wake = anyio.Event()

    def _draw_servers(self, uplink: Uplink, count: int) -> list[Address]:
        """Draw random servers; while in doubt, those that have not failed yet."""
        service = self.board.services.get(uplink.service)
        if service is None:
            return []
        addresses = [
            server.row.address
            for server in service.servers.values()
            if uplink.is_cut_off or server.row.address not in uplink.unreachable
        ]
        return self.rng.sample(addresses, min(count, len(addresses)))

    async def _try_servers(self, uplink: Uplink, servers: Iterable[Address]) -> None:
        async with anyio.create_task_group() as tasks:
            for address in servers:
                if uplink.state is UplinkState.CONNECTED:
                    break
                tasks.start_soon(self.connections.check, uplink.service, address)
                await anyio.sleep(STAGGER_S)
