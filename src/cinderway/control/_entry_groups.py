"""Tell the entries that follow one replica of each other.

By this they divide the rates that servers name. An entry that is gone keeps its part
for a while: if it was only cut off it goes on by what it knew, and if it is back soon
nobody else's part has changed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, EntryName
from cinderway.catalog import CATALOG, CatalogMachine
from cinderway.control._follower import Follower
from cinderway.pushback import FleetEntries

# Between two looks whether something has changed: many entries come at one moment.
LOOK_PAUSE_S = 1.0
# A replica that has just started waits for the entries that followed it before: by a
# list without them each server's rate would be divided among too few.
SETTLE_S = 3.0
# A part is not given to another for so long. Most cuts are over by then.
KEPT_MS = 15_000


@dataclass
class EntryGroups:
    """The entries of one replica, as they are told."""

    own_address: Address
    machine: CatalogMachine
    followers: Callable[[], set[Follower]]
    _seen_at_ms: dict[EntryName, int] = field(default_factory=dict)
    _told: FleetEntries | None = None
    _told_to: set[Follower] = field(default_factory=set)

    async def run(self) -> None:
        """Tell entries of each other until cancelled."""
        await anyio.sleep(SETTLE_S)
        while True:
            self._look(monotonic_ms())
            await anyio.sleep(LOOK_PAUSE_S)

    def _look(self, now_ms: int) -> None:
        followers = self.followers()
        found = self._entries(followers, now_ms)
        untold = followers - self._told_to if found == self._told else followers
        self._told, self._told_to = found, set(followers)
        if not untold:
            return
        frame = CATALOG.encode(found)
        for follower in untold:
            follower.tell_news([frame])

    def _entries(self, followers: set[Follower], now_ms: int) -> FleetEntries:
        for follower in followers:
            self._seen_at_ms[follower.entry] = now_ms
        began_ms = now_ms - KEPT_MS
        kept = {name: at for name, at in self._seen_at_ms.items() if at > began_ms}
        self._seen_at_ms = kept
        replicas = {self.own_address, *self.machine.replicas}
        return FleetEntries(self.own_address, sorted(replicas), sorted(kept))
