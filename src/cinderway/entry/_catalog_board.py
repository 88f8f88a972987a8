"""The state of an entry that routes by the catalog, with its copy of the catalog.

Services and servers on the blackboard are rebuilt from the copy; verdicts of the
control replica that the entry follows are then applied to them.
"""

from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, DataHall, ServerName, ServiceName
from cinderway.catalog import (
    NO_GOOD_ANSWER,
    NO_LOAD,
    AccountIndex,
    AccountRow,
    CatalogMirror,
    CatalogUpdate,
    HallEntries,
    RegisteredServer,
    RouteIndex,
    RouteSheet,
    ServerLoad,
    ServerLoads,
    ServerStatus as Status,
    SuspectServers,
    VerdictBatch,
    find_services_with_mixed_work,
)
from cinderway.entry._blackboard import Blackboard, ServerState
from cinderway.entry._poison_watch import PoisonWatch
from cinderway.judgement import (
    IN_FLIGHT_MS,
    SUSPICION_MS,
    EvidenceLog,
    FailureKind,
    Pace,
    Suspicions,
)
from cinderway.limits import RetryBudget
from cinderway.poison import RequestRulings, RequestRuns
from cinderway.pushback import FleetEntries, ServerLimits
from cinderway.reachability import RelayPeers
from cinderway.scheduling import WorkMix, find_shared_services
from cinderway.table import ServerRow, ServerState as ListedState, ServiceRow
from cinderway.wire import Message

# Share of a server's weight that applies if no verdict sets another one.
FULL_SHARE = 1.0
# Retries that an entry without a control replica can accumulate.
LONE_RETRY_MAXIMUM = 1.0


