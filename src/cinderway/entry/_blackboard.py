"""The entry's whole state in one place; controllers read it and write their part.

table, routes     written by the table controller
services          each service's servers, queue and budget: rebuilt from the
                  table, counted by the request handler
ejected, leaving  written by the judgement and draining controllers
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._ids import DataHall, EntryName, ServerName, ServiceName
from cinderway.entry._limit_watch import LimitWatch
from cinderway.limits import Admission, RetryBudget
from cinderway.membership import Fleet
from cinderway.pushback import (
    EntryGroup,
    PushbackBook,
    ServerLimits,
    ServerPushback,
)
from cinderway.routing import RouteTable, faded_load
from cinderway.table import ServerRow, ServiceRow, Table


@dataclass
class ServerState:
    """What this entry knows of one backend server."""

    row: ServerRow
    in_flight: int = 0
    # What all entries of the fleet have under way there, as far as known.
    fleet_in_flight: int = 0
    # The last load known, by its own word or another entry's, and what was sent since.
    known_load: float = 0.0
    load_known_at_ms: int = 0
    tells_load: bool = False
    # What it asked for by its own word, heard here or by another entry.
    pushback: ServerPushback = field(default_factory=ServerPushback)
    is_listed_leaving: bool = False
    pause_until_ms: int = 0
    # It has just failed a request, here or elsewhere in the hall.
    suspect_until_ms: int = 0
    # By the server's own word it is slow until then.
    warm_until_ms: int = 0
    # Slow start of a server that joined while this entry ran; 0 if there is none.
    joined_at_ms: int = 0
    is_ejected: bool = False
    is_held_by_floor: bool = False

    def load_at(self, now_ms: int) -> float:
        """How full it probably is, as a share of its slots; 0 if that is unknown.

        A server that hangs tells nothing, and its last load fades; what entries still
        have under way there does not.
        """
        in_flight = self.fleet_in_flight / self.row.slots
        return max(self.told_load_at(now_ms), in_flight)

    def told_load_at(self, now_ms: int) -> float:
        """What is left of the last load told, as a share of its slots."""
        return faded_load(self.known_load, now_ms - self.load_known_at_ms)

    def begin_request(self) -> None:
        """Count a request that goes out."""
        self.in_flight += 1
        self.fleet_in_flight += 1

    def end_request(self) -> None:
        """Count a request that is over, however it ended."""
        self.in_flight -= 1
        # The replica's last word may have been without it.
        self.fleet_in_flight = max(self.fleet_in_flight - 1, self.in_flight)

    def note_load(self, load: float, now_ms: int) -> None:
        """Take over a load that was told by the server or by another entry."""
        self.known_load = load
        self.load_known_at_ms = now_ms
        self.tells_load = True

    def takes_work(self, now_ms: int) -> bool:
        """Whether new requests may go there, ejection left aside.

        Whichever says first that it leaves counts: its own signal, the platform's
        list, or the operator's cell.
        """
        return (
            self.row.takes_work
            and not self.pushback.leaves(now_ms)
            and not self.is_listed_leaving
        )

    share: float = 1.0
    probes_per_s: float = 0.0
    next_probe_at_ms: int = 0


@dataclass
class ServiceState:
    """What this entry knows of one service."""

    row: ServiceRow
    budget: RetryBudget
    servers: dict[ServerName, ServerState] = field(default_factory=dict)
    admission: Admission = field(default_factory=Admission)
    slot_freed: anyio.Event = field(default_factory=anyio.Event)
    background_probes_per_s: float = 0.0

    def free_slot(self) -> None:
        """Wake the requests that wait for a slot."""
        self.slot_freed.set()
        self.slot_freed = anyio.Event()


@dataclass
class Blackboard:
    """State of one entry."""

    name: EntryName
    data_hall: DataHall
    rng: random.Random
    table: Table = field(default_factory=Table)
    fleet: Fleet = field(default_factory=Fleet)
    routes: RouteTable = field(default_factory=lambda: RouteTable([]))
    services: dict[ServiceName, ServiceState] = field(default_factory=dict)
    # Outlives the servers above, which are made anew whenever they are listed anew.
    pushback: PushbackBook = field(default_factory=PushbackBook)
    limits: LimitWatch = field(init=False)
    is_table_trusted: bool = False
    is_leaving: bool = False
    in_flight: int = 0
    # Entries of the fleet, this one included, as far as known: what servers take of all
    # callers together, such as connections, is divided by it.
    entry_count: int = 1
    # Told of each server whose load or requests in flight have changed, where entries
    # share that.
    on_load: Callable[[ServerName], None] | None = None
    # Told of each server that turned a request away, where entries share that.
    on_turned_away: Callable[[ServerName], None] | None = None
    # Told of each server that answered this entry well.
    on_good_answer: Callable[[ServerName], None] | None = None
    table_changed: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self):
        self.pushback.entry = self.name
        self.limits = LimitWatch(self.pushback)

    def wake_waiting(self) -> None:
        """Let all requests that wait for a slot look again."""
        for service in self.services.values():
            service.free_slot()

    def hear_limits(self, told: ServerLimits, now_ms: int) -> None:
        """Take over what others heard of the rates that servers name."""
        listed = {
            name: server.pushback
            for service in self.services.values()
            for name, server in service.servers.items()
        }
        self.limits.hear(told, listed, now_ms)
        self.wake_waiting()

    def use_group(self, group: EntryGroup, now_ms: int) -> None:
        """Take over which entries divide servers' rates with this one."""
        self.limits.use_group(group, now_ms)
        # Groups are of about one size: entries choose the nearest of many replicas.
        self.entry_count = max(len(group.entries) * len(group.groups), 1)
        self.wake_waiting()

    def refresh_from_table(self, now_ms: int) -> None:
        """Bring the derived state in line with the table in force."""
        rows = {row.name: row for row in self.table.services()}
        self.routes = RouteTable(list(rows.values()))
        self.refresh_services(rows, self.table.servers_of, now_ms)

    def refresh_services(
        self,
        rows: dict[ServiceName, ServiceRow],
        servers_of: Callable[[ServiceName], dict[ServerName, ServerRow]],
        now_ms: int,
    ) -> None:
        """Bring services and servers in line with their rows; what is known stays."""
        for name in self.services.keys() - rows.keys():
            del self.services[name]
        for name, row in rows.items():
            self._refresh_service(row, servers_of(name), now_ms)
        self.table_changed.set()
        self.table_changed = anyio.Event()

    def _refresh_service(
        self, row: ServiceRow, servers: dict[ServerName, ServerRow], now_ms: int
    ) -> None:
        state = self.services.get(row.name)
        if state is None:
            state = ServiceState(row, RetryBudget(row.retry_percent))
            self.services[row.name] = state
        state.row = row
        state.budget.percent = row.retry_percent
        for gone in state.servers.keys() - servers.keys():
            del state.servers[gone]
        # Servers that were there before this entry are not starting now.
        joined_at_ms = now_ms if state.servers else 0
        for server in servers.values():
            known = state.servers.get(server.name)
            if known is None or known.row.address != server.address:
                state.servers[server.name] = ServerState(
                    server,
                    joined_at_ms=joined_at_ms,
                    pushback=self.pushback.of(server.name),
                )
            else:
                known.row = server
        state.free_slot()
