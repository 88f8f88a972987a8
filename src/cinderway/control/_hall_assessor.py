"""Judges backend servers by the observations of the entries that follow here.

Entries follow a replica of their own data hall if there is one, so servers are judged
as they are seen from this hall, and evidence does not leave it. Does no I/O; the time
is passed in.
"""

import logging
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from cinderway._ids import DataHall, ServerName, ServiceName
from cinderway.catalog import (
    CatalogMachine,
    EvidenceBatch,
    RegisteredServer,
    ServerStatus,
    ServicePace,
    SuspectServers,
    VerdictBatch,
    VerdictLine,
)
from cinderway.control._answer_times import AnswerTimes
from cinderway.judgement import (
    Capacity,
    ServerEvidence,
    ServerRecord,
    ServerStanding,
    ServiceJudge,
    Suspicions,
    compute_floor_slots,
    is_withdrawn,
    permitted_ejections,
)
from cinderway.table import Bias, ServiceRow

logger = logging.getLogger(__name__)

# Verdicts also change with time alone: ejections end, shares grow.
REVIEW_PERIOD_MS = 500
# Factor by which a response time of a service must change before it is sent again.
PACE_CHANGE_FACTOR = 1.25
# Long enough for a server to fill its caches, short compared with a failure's cost.
SLOW_START_MS = 2_000
# The reason in a verdict that only reduces a server's weight.
SLOW = "slow"

_evidence_decoder = msgspec.msgpack.Decoder(list[ServerEvidence])


@dataclass(frozen=True)
class JudgementRules:
    """Rules for all services: the bias of verdicts, and the capacity to keep."""

    bias: Bias
    floor_percent: int


class HallAssessor:
    """Judges the servers that the entries of one replica use."""

    def __init__(self, rules: JudgementRules):
        self._rules = rules
        self._judges: dict[ServiceName, ServiceJudge] = {}
        self._has_evidence = False
        self._decided_at_ms = 0
        self._response_times: dict[ServiceName, AnswerTimes] = {}
        self._sent_paces: dict[ServiceName, ServicePace] = {}
        self._ejected: set[ServerName] = set()
        self._slow: set[ServerName] = set()
        self._suspicions = Suspicions()
        self._new_suspects: dict[ServerName, int] = {}

    def record_evidence(self, batch: EvidenceBatch, now_ms: int) -> None:
        """Record one entry's observations."""
        for evidence in _evidence_decoder.decode(batch.servers):
            judge = self._judges.setdefault(evidence.service, ServiceJudge())
            judge.record_reporter(batch.entry, batch.data_hall, now_ms)
            judge.record_evidence(
                batch.entry,
                batch.data_hall,
                evidence,
                self._service_row(evidence.service),
                now_ms,
            )
            times = self._response_times.setdefault(
                evidence.service, AnswerTimes(now_ms)
            )
            times.record(evidence.answer_times_ms, now_ms)
            self._update_suspicion(evidence, now_ms)
        self._has_evidence = True

    def _update_suspicion(self, evidence: ServerEvidence, now_ms: int) -> None:
        server = evidence.server
        if evidence.good:
            self._suspicions.record_good(server)
        alarm = evidence.main_alarm()
        if alarm is not None:
            until_ms = self._suspicions.record_alarm(server, alarm, now_ms)
            if until_ms is not None:
                self._new_suspects[server] = until_ms
        elif evidence.late_answers and self._suspicions.record_late_answer(server):
            self._new_suspects[server] = now_ms

    def new_suspects(self, now_ms: int) -> SuspectServers | None:
        """Return the suspicions that changed since the last call; None if none did.

        A server that is no longer suspect is listed with no time left.
        """
        found, self._new_suspects = self._new_suspects, {}
        self._suspicions.drop_expired(now_ms)
        if not found:
            return None
        remaining_ms = [max(until_ms - now_ms, 0) for until_ms in found.values()]
        return SuspectServers(list(found), remaining_ms)

    def is_review_due(self, now_ms: int) -> bool:
        """Whether the verdicts may have changed since they were last decided."""
        if not self._judges:
            return False
        return self._has_evidence or now_ms - self._decided_at_ms >= REVIEW_PERIOD_MS

    def decide(
        self, catalog: CatalogMachine, now_ms: int
    ) -> dict[DataHall, VerdictBatch]:
        """Return the verdicts for the entries of each hall."""
        self._has_evidence = False
        self._decided_at_ms = now_ms
        halls = {r.data_hall for r in catalog.replicas.values()}
        lines: dict[DataHall, list[VerdictLine]] = {hall: [] for hall in halls}
        self._slow &= catalog.registry.servers.keys()
        for service, judge in self._judges.items():
            self._decide_service(catalog, service, judge, lines, now_ms)
        paces = self._update_paces()
        return {
            hall: VerdictBatch(lines_of_hall, paces)
            for hall, lines_of_hall in lines.items()
        }

    def _decide_service(
        self,
        catalog: CatalogMachine,
        service: ServiceName,
        judge: ServiceJudge,
        lines: dict[DataHall, list[VerdictLine]],
        now_ms: int,
    ) -> None:
        """Add the verdicts on one service's servers to the lines of each hall."""
        row = self._service_row(service)
        servers = _servers_of(catalog, service)
        judge.decide(row, servers.keys(), now_ms)
        records = judge.records()
        suspected = [r for r in records if r.standing is not ServerStanding.HEALTHY]
        healthy = [r for r in records if r.standing is ServerStanding.HEALTHY]
        permitted = _permitted_ejections(row, servers, suspected)
        for record in suspected:
            is_ejected = record.name in permitted
            self._log_ejection_change(service, record, is_ejected)
            share = judge.share(record, row, now_ms)
            line = _build_line(service, record, is_ejected, share)
            _add_line(lines, line, record.halls)
        for record in healthy:
            self._log_ejection_change(service, record, is_ejected=False)
            share = judge.slow_server_share(record, now_ms)
            self._log_pace_change(service, record, share)
            if share < 1:
                line = VerdictLine(service, record.name, False, share, SLOW, 0.0)
                _add_line(lines, line, halls=())

    def _log_pace_change(
        self, service: ServiceName, record: ServerRecord, share: float
    ) -> None:
        """Log when a server becomes slow and when it has recovered."""
        server = record.name
        was_slow = server in self._slow
        if share < 1 and not was_slow:
            self._slow.add(server)
            logger.info(
                "server %s/%s is slow: weight share %.2f", service, server, share
            )
        elif share == 1 and was_slow:
            self._slow.remove(server)
            logger.info("server %s/%s is no longer slow", service, server)

    def _log_ejection_change(
        self, service: ServiceName, record: ServerRecord, is_ejected: bool
    ) -> None:
        """Log when an ejection begins and when it ends."""
        server = record.name
        was_ejected = server in self._ejected
        if is_ejected and not was_ejected:
            self._ejected.add(server)
            logger.info(
                "ejected %s/%s: %s, score %.1f",
                service,
                server,
                record.reason,
                record.score,
            )
        elif was_ejected and not is_ejected:
            self._ejected.remove(server)
            logger.info("reinstated %s/%s", service, server)

    def _update_paces(self) -> list[ServicePace]:
        """Return the response times of all services, updated only on a large change."""
        for service, times in self._response_times.items():
            quantiles = times.quantiles()
            if quantiles is None:
                continue
            pace = ServicePace(
                service, quantiles.p50_ms, quantiles.p90_ms, quantiles.p95_ms
            )
            sent = self._sent_paces.get(service)
            if sent is None or _has_changed(sent, pace):
                self._sent_paces[service] = pace
        return [self._sent_paces[service] for service in sorted(self._sent_paces)]

    def _service_row(self, service: ServiceName) -> ServiceRow:
        return ServiceRow(
            name=service,
            bias=self._rules.bias,
            floor_percent=self._rules.floor_percent,
            slow_start_ms=SLOW_START_MS,
        )


