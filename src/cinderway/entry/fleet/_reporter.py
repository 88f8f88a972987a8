"""Report what this entry sees to its assessors, and act on what they judge."""

import logging
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
    Agreed,
    Capacity,
    EvidenceLog,
    EvidenceReport,
    HeldSheet,
    Pace,
    ServerEvidence,
    ServiceNormal,
    VerdictSheet,
    assessors_of,
    evidence_from,
    floor_slots_of,
    group_of,
    merge_sheets,
    permitted_ejections,
    service_norms,
    verdict_quorum,
)
from cinderway.poison import RequestRulings
from cinderway.pushback import EntryGroup, ServerLimits
from cinderway.reports import Happening
from cinderway.table import EntryReport
from cinderway.wire import Connection, Identity, Message, connect

logger = logging.getLogger(__name__)

REPORT_PAUSE_S = 0.025
# Bad observations go out at once; good ones are gathered for this long.
GATHER_MS = 100
# An empty report goes out this often: it renews leases and shows that the entry is
# there.
IDLE_REPORT_MS = 500
AVOID_MS = 5_000
SEND_TIMEOUT_S = 0.1
CHOOSE_PAUSE_MS = 500
# How late the end of a lease may be noticed; news in a sheet is acted on at once.
APPLY_PAUSE_MS = 200
# An assessor repeats a drain signal with each sheet while it holds.
SHEET_VALID_MS = 2_000
SEQUENCES_REMEMBERED = 64
# The one group of entries that divide servers' rates: here all know of each other.
WHOLE_FLEET = "fleet"


@dataclass(eq=False)
class _Link:
    """One entry's conversation with one assessor about one group."""

    assessor: EntryName
    group: int
    connection: Connection
    sequence: int = 0
    sent_at_ms: dict[int, int] = field(default_factory=dict)
    last_sent_at_ms: int = 0
    held: HeldSheet | None = None