@dataclass
class CatalogBoard:
    """An entry's state in catalog mode."""

    board: Blackboard
    evidence: EvidenceLog
    lone_retry_percent: int
    mirror: CatalogMirror = field(default_factory=CatalogMirror)
    routes: RouteIndex | None = None
    # None if the sheet has no accounts: requests then need no key.
    accounts: AccountIndex | None = None
    # When the followed replica last had the newest catalog.
    current_at_ms: int = 0
    activity: anyio.Event = field(default_factory=anyio.Event)
    has_alarms: anyio.Event = field(default_factory=anyio.Event)
    loads_changed: anyio.Event = field(default_factory=anyio.Event)
    poison: PoisonWatch = field(default_factory=PoisonWatch)
    # Addresses at which the data hall's entries reach each other while control is
    # unreachable.
    peers: list[Address] = field(default_factory=list)
    # The entries that can relay this one's requests.
    relay_peers: RelayPeers = field(default_factory=RelayPeers)
    # Servers with a line in the last verdicts; all others are healthy.
    _servers_with_verdicts: set[ServerName] = field(default_factory=set)
    _unreported_suspects: dict[ServerName, int] = field(default_factory=dict)
    # Servers that rejected requests of this entry, and until when to avoid each; not
    # reported yet.
    _unreported_rejections: dict[ServerName, int] = field(default_factory=dict)
    has_rejections: anyio.Event = field(default_factory=anyio.Event)
    # Servers whose load is to be reported to the data hall, in order of the changes.
    _unreported_loads: dict[ServerName, None] = field(default_factory=dict)
    _account_rows: list[AccountRow] | None = None
    _routes_received: anyio.Event = field(default_factory=anyio.Event)
    _suspicions: Suspicions = field(default_factory=Suspicions)
    _mixed_services: frozenset[ServiceName] = frozenset()

    def __post_init__(self):
        self.evidence.on_alarm = self.record_alarm
        self.evidence.on_late_answer = self.record_late_answer
        self.board.on_load_change = self._record_load_change
        self.board.on_rejection = self._record_rejection
        self.board.on_good_answer = self._suspicions.record_good
        self.poison.on_refusal = self.board.wake_waiting_requests
        self.poison.defer = self.board.defer

    @property
    def is_ready(self) -> bool:
        """Whether this entry can serve callers."""
        return self.routes is not None and not self.board.is_leaving

    async def wait_for_routes(self, until_ms: int) -> None:
        """Wait for a route sheet, at most until `until_ms`."""
        if self.routes is not None:
            return
        with anyio.move_on_after(max(until_ms - monotonic_ms(), 0) / 1000):
            await self._routes_received.wait()

    def prefers_proven_servers(self, service: ServiceName) -> bool:
        """Whether run-once requests to a service prefer servers that answer well.

        They do where work of different kinds or of accounts shares the service, unless
        many of its requests go unserved: then work is spread over all servers that are
        not known to fail.
        """
        state = self.board.services.get(service)
        if state is None or state.unserved.is_high:
            return False
        return service in self._mixed_services

    def age_ms(self, now_ms: int) -> int:
        """Return the maximum age of this entry's copy of the catalog."""
        return now_ms - self.current_at_ms

    def record_activity(self) -> None:
        """Wake the task that reports evidence."""
        self.activity.set()

    def record_alarm(self, server: ServerName, kind: FailureKind) -> None:
        """Suspect a server that failed a request of this entry or is late with one."""
        until_ms = self._suspicions.record_alarm(server, kind, monotonic_ms())
        if until_ms is not None:
            self._unreported_suspects[server] = until_ms
            self.suspect(server, until_ms)
        self.has_alarms.set()

    def record_late_answer(self, server: ServerName) -> None:
        """End the suspicion of a server that was late but does not hang."""
        if self._suspicions.record_late_answer(server):
            self.clear_suspicion(server)
        self.has_alarms.set()

    def suspect(self, server: ServerName, until_ms: int) -> None:
        """Use a server only if no better one is free, until the given time."""
        state = self._find_server(server)
        if state is not None:
            state.suspect_until_ms = max(state.suspect_until_ms, until_ms)

    def clear_suspicion(self, server: ServerName) -> None:
        """End the suspicion of a server before it expires."""
        state = self._find_server(server)
        if state is not None:
            state.suspect_until_ms = 0

    def _find_server(self, server: ServerName) -> ServerState | None:
        registered = self.mirror.servers.get(server)
        if registered is None or registered.service not in self.board.services:
            return None
        return self.board.services[registered.service].servers[server]

    def _record_load_change(self, server: ServerName) -> None:
        self._unreported_loads[server] = None
        self.loads_changed.set()

    def pop_loads(self, now_ms: int) -> ServerLoads:
        """Return the current loads of the servers that changed since the last call."""
        changed, self._unreported_loads = self._unreported_loads, {}
        # An event that is not set may have waiters: it must not be replaced.
        if self.loads_changed.is_set():
            self.loads_changed = anyio.Event()
        states = filter(None, map(self._find_server, changed))
        return ServerLoads([_build_server_load(state, now_ms) for state in states])

    def _record_rejection(self, server: ServerName) -> None:
        """Suspect a server that rejects requests, and report it to the data hall.

        Such a server is idle and reports a low load: by load alone every entry would
        choose it first, and requests would be refused while other servers have free
        slots. The suspicion lasts SUSPICION_MS, whatever pause the server asked this
        entry for: what it asked of one entry is only a hint to the others, and a
        server that asks every entry for an hour stays in use.
        Nothing is reported if the hall learned of the server a moment ago, so that
        under overload the number of reports grows with the number of servers, not with
        the number of requests that they reject.
        """
        state = self._find_server(server)
        until_ms = monotonic_ms() + SUSPICION_MS
        if state is None or until_ms < state.suspect_until_ms + IN_FLIGHT_MS:
            return
        self.suspect(server, until_ms)
        self._unreported_suspects[server] = self._unreported_rejections[server] = (
            until_ms
        )
        self.has_rejections.set()

    def pop_rejecting_servers(self, now_ms: int) -> SuspectServers:
        """Return the servers that rejected requests since the last call."""
        found, self._unreported_rejections = self._unreported_rejections, {}
        # An event that is not set may have waiters: it must not be replaced.
        if self.has_rejections.is_set():
            self.has_rejections = anyio.Event()
        return _build_suspects(found, now_ms)

    def reset_for_new_replica(self) -> None:
        """Prepare for another control replica.

        Forgets the requests that other entries have in flight, and queues all servers
        with requests of this entry in flight for the next report.
        """
        for service in self.board.services.values():
            for name, server in service.servers.items():
                server.fleet_in_flight = server.in_flight
                if server.in_flight:
                    self._record_load_change(name)

    def pop_suspects(self, now_ms: int) -> SuspectServers:
        """Return the servers suspected here since the last call that still are."""
        found, self._unreported_suspects = self._unreported_suspects, {}
        return _build_suspects(found, now_ms)

    def receive_message(self, message: Message, now_ms: int) -> None:
        """Apply a message about servers from another process of the data hall."""
        match message:
            case SuspectServers(servers=servers, for_ms=for_ms):
                for server, left_ms in zip(servers, for_ms, strict=True):
                    if left_ms:
                        self.suspect(server, now_ms + left_ms)
                    else:
                        self.clear_suspicion(server)
            case ServerLoads():
                self.receive_loads(message, now_ms)
            case ServerLimits():
                self.board.receive_limits(message, now_ms)
            case FleetEntries(group=group):
                self.board.apply_group(group, now_ms)
            case RequestRuns():
                self.poison.receive_runs(message)
            case RequestRulings():
                self.poison.receive_rulings(message)

    def receive_hall_entries(self, entries: HallEntries, own_address: Address) -> None:
        """Apply the addresses of other entries that a replica sent."""
        self.peers = entries.addresses
        self.relay_peers.own_hall = [a for a in entries.addresses if a != own_address]
        self.relay_peers.other_halls = [a for a in entries.relays if a != own_address]

    def receive_loads(self, message: ServerLoads, now_ms: int) -> None:
        """Apply the loads that other entries of the data hall reported."""
        for reported in message.servers:
            server = self._find_server(reported.server)
            if server is not None:
                _record_reported(server, reported, now_ms)

    def receive_fleet_loads(self, message: ServerLoads, now_ms: int) -> None:
        """Apply the replica's loads, including the fleet's requests in flight."""
        for reported in message.servers:
            server = self._find_server(reported.server)
            if server is None:
                continue
            _record_reported(server, reported, now_ms)
            server.fleet_in_flight = max(reported.in_flight, server.in_flight)

    def install(self, update: CatalogUpdate, now_ms: int) -> bool:
        """Apply a catalog update; False if it is not newer than the current copy."""
        if not self.mirror.install(update):
            return False
        sheet = self.mirror.sheet
        if sheet is None:
            return True
        if update.packed_sheet or self.routes is None:
            self.routes = RouteIndex(sheet)
            self._install_accounts(sheet.accounts)
            self._routes_received.set()
            self._mixed_services = find_services_with_mixed_work(sheet)
            self.evidence.set_objectives(_compute_objectives(sheet))
            self._install_mixes(sheet)
        self._refresh(now_ms)
        return True

    def _install_accounts(self, rows: list[AccountRow] | None) -> None:
        """Apply a sheet's accounts, if they changed; most new sheets keep them."""
        if rows == self._account_rows:
            return
        self._account_rows = rows
        self.accounts = None if rows is None else AccountIndex(rows)

    def _install_mixes(self, sheet: RouteSheet) -> None:
        """Keep what was learnt of the services that are shared, drop the others."""
        known = self.board.mixes
        self.board.mixes = {
            service: known.get(service) or WorkMix()
            for service in find_shared_services(sheet)
        }
        self.evidence.keep_classes(set(self.board.mixes))

    def apply(self, verdicts: VerdictBatch) -> None:
        """Apply a replica's verdicts: paces, ejections and shares."""
        for pace in verdicts.paces:
            self.evidence.set_pace(
                pace.service, Pace(pace.usual_ms, pace.slow_ms, pace.late_ms)
            )
        lines = {line.server: line for line in verdicts.lines}
        for name in self._servers_with_verdicts | lines.keys():
            server = self._find_server(name)
            if server is not None:
                line = lines.get(name)
                server.is_ejected = bool(line and line.is_ejected)
                server.share = line.share if line and line.share else FULL_SHARE
        self._servers_with_verdicts = set(lines)
        self.board.wake_waiting_requests()

    def _refresh(self, now_ms: int) -> None:
        """Rebuild services and servers from the copy of the catalog."""
        sheet = self.mirror.sheet
        rows = {
            entry.name: ServiceRow(
                name=entry.name,
                probe_path=entry.probe_path,
                retry_percent=self.lone_retry_percent,
            )
            for entry in sheet.services
        }
        limits = {entry.name: entry.connection_limit for entry in sheet.services}
        server_rows = self._build_rows_by_service(limits)
        known = set(self.board.services)
        self.board.refresh_services(
            rows, lambda service: server_rows.get(service, {}), now_ms
        )
        for name in rows.keys() - known:
            self.board.services[name].budget = RetryBudget(
                self.lone_retry_percent, initial=0, maximum=LONE_RETRY_MAXIMUM
            )
        for name, service in self.board.services.items():
            service.reuses_connections = name in self._mixed_services
        self._refresh_warmups(now_ms)

    def _build_rows_by_service(
        self, limits: dict[ServiceName, int]
    ) -> dict[ServiceName, dict[ServerName, ServerRow]]:
        rows: dict[ServiceName, dict[ServerName, ServerRow]] = {}
        for server in self.mirror.servers.values():
            limit = limits.get(server.service)
            if limit is not None:
                of_service = rows.setdefault(server.service, {})
                of_service[server.server_id] = _build_row(server, limit)
        return rows

    def _refresh_warmups(self, now_ms: int) -> None:
        for service in self.board.services.values():
            for name, server in service.servers.items():
                warmup_ms = self.mirror.servers[name].warmup_ms
                if warmup_ms and not server.warm_until_ms:
                    server.warm_until_ms = now_ms + warmup_ms


