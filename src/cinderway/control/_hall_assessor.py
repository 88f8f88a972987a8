"""Judge backend servers from the observations of the entries that follow here.

Entries follow a replica of their own data hall where there is one, so what is judged
here is how servers look from this hall, and evidence stays in it. Pure: time is
passed in.
"""

import logging
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from cinderway._ids import DataHall, EntryName, ServerName, ServiceName
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
    ServiceJudge,
    Standing,
    Suspicions,
    floor_slots_of,
    is_out,
    permitted_ejections,
)
from cinderway.table import Bias, ServiceRow

logger = logging.getLogger(__name__)

# A verdict changes with time too: ejections end, shares grow.
REVIEW_MS = 500
# Factor by which one of a service's times must move before entries are told anew.
PACE_STEP = 1.25
# Long enough for a server to fill its caches, short beside a failure's cost.
SLOW_START_MS = 2_000
# The reason of a verdict that only takes weight away.
SLOW = "slow"

_evidence_decoder = msgspec.msgpack.Decoder(list[ServerEvidence])


@dataclass(frozen=True)
class JudgementRules:
    """What holds for all services: how sure to be, and how much to leave."""

    bias: Bias
    floor_percent: int


class HallAssessor:
    """One replica's judgement of the servers that its entries use."""

    def __init__(self, rules: JudgementRules):
        self._rules = rules
        self._judges: dict[ServiceName, ServiceJudge] = {}
        self._halls: dict[EntryName, DataHall] = {}
        self._has_evidence = False
        self._decided_at_ms = 0
        self._times: dict[ServiceName, AnswerTimes] = {}
        self._said_paces: dict[ServiceName, ServicePace] = {}
        self._ejected: set[ServerName] = set()
        self._slow: set[ServerName] = set()
        self._suspicions = Suspicions()
        self._new_suspects: dict[ServerName, int] = {}

    def take(self, batch: EvidenceBatch, now_ms: int) -> None:
        """Take one entry's observations."""
        for evidence in _evidence_decoder.decode(batch.servers):
            judge = self._judges.setdefault(evidence.service, ServiceJudge())
            judge.hear(batch.entry, batch.data_hall, now_ms)
            judge.observe(
                batch.entry,
                batch.data_hall,
                evidence,
                self._row(evidence.service),
                now_ms,
            )
            times = self._times.setdefault(evidence.service, AnswerTimes(now_ms))
            times.add(evidence.answer_times_ms, now_ms)
            self._update_suspicion(evidence, now_ms)
        self._has_evidence = True

    def _update_suspicion(self, evidence: ServerEvidence, now_ms: int) -> None:
        server = evidence.server
        if evidence.good:
            self._suspicions.note_good(server)
        alarm = evidence.main_alarm()
        if alarm is not None:
            until_ms = self._suspicions.note_alarm(server, alarm, now_ms)
            if until_ms is not None:
                self._new_suspects[server] = until_ms
        elif evidence.late_answers and self._suspicions.note_late_answer(server):
            self._new_suspects[server] = now_ms

    def new_suspects(self, now_ms: int) -> SuspectServers | None:
        """Return what changed of suspicions since the last call, if anything.

        A server that is suspect no longer is told with no time left.
        """
        found, self._new_suspects = self._new_suspects, {}
        self._suspicions.forget_old(now_ms)
        if not found:
            return None
        left_ms = [max(until_ms - now_ms, 0) for until_ms in found.values()]
        return SuspectServers(list(found), left_ms)

    def has_news(self, now_ms: int) -> bool:
        """Whether deciding again could change anything."""
        if not self._judges:
            return False
        return self._has_evidence or now_ms - self._decided_at_ms >= REVIEW_MS

    def decide(
        self, catalog: CatalogMachine, now_ms: int
    ) -> dict[DataHall, VerdictBatch]:
        """Return what to tell the entries of each hall."""
        self._has_evidence = False
        self._decided_at_ms = now_ms
        halls = {r.data_hall for r in catalog.replicas.values()}
        lines: dict[DataHall, list[VerdictLine]] = {hall: [] for hall in halls}
        self._slow &= catalog.registry.servers.keys()
        for service, judge in self._judges.items():
            self._decide_service(catalog, service, judge, lines, now_ms)
        paces = self._paces_to_tell()
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
        """Add what is to be said of one service's servers to each hall's lines."""
        row = self._row(service)
        servers = _servers_of(catalog, service)
        judge.decide(row, servers.keys(), now_ms)
        records = judge.records()
        suspected = [r for r in records if r.standing is not Standing.HEALTHY]
        healthy = [r for r in records if r.standing is Standing.HEALTHY]
        permitted = _permitted(row, servers, suspected)
        for record in suspected:
            is_ejected = record.name in permitted
            self._note_ejection(service, record, is_ejected)
            share = judge.share(record, row, now_ms)
            line = _line_of(service, record, is_ejected, share)
            _add_line(lines, line, record.halls)
        for record in healthy:
            self._note_ejection(service, record, is_ejected=False)
            share = judge.pace_share(record, now_ms)
            self._note_pace(service, record, share)
            if share < 1:
                line = VerdictLine(service, record.name, False, share, SLOW, 0.0)
                _add_line(lines, line, halls=())

    def _note_pace(
        self, service: ServiceName, record: ServerRecord, share: float
    ) -> None:
        """Log when a server turns slow and when it is no longer."""
        server = record.name
        was_slow = server in self._slow
        if share < 1 and not was_slow:
            self._slow.add(server)
            logger.info("slow %s/%s: share %.2f", service, server, share)
        elif share == 1 and was_slow:
            self._slow.remove(server)
            logger.info("no longer slow %s/%s", service, server)

    def _note_ejection(
        self, service: ServiceName, record: ServerRecord, is_ejected: bool
    ) -> None:
        """Log an ejection when it begins and when it ends."""
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
            logger.info("took back %s/%s", service, server)

    def _paces_to_tell(self) -> list[ServicePace]:
        """How long services take, told anew only when that moves by a good part."""
        for service, times in self._times.items():
            found = times.quantiles()
            if found is None:
                continue
            pace = ServicePace(service, found.usual_ms, found.slow_ms, found.late_ms)
            said = self._said_paces.get(service)
            if said is None or _has_moved(said, pace):
                self._said_paces[service] = pace
        return [self._said_paces[service] for service in sorted(self._said_paces)]

    def _row(self, service: ServiceName) -> ServiceRow:
        return ServiceRow(
            name=service,
            bias=self._rules.bias,
            floor_percent=self._rules.floor_percent,
            slow_start_ms=SLOW_START_MS,
        )


def _has_moved(said: ServicePace, pace: ServicePace) -> bool:
    return any(
        now_ms > said_ms * PACE_STEP or now_ms < said_ms / PACE_STEP
        for said_ms, now_ms in (
            (said.usual_ms, pace.usual_ms),
            (said.slow_ms, pace.slow_ms),
            (said.late_ms, pace.late_ms),
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


def _permitted(
    row: ServiceRow,
    servers: dict[ServerName, RegisteredServer],
    suspected: list[ServerRecord],
) -> Collection[ServerName]:
    """Return the servers to eject that the service's floor leaves room for."""
    condemned = {r.name: r.score for r in suspected if is_out(r.standing)}
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
    return permitted_ejections(capacities, floor_slots_of(row, slots))


def _line_of(
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
    """Add a line for some halls; for all of them if none is named."""
    for hall in halls or lines:
        if hall in lines:
            lines[hall].append(line)
