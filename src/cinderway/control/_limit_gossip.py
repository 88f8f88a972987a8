"""Distributes the rate limits of backend servers to replicas and entries."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, ServerName
from cinderway.catalog import CATALOG, CatalogMachine
from cinderway.control._commands import ReplicaCalls
from cinderway.control._follower import Follower
from cinderway.control._tellings import BestEffortSender
from cinderway.pushback import RateLimitStore, ServerLimits

REPLICA_SEND_TIMEOUT_S = 1.0
# Recent limits are sent to the other replicas again, for those that were partitioned.
RESEND_PERIOD_S = 5.0
RESEND_FOR_MS = 20_000


@dataclass
class LimitGossip:
    """Forwards the rate limits that entries have received from servers."""

    own_address: Address
    machine: CatalogMachine
    calls: ReplicaCalls
    followers: Callable[[], set[Follower]]
    store: RateLimitStore = field(default_factory=RateLimitStore)
    _pending_servers: set[ServerName] = field(default_factory=set)
    # Those reported by entries that follow here; they also go to other replicas.
    _pending_for_replicas: set[ServerName] = field(default_factory=set)
    _update_pending: anyio.Event = field(default_factory=anyio.Event)
    _sender: BestEffortSender = field(init=False)

    def __post_init__(self):
        self._sender = BestEffortSender(self.calls, REPLICA_SEND_TIMEOUT_S)

    async def run(self) -> None:
        """Forward new limits until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._sender.start(tasks)
            tasks.start_soon(self._resend_recent)
            while True:
                await self._update_pending.wait()
                self._update_pending = anyio.Event()
                self._send_pending(monotonic_ms())

    def receive_entry_limits(self, message: ServerLimits) -> None:
        """Receive limits from an entry that follows this replica."""
        self._pending_for_replicas.update(self._record_limits(message))

    def receive_replica_limits(self, message: ServerLimits) -> None:
        """Receive limits from another replica; they are forwarded to entries only."""
        self._record_limits(message)

    def limits(self) -> ServerLimits:
        """Return all known limits, for an entry that begins to follow."""
        now_ms = monotonic_ms()
        return ServerLimits.of(self.store.get_valid(now_ms), now_ms)

    def _record_limits(self, message: ServerLimits) -> list[ServerName]:
        """Record newer limits; return the servers whose change has to be forwarded."""
        now_ms = monotonic_ms()
        changed = [
            line.server
            for line in message.lines
            if self.store.record_limit(line.server, line.limit(now_ms))
        ]
        if changed:
            self._pending_servers.update(changed)
            self._update_pending.set()
        return changed

    def _send_pending(self, now_ms: int) -> None:
        pending, self._pending_servers = self._pending_servers, set()
        frame = CATALOG.encode(self._build_message(pending, now_ms))
        for follower in self.followers():
            follower.queue_frames([frame])
        for_replicas, self._pending_for_replicas = self._pending_for_replicas, set()
        if for_replicas:
            self._send_to_replicas(self._build_message(for_replicas, now_ms))

    def _build_message(self, servers: set[ServerName], now_ms: int) -> ServerLimits:
        held = self.store.get_valid(now_ms)
        return ServerLimits.of({s: held[s] for s in servers & held.keys()}, now_ms)

    async def _resend_recent(self) -> None:
        while True:
            await anyio.sleep(RESEND_PERIOD_S)
            now_ms = monotonic_ms()
            recent = {
                server: limit
                for server, limit in self.store.get_valid(now_ms).items()
                if now_ms - limit.received_at_ms < RESEND_FOR_MS
            }
            if recent:
                self._send_to_replicas(ServerLimits.of(recent, now_ms))

    def _send_to_replicas(self, message: ServerLimits) -> None:
        other_replicas = [a for a in self.machine.replicas if a != self.own_address]
        self._sender.send(other_replicas, message)