def _has_changed(sent: ServicePace, pace: ServicePace) -> bool:
    return any(
        new_ms > sent_ms * PACE_CHANGE_FACTOR or new_ms < sent_ms / PACE_CHANGE_FACTOR
        for sent_ms, new_ms in (
            (sent.usual_ms, pace.usual_ms),
            (sent.slow_ms, pace.slow_ms),
            (sent.late_ms, pace.late_ms),
        )
    )


def _servers_of(
    catalog: CatalogMachine, service: ServiceName
) -> dict[ServerName, RegisteredServer]:
    return {
        server.server_id: server
        for server in catalog.registry.servers.values()
        if server.service == service
    }


def _permitted_ejections(
    row: ServiceRow,
    servers: dict[ServerName, RegisteredServer],
    suspected: list[ServerRecord],
) -> Collection[ServerName]:
    """Return the servers that may be ejected without falling below the floor."""
    condemned = {r.name: r.score for r in suspected if is_withdrawn(r.standing)}
    capacities = [
        Capacity(
            server.server_id,
            server.slots,
            server.status is ServerStatus.ACTIVE,
            server.server_id in condemned,
            condemned.get(server.server_id, 0.0),
        )
        for server in servers.values()
    ]
    slots = sum(c.slots for c in capacities if c.is_available)
    return permitted_ejections(capacities, compute_floor_slots(row, slots))


def _build_line(
    service: ServiceName, record: ServerRecord, is_ejected: bool, share: float
) -> VerdictLine:
    return VerdictLine(
        service,
        record.name,
        is_ejected,
        round(share, 1),
        record.reason,
        round(record.score, 1),
    )


def _add_line(
    lines: dict[DataHall, list[VerdictLine]],
    line: VerdictLine,
    halls: Collection[DataHall],
) -> None:
    """Add a line for the given halls; for all halls if none is given."""
    for hall in halls or lines:
        if hall in lines:
            lines[hall].append(line)