@dataclass
class Reporter:
    """Keeps the board's ejections, shares and probes in line with the verdicts."""

    board: Blackboard
    evidence: EvidenceLog
    identity: Identity
    own_address: Address
    tasks: TaskGroup
    reports: ReportServer
    watch: PoisonWatch = field(default_factory=PoisonWatch)
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
        """Report and act until cancelled."""
        while True:
            await anyio.sleep(REPORT_PAUSE_S)
            now_ms = monotonic_ms()
            self.evidence.sweep(now_ms)
            if now_ms - self._chosen_at_ms >= CHOOSE_PAUSE_MS:
                self._chosen_at_ms = now_ms
                self._choose_assessors(now_ms)
            if self.evidence.has_urgent or now_ms - self._reported_at_ms >= GATHER_MS:
                self._reported_at_ms = now_ms
                await self._report(now_ms)
            if self.watch.has_news.is_set():
                await self._tell_all(self.watch.take_runs(), "ends of servers")
            if self.board.limits.has_news.is_set():
                told = self.board.limits.take_news(now_ms)
                await self._tell_all(told, "limits of servers")
            if now_ms - self._applied_at_ms >= APPLY_PAUSE_MS:
                self.apply(now_ms)

    # Reporting.

    def _choose_assessors(self, now_ms: int) -> None:
        avoid = frozenset(
            name for name, until in self._avoid_until_ms.items() if now_ms < until
        )
        live = {report.name: report for report in self.board.fleet.live(now_ms)}
        own = EntryReport(
            self.board.name, self.board.data_hall, self.own_address, 0, 0, 0, False
        )
        live[own.name] = own
        fleet = EntryGroup(WHOLE_FLEET, frozenset({WHOLE_FLEET}), frozenset(live))
        self.board.use_group(fleet, now_ms)
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
                self.tasks.start_soon(self._talk, key, address)

    async def _talk(self, key: tuple[int, EntryName], address: Address) -> None:
        group, assessor = key
        link: _Link | None = None
        try:
            connection = await connect(address, JUDGEMENT, self.identity)
            link = self._links[key] = _Link(assessor, group, connection)
            self._connecting.discard(key)
            # An assessor that has just started knows of no request that is refused, and
            # of no server's limit.
            await connection.send(self.watch.rulings())
            await connection.send(self.board.limits.limits(monotonic_ms()))
            while True:
                envelope = await connection.receive()
                match envelope.message:
                    case VerdictSheet() as sheet:
                        self._take(link, sheet)
                    case RequestRulings() as told:
                        self.watch.hear_rulings(told)
                    case ServerLimits() as told:
                        self.board.hear_limits(told, monotonic_ms())
        except CinderwayError:
            # A link that is no longer in use was closed here, not by the assessor.
            if link is None or self._links.get(key) is link:
                self._avoid_until_ms[assessor] = monotonic_ms() + AVOID_MS
        finally:
            if link is None:
                self._connecting.discard(key)
            elif self._links.get(key) is link:
                del self._links[key]

    def _take(self, link: _Link, sheet: VerdictSheet) -> None:
        sent_at_ms = link.sent_at_ms.get(sheet.report_sequence)
        if sent_at_ms is None:
            return
        if link.held and sheet.sequence <= link.held.sheet.sequence:
            return
        before, link.held = link.held, HeldSheet(sheet, sent_at_ms)
        if before is None or before.sheet.servers != sheet.servers:
            self.apply(monotonic_ms())

    async def _report(self, now_ms: int) -> None:
        by_group: dict[int, list[ServerEvidence]] = {}
        for (service, server), counts in self.evidence.take().items():
            group = by_group.setdefault(group_of(service), [])
            group.append(evidence_from(service, server, counts))
        for key, link in list(self._links.items()):
            evidence = by_group.get(link.group, [])
            if evidence or now_ms - link.last_sent_at_ms >= IDLE_REPORT_MS:
                await self._send(key, link, evidence, now_ms)

    async def _tell_all(self, message: Message, what: str) -> None:
        """Tell all assessors what this entry came to know."""
        for link in list(self._links.values()):
            try:
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await link.connection.send(message)
            except (CinderwayError, TimeoutError) as error:
                logger.info(
                    "assessor %s was not told of %s: %s",
                    link.assessor,
                    what,
                    str(error) or "slow",
                )

    async def _send(
        self,
        key: tuple[int, EntryName],
        link: _Link,
        evidence: list[ServerEvidence],
        now_ms: int,
    ) -> None:
        link.sequence += 1
        link.last_sent_at_ms = now_ms
        link.sent_at_ms[link.sequence] = now_ms
        if len(link.sent_at_ms) > SEQUENCES_REMEMBERED:
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

    # Acting.

    def apply(self, now_ms: int) -> None:
        """Bring the board in line with the sheets, the leases and the floor."""
        self._applied_at_ms = now_ms
        for group, assessors in self._assessors.items():
            sheets = [
                link.held
                for link in self._links.values()
                if link.group == group and link.held is not None
            ]
            quorum = verdict_quorum(len(assessors))
            agreed = merge_sheets(sheets, self.board.data_hall, quorum, now_ms)
            for name, norm in service_norms(sheets).items():
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
        found = {s: agreed.get((name, s)) for s in service.servers}
        if not any(found.values()) and all(map(_is_plain, service.servers.values())):
            return
        permitted = self._permitted(service, found, now_ms)
        changed = False
        for server_name, server in service.servers.items():
            said = found[server_name]
            server.share = said.share if said else 1.0
            server.share *= join_share(server, service, now_ms)
            server.probes_per_s = said.probes_per_s if said else 0.0
            if said and said.is_draining:
                server.pushback.leave(now_ms + SHEET_VALID_MS)
            is_ejected = server_name in permitted
            if said and said.is_ejected and not is_ejected:
                self._note_held(name, server, said)
            else:
                server.is_held_by_floor = False
            if is_ejected != server.is_ejected:
                server.is_ejected = is_ejected
                changed = True
                self._note_change(name, server, said)
        if changed:
            service.free_slot()

    def _permitted(self, service: ServiceState, found: dict, now_ms: int) -> frozenset:
        capacities = []
        for name, server in service.servers.items():
            said: Agreed | None = found[name]
            is_cold = join_share(server, service, now_ms) < 1
            is_available = server.takes_work(now_ms)
            capacities.append(
                Capacity(
                    name,
                    server.row.slots,
                    is_available and not is_cold,
                    bool(said and said.is_ejected),
                    said.score if said else 0.0,
                )
            )
        table_slots = sum(
            server.row.slots
            for server in service.servers.values()
            if server.row.takes_work
        )
        return permitted_ejections(capacities, floor_slots_of(service.row, table_slots))

    def _note_held(
        self, service: ServiceName, server: ServerState, said: Agreed
    ) -> None:
        if server.is_held_by_floor:
            return
        server.is_held_by_floor = True
        self.held_by_floor += 1
        self.reports.note(
            service, server.row.name, Happening.HELD_BY_FLOOR, said.reason, said.score
        )

    def _note_change(
        self, service: ServiceName, server: ServerState, said: Agreed | None
    ) -> None:
        if server.is_ejected:
            self.ejections += 1
            self.reports.note(
                service, server.row.name, Happening.EJECTED, said.reason, said.score
            )
            logger.info(
                "ejected %s/%s: %s, score %.1f",
                service,
                server.row.name,
                said.reason,
                said.score,
            )
        else:
            self.reports.note(service, server.row.name, Happening.TAKEN_BACK)
            logger.info("took back %s/%s", service, server.row.name)


def _is_plain(server: ServerState) -> bool:
    """Whether nothing that verdicts or time can change holds for a server."""
    return (
        not server.is_ejected
        and not server.is_held_by_floor
        and not server.probes_per_s
        and not server.joined_at_ms
        and server.share == 1.0
    )


def join_share(server: ServerState, service: ServiceState, now_ms: int) -> float:
    """Return the share of a server that joined a moment ago: its slow start."""
    if not server.joined_at_ms:
        return 1.0
    ramp = (now_ms - server.joined_at_ms) / max(service.row.slow_start_ms, 1)
    if ramp >= 1:
        server.joined_at_ms = 0
    return min(max(ramp, 0.1), 1.0)
