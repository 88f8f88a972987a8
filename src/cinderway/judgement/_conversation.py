"""Messages between entries and assessors: evidence reports and verdict sheets."""

from enum import Enum

from cinderway._ids import DataHall, EntryName, ServerName, ServiceName
from cinderway.judgement._evidence import FailureKind, ServerCounts
from cinderway.poison import RequestRulings, RequestRuns
from cinderway.pushback import ServerLimits
from cinderway.wire import Conversation, Message


class ServerStanding(Enum):
    """An assessor's classification of a backend server.

    EJECTED and PROBING servers get no callers' requests. A TRIAL server gets a small
    share of its weight, a RECOVERING one a growing share.
    """

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"
    TRIAL = "trial"
    RECOVERING = "recovering"


class ServerEvidence(Message, frozen=True):
    """One entry's observations of one server since its last report."""

    service: ServiceName
    server: ServerName
    good: int = 0
    error: int = 0
    unreachable: int = 0
    cut: int = 0
    slow: int = 0
    overdue: int = 0
    time_sum_ms: float = 0.0
    time_count: int = 0
    probes: int = 0
    is_draining: bool = False
    # Time from each send to the answer's head, for answers that are not errors.
    answer_times_ms: list[int] = []
    late_answers: int = 0

    @property
    def bad(self) -> int:
        """Number of bad observations of all kinds."""
        return self.error + self.unreachable + self.cut + self.slow + self.overdue

    def main_alarm(self) -> FailureKind | None:
        """The strongest kind of alarm in this evidence, or None if there is none.

        ERROR and CUT come before UNREACHABLE: a server that failed a request is known
        to be running, whereas one that was only unreachable may be gone.
        """
        if self.error or self.cut:
            return FailureKind.ERROR
        if self.unreachable:
            return FailureKind.UNREACHABLE
        return FailureKind.OVERDUE if self.overdue else None

    def main_reason(self) -> FailureKind:
        """The most frequent kind of bad observation."""
        return max(FailureKind, key=lambda kind: getattr(self, kind.value))


class EvidenceReport(Message, frozen=True):
    """An entry's observations of a group's services since its last report.

    `sheet_sequence` is the newest sheet that the entry has received from this assessor.
    It bounds the age of the report without a comparison of clocks.
    """

    entry: EntryName
    data_hall: DataHall
    group: int
    sequence: int
    sheet_sequence: int
    servers: list[ServerEvidence]


class ServiceNormal(Message, frozen=True):
    """Normal answer time of a service's healthy servers, and their probe rate.

    `probes_per_s` is how often each server that is not suspect should be probed because
    callers' requests alone would reveal a failure too late.
    """

    service: ServiceName
    normal_ms: float
    probes_per_s: float


class ServerVerdict(Message, frozen=True):
    """An assessor's verdict on one server.

    It applies to entries in `halls`, or in all halls if that is empty, and expires
    `lease_ms` after the entry sent the report that the sheet answers. Sheets omit
    healthy servers that are neither to be probed as suspects nor draining.
    """

    service: ServiceName
    server: ServerName
    standing: ServerStanding
    halls: list[DataHall]
    lease_ms: int
    score: float
    share: float
    probes_per_s: float
    reason: str
    is_held_by_floor: bool
    is_draining: bool


class VerdictSheet(Message, frozen=True):
    """All of an assessor's verdicts on a group; replaces its previous sheet."""

    assessor: EntryName
    group: int
    sequence: int
    report_sequence: int
    services: list[ServiceNormal]
    servers: list[ServerVerdict]


JUDGEMENT = Conversation(
    "judgement",
    1,
    (EvidenceReport, VerdictSheet, RequestRuns, RequestRulings, ServerLimits),
)


def build_evidence(
    service: ServiceName, server: ServerName, counts: ServerCounts
) -> ServerEvidence:
    """Return an entry's counts of one server as a part of an evidence report."""
    by_kind = {kind.value: number for kind, number in counts.bad.items()}
    return ServerEvidence(
        service,
        server,
        good=counts.good,
        time_sum_ms=counts.time_sum_ms,
        time_count=counts.time_count,
        probes=counts.probes,
        is_draining=counts.is_draining,
        answer_times_ms=counts.answer_times_ms,
        late_answers=counts.late_answers,
        **by_kind,
    )
