"""Report this entry's evidence to its assessors and apply their verdicts."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import Address, EntryName, ServiceName
from cinderway.entry._blackboard import Blackboard, ServerState, ServiceState
from cinderway.entry._poison_watch import PoisonWatch
from cinderway.entry.fleet._report_server import ReportServer
from cinderway.judgement import (
    JUDGEMENT,
    Capacity,
    EvidenceLog,
    EvidenceReport,
    HeldSheet,
    MergedVerdict,
    Pace,
    ServerEvidence,
    ServiceNormal,
    VerdictSheet,
    assessors_of,
    build_evidence,
    compute_floor_slots,
    group_of,
    median_norms,
    merge_sheets,
    permitted_ejections,
    verdict_quorum,
)
from cinderway.poison import RequestRulings
from cinderway.pushback import EntryGroup, ServerLimits
from cinderway.reachability import RelayPeers
from cinderway.reports import EventKind
from cinderway.table import EntryReport
from cinderway.wire import Connection, Identity, Message, connect

logger = logging.getLogger(__name__)

REPORT_INTERVAL_S = 0.025
# Bad observations are sent at once; good ones are batched for this long.
BATCH_INTERVAL_MS = 100
# An empty report is sent this often: it renews the verdicts' leases and shows that the
# entry is alive.
IDLE_REPORT_INTERVAL_MS = 500
AVOID_MS = 5_000
SEND_TIMEOUT_S = 0.1
CHOOSE_INTERVAL_MS = 500
# How late the end of a lease may be noticed; changes in a sheet are applied at once.
APPLY_INTERVAL_MS = 200
# How long a drain signal counts; an assessor repeats it with each sheet while it holds.
DRAIN_SIGNAL_TTL_MS = 2_000
# The send times of this many reports are kept; sheets that answer an older report are
# ignored.
MAX_PENDING_REPORTS = 64
# The name of the single group of entries that divide servers' rate limits among them:
# in table mode all entries know each other.
FLEET_GROUP = "fleet"


@dataclass(eq=False)
class _Link:
    """This entry's connection to one assessor for one group of services."""

    assessor: EntryName
    group: int
    connection: Connection
    sequence: int = 0
    # By the sequence number of the report.
    sent_at_ms: dict[int, int] = field(default_factory=dict)
    last_sent_at_ms: int = 0
    held: HeldSheet | None = None


