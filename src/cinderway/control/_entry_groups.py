"""Sends the entries that follow one replica the list of all of them.

Entries divide the rate limits that servers announce by this list. An entry that has
disconnected stays on it for a while: if it was only partitioned it keeps using the part
that it knew of, and if it returns soon nobody else's part has changed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, EntryName
from cinderway.catalog import CATALOG, CatalogMachine
from cinderway.control._follower import Follower
from cinderway.limits import AllowanceRules
from cinderway.limits._allowance_reserve import USABLE_MS
from cinderway.pushback import FleetEntries

# How often the list is checked for changes; many entries connect at the same moment.
CHECK_PERIOD_S = 1.0
# A replica that has just started waits for the entries that followed it before: with a
# list that lacks them each server's rate would be divided among too few.
STARTUP_DELAY_S = 3.0
# How long an entry that has disconnected stays on the list. Most network partitions
# are over by then.
RETENTION_MS = 15_000
# How long it counts when the reserves of client accounts are divided: for as long as it
# uses its part of them, and the time until this replica notices that it has left.
RESERVE_RETENTION_MS = USABLE_MS + 10_000


@dataclass
class EntryGroups:
    """Tracks the entries of one replica and sends the list when it changes."""

    own_address: Address
    machine: CatalogMachine
    followers: Callable[[], set[Follower]]
    # The share of each account's limit that entries use without asking, in percent.
    reserve_percent: int = 0
    allowance_rules: AllowanceRules = AllowanceRules(0)
    _last_seen_ms: dict[EntryName, int] = field(default_factory=dict)
    _last_sent: FleetEntries | None = None
    _sent_to: set[Follower] = field(default_factory=set)

    async def run(self) -> None:
        """Send the list whenever it changes, until cancelled."""
        await anyio.sleep(STARTUP_DELAY_S)
        while True:
            self._send_changes(monotonic_ms())
            await anyio.sleep(CHECK_PERIOD_S)

    def _send_changes(self, now_ms: int) -> None:
        followers = self.followers()
        current = self._build_list(followers, now_ms)
        recipients = (
            followers - self._sent_to if current == self._last_sent else followers
        )
        self._last_sent, self._sent_to = current, set(followers)
        if not recipients:
            return
        frame = CATALOG.encode(current)
        for follower in recipients:
            follower.queue_frames([frame])

    def _build_list(self, followers: set[Follower], now_ms: int) -> FleetEntries:
        for follower in followers:
            self._last_seen_ms[follower.entry] = now_ms
        self._last_seen_ms = {
            name: seen_at_ms
            for name, seen_at_ms in self._last_seen_ms.items()
            if seen_at_ms > now_ms - RESERVE_RETENTION_MS
        }
        retained = {
            name
            for name, seen_at_ms in self._last_seen_ms.items()
            if seen_at_ms > now_ms - RETENTION_MS
        }
        rules = self.allowance_rules
        return FleetEntries(
            self.own_address,
            sorted({self.own_address, *self.machine.replicas}),
            sorted(retained),
            sorted(self._last_seen_ms.keys() - retained),
            self.reserve_percent,
            rules.window_ms,
            rules.overshoot_ratio,
            rules.slack_requests,
        )
