"""The shared in-memory state of an entry; each controller writes its own part.

table, routes     written by the controller that follows the table
services          each service's servers, queue and retry budget: rebuilt from the
                  table; the request handler updates the counters
ejected, leaving  written by the controllers for ejection and draining
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._ids import DataHall, EntryName, ServerName, ServiceName
from cinderway.entry._limit_watch import LimitWatch
from cinderway.entry._uplink_log import UplinkLog
from cinderway.limits import Admission, RetryBudget
from cinderway.membership import Fleet
from cinderway.pushback import (
    EntryGroup,
    PushbackStore,
    ServerLimits,
    ServerPushback,
)
from cinderway.reachability import Observation, Uplinks, UplinkState
from cinderway.routing import GoodAnswers, RouteTable, UnservedShare, decayed_load
from cinderway.scheduling import WorkClass, WorkMix
from cinderway.table import ServerRow, ServiceRow, Table


@dataclass
class ServerState:
    """What this entry knows about one backend server."""

    row: ServerRow
    in_flight: int = 0
    # Requests that all entries of the fleet have in flight there, as far as known.
    fleet_in_flight: int = 0
    # The last load that the server or another entry reported, plus the requests sent
    # since then.
    known_load: float = 0.0
    load_known_at_ms: int = 0
    reports_load: bool = False
    answers: GoodAnswers = field(default_factory=GoodAnswers)
    # Pushback that the server itself asked for, in answers to this entry or to others.
    pushback: ServerPushback = field(default_factory=ServerPushback)
    is_listed_leaving: bool = False
    pause_until_ms: int = 0
    # Set after it failed a request of this entry or of another one in the data hall.
    suspect_until_ms: int = 0
    # The server has announced that it is slow (warming up) until then.
    warm_until_ms: int = 0
    # When the slow start of a server that joined while this entry was running began; 0
    # if the server has none.
    joined_at_ms: int = 0
    is_ejected: bool = False
    is_held_by_floor: bool = False

    def load_at(self, now_ms: int) -> float:
        """Estimate the load, as a share of the server's slots; 0 if it is unknown.

        A server that hangs reports nothing and its last reported load decays, whereas
        the entries' requests in flight still count in full.
        """
        in_flight = self.fleet_in_flight / self.row.slots
        return max(self.reported_load_at(now_ms), in_flight)

    def reported_load_at(self, now_ms: int) -> float:
        """Return the last reported load, decayed by age, as a share of the slots."""
        return decayed_load(self.known_load, now_ms - self.load_known_at_ms)

    def begin_request(self) -> None:
        """Count a request that is sent to the server."""
        self.in_flight += 1
        self.fleet_in_flight += 1

    def end_request(self) -> None:
        """Count the end of a request, whatever its outcome."""
        self.in_flight -= 1
        # The control replica's last count may not have included this request.
        self.fleet_in_flight = max(self.fleet_in_flight - 1, self.in_flight)

    def record_load(self, load: float, now_ms: int) -> None:
        """Record a load that was reported by the server or by another entry."""
        self.known_load = load
        self.load_known_at_ms = now_ms
        self.reports_load = True

    def unproven_at(self, now_ms: int) -> float:
        """Return how little speaks for it that it does not fail now, from 0 to 1."""
        return self.answers.compute_unproven(now_ms, self.suspect_until_ms)

    def accepts_requests(self, now_ms: int) -> bool:
        """Whether the server accepts new requests, regardless of ejection.

        The first source to say that the server is leaving decides: its own signal, the
        platform's list, or the operator's setting in the table.
        """
        return (
            self.row.accepts_requests
            and not self.pushback.has_announced_leaving(now_ms)
            and not self.is_listed_leaving
        )

    share: float = 1.0
    probes_per_s: float = 0.0
    next_probe_at_ms: int = 0


@dataclass
class ServiceState:
    """What this entry knows about one service."""

    row: ServiceRow
    budget: RetryBudget
    servers: dict[ServerName, ServerState] = field(default_factory=dict)
    admission: Admission = field(default_factory=Admission)
    slot_freed: anyio.Event = field(default_factory=anyio.Event)
    background_probes_per_s: float = 0.0
    unserved: UnservedShare = field(default_factory=UnservedShare)
    # Whether requests that run at most once may use kept-alive connections, and servers
    # that this entry is connected to are preferred.
    reuses_connections: bool = False

    def free_slot(self) -> None:
        """Wake the requests that are waiting for a slot."""
        self.slot_freed.set()
        self.slot_freed = anyio.Event()


@dataclass
class Blackboard:
    """The state of one entry."""

    name: EntryName
    data_hall: DataHall
    rng: random.Random
    table: Table = field(default_factory=Table)
    fleet: Fleet = field(default_factory=Fleet)
    routes: RouteTable = field(default_factory=lambda: RouteTable([]))
    services: dict[ServiceName, ServiceState] = field(default_factory=dict)
    # The services that work of different kinds or urgency shares; none in table mode.
    mixes: dict[ServiceName, WorkMix] = field(default_factory=dict)
    # Kept apart from the servers above, whose states are created again whenever they
    # are listed again.
    pushback: PushbackStore = field(default_factory=PushbackStore)
    limits: LimitWatch = field(init=False)
    # Whether this entry can connect to the servers of each service at all.
    uplinks: Uplinks = field(default_factory=Uplinks)
    is_table_trusted: bool = False
    is_leaving: bool = False
    # When a stopping entry ends the requests that are left.
    end_at_ms: int | None = None
    in_flight: int = 0
    # Number of entries in the fleet, including this one, as far as known. Limits that a
    # server sets for all callers together, such as connections, are divided by it.
    entry_count: int = 1
    # Called with each server whose load or requests in flight changed, if entries share
    # that information.
    on_load_change: Callable[[ServerName], None] | None = None
    # Called with each server that rejected a request as overloaded, if entries share
    # that information.
    on_rejection: Callable[[ServerName], None] | None = None
    # Called with each server that gave this entry a good answer.
    on_good_answer: Callable[[ServerName], None] | None = None
    table_changed: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self):
        self.pushback.entry = self.name
        self.limits = LimitWatch(self.pushback)
        self.uplinks.count_servers = self._count_servers
        self.uplinks.listeners.append(UplinkLog(self.uplinks).record_change)

    def _count_servers(self, service: ServiceName) -> int:
        return len(self.services[service].servers) if service in self.services else 0

    def count_cut_off_services(self) -> int:
        """Return of how many services this entry can connect to no server."""
        return len(self.uplinks.find_in_state(UplinkState.CUT_OFF))

    def defer(self, server: ServerName, record: Observation) -> None:
        """Record a failure at a server once this entry is known to reach others."""
        for name, service in self.services.items():
            if server in service.servers:
                self.uplinks.of(name).defer(record)

    def find_mixed_class(self, work: WorkClass | None) -> WorkClass | None:
        """Return a class of work if others carry traffic beside it, else None."""
        mix = None if work is None else self.mixes.get(work.service)
        return work if mix is not None and mix.is_mixed else None

    def wake_waiting_requests(self) -> None:
        """Let all requests that are waiting for a slot check again."""
        for service in self.services.values():
            service.free_slot()

    def receive_limits(self, reported: ServerLimits, now_ms: int) -> None:
        """Apply the servers' rate limits that other processes learned of."""
        listed = {
            name: server.pushback
            for service in self.services.values()
            for name, server in service.servers.items()
        }
        self.limits.receive_limits(reported, listed, now_ms)
        self.wake_waiting_requests()

    def apply_group(self, group: EntryGroup, now_ms: int) -> None:
        """Apply the group of entries that share the servers' rate limits."""
        self.limits.apply_group(group, now_ms)
        # All groups are about the same size, since entries choose the nearest of many
        # replicas.
        self.entry_count = max(len(group.entries) * len(group.groups), 1)
        self.wake_waiting_requests()

    def refresh_from_table(self, now_ms: int) -> None:
        """Rebuild the state that is derived from the current table."""
        rows = {row.name: row for row in self.table.services()}
        self.routes = RouteTable(list(rows.values()))
        self.refresh_services(rows, self.table.servers_of, now_ms)

    def refresh_services(
        self,
        rows: dict[ServiceName, ServiceRow],
        servers_of: Callable[[ServiceName], dict[ServerName, ServerRow]],
        now_ms: int,
    ) -> None:
        """Update services and servers from their rows, keeping what was learned."""
        for name in self.services.keys() - rows.keys():
            del self.services[name]
        self.uplinks.keep_only(rows)
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
        # Servers that are listed when this entry learns of the service get no slow
        # start: they were running before.
        joined_at_ms = now_ms if state.servers else 0
        for server in servers.values():
            known = state.servers.get(server.name)
            if known is None or known.row.address != server.address:
                state.servers[server.name] = ServerState(
                    server,
                    joined_at_ms=joined_at_ms,
                    answers=GoodAnswers.of_listed_server(
                        now_ms, has_joined=bool(joined_at_ms)
                    ),
                    pushback=self.pushback.of(server.name),
                )
            else:
                known.row = server
        state.free_slot()
