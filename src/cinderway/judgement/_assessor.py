"""The assessor: turns entries' evidence reports into verdicts on backend servers.

It does no I/O: reports and the time are passed in, verdict sheets come out. No other
assessor needs its state; after a restart it has collected as much evidence as the
others within seconds.
"""

from dataclasses import dataclass, field

from cinderway._ids import EntryName, ServerName, ServiceName
from cinderway.judgement._assignment import group_of
from cinderway.judgement._conversation import (
    EvidenceReport,
    ServerStanding,
    ServerVerdict,
    ServiceNormal,
    VerdictSheet,
)
from cinderway.judgement._floor import (
    Capacity,
    compute_floor_slots,
    permitted_ejections,
)
from cinderway.judgement._server_record import ServerRecord, is_withdrawn
from cinderway.judgement._service_judge import Reporter, ServiceJudge
from cinderway.table import ServiceRow, Table

# Older reports are dropped: another server may have the address by now.
REPORT_VALID_MS = 3_000
LEASE_MS = 2_000
MAX_TRACKED_SHEETS = 64


@dataclass
class ReporterState:
    """State of one entry's exchange with this assessor about one group."""

    last_sequence: int = 0
    sheet_sequence: int = 0
    sheet_sent_at_ms: dict[int, int] = field(default_factory=dict)
    first_heard_at_ms: int = 0

    def record_sent_sheet(self, sequence: int, now_ms: int) -> None:
        """Record that a sheet with this sequence number is sent."""
        self.sheet_sequence = sequence
        self.sheet_sent_at_ms[sequence] = now_ms
        if len(self.sheet_sent_at_ms) > MAX_TRACKED_SHEETS:
            del self.sheet_sent_at_ms[min(self.sheet_sent_at_ms)]

    def accept(self, report: EvidenceReport, now_ms: int) -> bool:
        """Accept a report and return True if it is newer than the last and not too old.

        A report names the newest sheet that its entry had received. It was made after
        that sheet was sent, so its age is bounded without a comparison of clocks.
        """
        if report.sequence <= self.last_sequence:
            return False
        self.last_sequence = report.sequence
        if report.sheet_sequence == 0:
            return now_ms - self.first_heard_at_ms <= REPORT_VALID_MS
        sent_at_ms = self.sheet_sent_at_ms.get(report.sheet_sequence)
        return sent_at_ms is not None and now_ms - sent_at_ms <= REPORT_VALID_MS


class Assessor:
    """Assesses the services of all groups for which it receives reports."""

    def __init__(self, name: EntryName):
        self.name = name
        self.dropped_reports = 0
        self._judges: dict[ServiceName, ServiceJudge] = {}
        self._reporters: dict[int, dict[EntryName, Reporter]] = {}

    def get_or_create_judge(self, service: ServiceName) -> ServiceJudge:
        """Return the judge of a service, which is created on first use."""
        judge = self._judges.get(service)
        if judge is None:
            reporters = self._reporters.setdefault(group_of(service), {})
            judge = self._judges[service] = ServiceJudge(reporters)
        return judge

    def receive_report(
        self,
        report: EvidenceReport,
        reporter: ReporterState,
        table: Table,
        now_ms: int,
    ) -> None:
        """Add a report's evidence, unless the report is out of order or too old."""
        reporters = self._reporters.setdefault(report.group, {})
        if not reporter.accept(report, now_ms):
            self.dropped_reports += 1
            return
        reporters[report.entry] = Reporter(report.data_hall, now_ms)
        for evidence in report.servers:
            service = table.service(evidence.service)
            if service is None or evidence.server not in table.servers_of(service.name):
                continue
            self.get_or_create_judge(service.name).record_evidence(
                report.entry, report.data_hall, evidence, service, now_ms
            )

    def decide(self, table: Table, now_ms: int) -> dict[int, "GroupView"]:
        """Update the standings of all servers; return the verdicts on each group."""
        views = {group: GroupView([], []) for group in self._reporters}
        for service in table.services():
            view = views.get(group_of(service.name))
            if view is None:
                continue
            judge = self.get_or_create_judge(service.name)
            servers = table.servers_of(service.name)
            judge.decide(service, servers.keys(), now_ms)
            probes_per_s = judge.background_probes_per_s(service, now_ms)
            view.services.append(
                ServiceNormal(service.name, judge.normal_ms, round(probes_per_s, 1))
            )
            view.servers += self._build_verdicts(judge, service, table, now_ms)
        return views

    def _build_verdicts(
        self, judge: ServiceJudge, service: ServiceRow, table: Table, now_ms: int
    ) -> list[ServerVerdict]:
        records = judge.records()
        permitted = self._permitted_ejections(records, service, table)
        verdicts = []
        for record in records:
            probes_per_s = judge.probes_per_s(record, service)
            is_draining = now_ms < record.draining_until_ms
            is_healthy = record.standing is ServerStanding.HEALTHY
            if is_healthy and not probes_per_s and not is_draining:
                continue
            verdicts.append(
                ServerVerdict(
                    service=service.name,
                    server=record.name,
                    standing=record.standing,
                    halls=sorted(record.halls),
                    lease_ms=LEASE_MS,
                    score=round(record.score, 2),
                    share=judge.share(record, service, now_ms),
                    probes_per_s=probes_per_s,
                    reason=record.reason,
                    is_held_by_floor=is_withdrawn(record.standing)
                    and record.name not in permitted,
                    is_draining=is_draining,
                )
            )
        return verdicts

    def _permitted_ejections(
        self, records: list[ServerRecord], service: ServiceRow, table: Table
    ) -> frozenset[ServerName]:
        servers = table.servers_of(service.name)
        condemned = {r.name: r.score for r in records if is_withdrawn(r.standing)}
        capacities = [
            Capacity(
                row.name,
                row.slots,
                row.accepts_requests,
                row.name in condemned,
                condemned.get(row.name, 0.0),
            )
            for row in servers.values()
        ]
        table_slots = sum(row.slots for row in servers.values() if row.accepts_requests)
        return permitted_ejections(
            capacities, compute_floor_slots(service, table_slots)
        )


@dataclass
class GroupView:
    """An assessor's current verdicts on the services and servers of a group."""

    services: list[ServiceNormal]
    servers: list[ServerVerdict]

    def sheet(
        self, assessor: EntryName, group: int, sequence: int, report_sequence: int
    ) -> VerdictSheet:
        """Build the verdict sheet for one reporter."""
        return VerdictSheet(
            assessor, group, sequence, report_sequence, self.services, self.servers
        )