@dataclass
class Reporter:
    """Reports evidence and applies verdicts: ejections, traffic shares and probes."""

    board: Blackboard
    evidence: EvidenceLog
    identity: Identity
    own_address: Address
    tasks: TaskGroup
    reports: ReportServer
    watch: PoisonWatch = field(default_factory=PoisonWatch)
    relay_peers: RelayPeers = field(default_factory=RelayPeers)
    ejections: int = 0
    held_by_floor: int = 0
    _links: dict[tuple[int, EntryName], _Link] = field(default_factory=dict)
    _connecting: set[tuple[int, EntryName]] = field(default_factory=set)
    _avoid_until_ms: dict[EntryName, int] = field(default_factory=dict)
    _reported_at_ms: int = 0
    _chosen_at_ms: int = 0
    _applied_at_ms: int = 0
    _assessors: dict[int, list[EntryReport]] = field(default_factory=dict)

    async def run(self) -> None:
        """Report evidence and apply verdicts until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            now_ms = monotonic_ms()
            self.evidence.record_overdue(now_ms)
            if now_ms - self._chosen_at_ms >= CHOOSE_INTERVAL_MS:
                self._chosen_at_ms = now_ms
                self._choose_assessors(now_ms)
            if (
                self.evidence.has_urgent_evidence
                or now_ms - self._reported_at_ms >= BATCH_INTERVAL_MS
            ):
                self._reported_at_ms = now_ms
                await self._send_reports(now_ms)
            if self.watch.has_changes.is_set():
                await self._send_to_all(self.watch.pop_runs(), "ends of servers")
            if self.board.limits.has_changes.is_set():
                limits = self.board.limits.pop_changes(now_ms)
                await self._send_to_all(limits, "limits of servers")
            if now_ms - self._applied_at_ms >= APPLY_INTERVAL_MS:
                self.apply(now_ms)

    # Reporting.

    def _choose_assessors(self, now_ms: int) -> None:
        avoid = frozenset(
            name for name, until in self._avoid_until_ms.items() if now_ms < until
        )
        live = {report.name: report for report in self.board.fleet.live(now_ms)}
        self._update_relay_peers(live.values())
        own = EntryReport(
            self.board.name, self.board.data_hall, self.own_address, 0, 0, 0, False
        )
        live[own.name] = own
        fleet = EntryGroup(FLEET_GROUP, frozenset({FLEET_GROUP}), frozenset(live))
        self.board.apply_group(fleet, now_ms)
        groups = {group_of(name) for name in self.board.services}
        self._assessors = {
            group: assessors_of(group, list(live.values()), avoid) for group in groups
        }
        wanted = {
            (group, report.name): report.address
            for group, reports in self._assessors.items()
            for report in reports
        }
        for key in self._links.keys() - wanted.keys():
            self.tasks.start_soon(self._links.pop(key).connection.aclose)
        for key, address in wanted.items():
            if key not in self._links and key not in self._connecting:
                self._connecting.add(key)
                self.tasks.start_soon(self._run_link, key, address)

    def _update_relay_peers(self, live: Iterable[EntryReport]) -> None:
        others = [report for report in live if report.name != self.board.name]
        own_hall = self.board.data_hall
        self.relay_peers.own_hall = [
            report.address for report in others if report.data_hall == own_hall
        ]
        self.relay_peers.other_halls = [
            report.address for report in others if report.data_hall != own_hall
        ]

    async def _run_link(self, key: tuple[int, EntryName], address: Address) -> None:
        group, assessor = key
        link: _Link | None = None
        try:
            connection = await connect(address, JUDGEMENT, self.identity)
            link = self._links[key] = _Link(assessor, group, connection)
            self._connecting.discard(key)
            # An assessor that has just started knows neither which requests are refused
            # nor the servers' rate limits.
            await connection.send(self.watch.rulings())
            await connection.send(self.board.limits.limits(monotonic_ms()))
            while True:
                envelope = await connection.receive()
                match envelope.message:
                    case VerdictSheet() as sheet:
                        self._receive_sheet(link, sheet)
                    case RequestRulings() as rulings:
                        self.watch.receive_rulings(rulings)
                    case ServerLimits() as limits:
                        self.board.receive_limits(limits, monotonic_ms())
        except CinderwayError:
            # Avoid the assessor unless this entry itself closed the link, as unused.
            if link is None or self._links.get(key) is link:
                self._avoid_until_ms[assessor] = monotonic_ms() + AVOID_MS
        finally:
            if link is None:
                self._connecting.discard(key)
            elif self._links.get(key) is link:
                del self._links[key]

    def _receive_sheet(self, link: _Link, sheet: VerdictSheet) -> None:
        sent_at_ms = link.sent_at_ms.get(sheet.report_sequence)
        if sent_at_ms is None:
            return
        if link.held and sheet.sequence <= link.held.sheet.sequence:
            return
        before, link.held = link.held, HeldSheet(sheet, sent_at_ms)
        if before is None or before.sheet.servers != sheet.servers:
            self.apply(monotonic_ms())

    async def _send_reports(self, now_ms: int) -> None:
        by_group: dict[int, list[ServerEvidence]] = {}
        for (service, server), counts in self.evidence.pop_counts().items():
            group = by_group.setdefault(group_of(service), [])
            group.append(build_evidence(service, server, counts))
        for key, link in list(self._links.items()):
            evidence = by_group.get(link.group, [])
            if evidence or now_ms - link.last_sent_at_ms >= IDLE_REPORT_INTERVAL_MS:
                await self._send_report(key, link, evidence, now_ms)

    async def _send_to_all(self, message: Message, what: str) -> None:
        """Send a message to all assessors."""
        for link in list(self._links.values()):
            try:
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await link.connection.send(message)
            except (CinderwayError, TimeoutError) as error:
                logger.info(
                    "assessor %s was not sent %s: %s",
                    link.assessor,
                    what,
                    str(error) or "slow",
                )

    async def _send_report(
        self,
        key: tuple[int, EntryName],
        link: _Link,
        evidence: list[ServerEvidence],
        now_ms: int,
    ) -> None:
        link.sequence += 1
        link.last_sent_at_ms = now_ms
        link.sent_at_ms[link.sequence] = now_ms
        if len(link.sent_at_ms) > MAX_PENDING_REPORTS:
            del link.sent_at_ms[min(link.sent_at_ms)]
        report = EvidenceReport(
            self.board.name,
            self.board.data_hall,
            link.group,
            link.sequence,
            link.held.sheet.sequence if link.held else 0,
            evidence,
        )
        try:
            with anyio.fail_after(SEND_TIMEOUT_S):
                await link.connection.send(report)
        except (CinderwayError, TimeoutError):
            self._avoid_until_ms[link.assessor] = now_ms + AVOID_MS
            self._links.pop(key, None)
            await link.connection.aclose()

    # Applying verdicts.

    def apply(self, now_ms: int) -> None:
        """Update the board from the sheets, within their leases and the floor."""
        self._applied_at_ms = now_ms
        for group, assessors in self._assessors.items():
            sheets = [
                link.held
                for link in self._links.values()
                if link.group == group and link.held is not None
            ]
            quorum = verdict_quorum(len(assessors))
            agreed = merge_sheets(sheets, self.board.data_hall, quorum, now_ms)
            for name, norm in median_norms(sheets).items():
                self._apply_norm(name, norm)
            for name, service in self.board.services.items():
                if group_of(name) == group:
                    self._apply_to_service(name, service, agreed, now_ms)

    def _apply_norm(self, name: ServiceName, norm: ServiceNormal) -> None:
        if norm.normal_ms > 0:
            self.evidence.set_pace(name, Pace.from_normal(norm.normal_ms))
        service = self.board.services.get(name)
        if service is not None:
            service.background_probes_per_s = norm.probes_per_s

    def _apply_to_service(
        self,
        name: ServiceName,
        service: ServiceState,
        agreed: dict,
        now_ms: int,
    ) -> None:
        verdicts = {s: agreed.get((name, s)) for s in service.servers}
        if not any(verdicts.values()) and all(
            map(_is_unaffected, service.servers.values())
        ):
            return
        permitted = self._compute_permitted(service, verdicts, now_ms)
        changed = False
        for server_name, server in service.servers.items():
            verdict = verdicts[server_name]
            server.share = verdict.share if verdict else 1.0
            server.share *= compute_join_share(server, service, now_ms)
            server.probes_per_s = verdict.probes_per_s if verdict else 0.0
            if verdict and verdict.is_draining:
                server.pushback.leave(now_ms + DRAIN_SIGNAL_TTL_MS)
            is_ejected = server_name in permitted
            if verdict and verdict.is_ejected and not is_ejected:
                self._record_held(name, server, verdict)
            else:
                server.is_held_by_floor = False
            if is_ejected != server.is_ejected:
                server.is_ejected = is_ejected
                changed = True
                self._record_change(name, server, verdict)
        if changed:
            service.free_slot()

    def _compute_permitted(
        self, service: ServiceState, verdicts: dict, now_ms: int
    ) -> frozenset:
        capacities = []
        for name, server in service.servers.items():
            verdict: MergedVerdict | None = verdicts[name]
            is_cold = compute_join_share(server, service, now_ms) < 1
            is_available = server.accepts_requests(now_ms)
            capacities.append(
                Capacity(
                    name,
                    server.row.slots,
                    is_available and not is_cold,
                    bool(verdict and verdict.is_ejected),
                    verdict.score if verdict else 0.0,
                )
            )
        table_slots = sum(
            server.row.slots
            for server in service.servers.values()
            if server.row.accepts_requests
        )
        return permitted_ejections(
            capacities, compute_floor_slots(service.row, table_slots)
        )

    def _record_held(
        self, service: ServiceName, server: ServerState, verdict: MergedVerdict
    ) -> None:
        if server.is_held_by_floor:
            return
        server.is_held_by_floor = True
        self.held_by_floor += 1
        self.reports.record_event(
            service,
            server.row.name,
            EventKind.HELD_BY_FLOOR,
            verdict.reason,
            verdict.score,
        )

    def _record_change(
        self, service: ServiceName, server: ServerState, verdict: MergedVerdict | None
    ) -> None:
        if server.is_ejected:
            self.ejections += 1
            self.reports.record_event(
                service,
                server.row.name,
                EventKind.EJECTED,
                verdict.reason,
                verdict.score,
            )
            logger.info(
                "ejected %s/%s: %s, score %.1f",
                service,
                server.row.name,
                verdict.reason,
                verdict.score,
            )
        else:
            self.reports.record_event(service, server.row.name, EventKind.TAKEN_BACK)
            logger.info("reinstated %s/%s", service, server.row.name)


def _is_unaffected(server: ServerState) -> bool:
    """Whether the server has no state that verdicts or time could change."""
    return (
        not server.is_ejected
        and not server.is_held_by_floor
        and not server.probes_per_s
        and not server.joined_at_ms
        and server.share == 1.0
    )


def compute_join_share(
    server: ServerState, service: ServiceState, now_ms: int
) -> float:
    """Return a server's slow-start share; 1 once it joined long enough ago."""
    if not server.joined_at_ms:
        return 1.0
    ramp = (now_ms - server.joined_at_ms) / max(service.row.slow_start_ms, 1)
    if ramp >= 1:
        server.joined_at_ms = 0
    return min(max(ramp, 0.1), 1.0)