def _build_suspects(until_ms: dict[ServerName, int], now_ms: int) -> SuspectServers:
    """Return the servers that are still suspected, and for how long each."""
    left_ms = {server: at_ms - now_ms for server, at_ms in until_ms.items()}
    current = {server: ms for server, ms in left_ms.items() if ms > 0}
    return SuspectServers(list(current), list(current.values()))


def _record_reported(server: ServerState, reported: ServerLoad, now_ms: int) -> None:
    """Apply what another entry reported about a server."""
    if reported.load != NO_LOAD:
        server.record_load(reported.load, now_ms)
    if reported.good_age_ms != NO_GOOD_ANSWER:
        server.answers.record_reported(now_ms - reported.good_age_ms)


def _build_server_load(server: ServerState, now_ms: int) -> ServerLoad:
    load = server.reported_load_at(now_ms) if server.reports_load else NO_LOAD
    good_age_ms = server.answers.compute_own_age_ms(now_ms)
    return ServerLoad(
        server.row.name,
        load,
        server.in_flight,
        NO_GOOD_ANSWER if good_age_ms is None else good_age_ms,
    )


def _compute_objectives(sheet: RouteSheet) -> dict[ServiceName, int]:
    """Return each service's objective: the longest one of the routes to it."""
    objectives_ms: dict[ServiceName, int] = {}
    for route in sheet.routes:
        for part in route.parts:
            longest_ms = objectives_ms.get(part.service, 0)
            objectives_ms[part.service] = max(longest_ms, route.objective_ms)
    return objectives_ms


@dataclass(frozen=True)
class _RegisteredRow(ServerRow):
    """A row named after one start of a server, not by the server's own name.

    `reported_id` is the name that the server registered with.
    """

    reported_id: ServerName = ServerName("")

    @property
    def expected_name(self) -> ServerName:
        """The name that the server uses for itself."""
        return self.reported_id


def _build_row(server: RegisteredServer, connection_limit: int) -> ServerRow:
    is_leaving = server.status is Status.LEAVING
    return _RegisteredRow(
        name=server.server_id,
        service=server.service,
        data_hall=DataHall(server.data_hall),
        address=Address(server.address),
        slots=server.slots,
        connection_limit=connection_limit,
        state=ListedState.LEAVING if is_leaving else ListedState.ACTIVE,
        reported_id=server.reported_id,
    )
