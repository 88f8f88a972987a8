"""Opens connections to servers to find out whether this entry reaches any.

It runs while an uplink is in doubt or cut off, and sets no timer otherwise.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, ServiceName
from cinderway.entry._blackboard import Blackboard
from cinderway.reachability import Uplink, UplinkChange, UplinkState

# Callers' requests open connections too, and settle most doubts within this time.
GRACE_S = 0.02
# A late server alone is mostly just that: answers of others settle the doubt without a
# connection of its own.
SILENCE_GRACE_MS = 250
# Several times a connect between data halls. Servers are tried one after the other at
# this interval, so that usually one connection is opened and not three.
STAGGER_S = 0.025
SERVERS_TRIED = 3
# Interval of the checks while an uplink is cut off.
RECHECK_MS = 300
POLL_S = 0.05


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
    # When each uplink without failing connections was first seen in doubt.
    _silent_since_ms: dict[ServiceName, int] = field(default_factory=dict)

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
        recheck_at_ms = 0
        while True:
            now_ms = monotonic_ms()
            in_doubt = self.board.uplinks.find_in_state(UplinkState.IN_DOUBT)
            cut_off = self.board.uplinks.find_in_state(UplinkState.CUT_OFF)
            if not in_doubt and not cut_off:
                return
            async with anyio.create_task_group() as tasks:
                for uplink in self._select_due(in_doubt, now_ms):
                    servers = self._draw_servers(uplink, SERVERS_TRIED)
                    tasks.start_soon(self._try_servers, uplink, servers)
                if now_ms >= recheck_at_ms:
                    recheck_at_ms = now_ms + RECHECK_MS
                    for uplink in cut_off:
                        servers = self._draw_servers(uplink, 1)
                        tasks.start_soon(self._try_servers, uplink, servers)
            with anyio.move_on_after(POLL_S):
                await self._wake.wait()
            self._wake = anyio.Event()

    def _select_due(self, in_doubt: list[Uplink], now_ms: int) -> list[Uplink]:
        """Return the uplinks to check now; those with late servers alone can wait."""
        self._silent_since_ms = {
            uplink.service: self._silent_since_ms.get(uplink.service, now_ms)
            for uplink in in_doubt
            if not uplink.is_urgent
        }
        return [
            uplink
            for uplink in in_doubt
            if uplink.is_urgent
            or now_ms >= self._silent_since_ms[uplink.service] + SILENCE_GRACE_MS
        ]

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
