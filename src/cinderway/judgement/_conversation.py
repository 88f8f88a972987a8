"""What entries report to assessors, and the verdicts that come back."""

from enum import Enum

from cinderway._ids import DataHall, EntryName, ServerName, ServiceName
from cinderway.judgement._evidence import Bad, ServerCounts
from cinderway.poison import RequestRulings, RequestRuns
from cinderway.pushback import ServerLimits
from cinderway.wire import Conversation, Message


class Standing(Enum):
    """What an assessor thinks of a backend server.

    EJECTED and PROBING servers get no callers' work; a server on TRIAL gets a small
    share of it, a RECOVERING one a growing share.
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
    # From each send to the answer's head, where an answer came that was no error.
    answer_times_ms: list[int] = []
    late_answers: int = 0

    @property
    def bad(self) -> int:
        """Bad observations of all kinds."""
        return self.error + self.unreachable + self.cut + self.slow + self.overdue

    def main_alarm(self) -> Bad | None:
        """What makes the server suspect, the most telling kind first; None if nothing.

        A server that failed a request is there; one that was only out of reach may not
        be.
        """
        if self.error or self.cut:
            return Bad.ERROR
        if self.unreachable:
            return Bad.UNREACHABLE
        return Bad.OVERDUE if self.overdue else None

    def main_reason(self) -> Bad:
        """The most frequent kind of bad observation."""
        return max(Bad, key=lambda kind: getattr(self, kind.value))


class EvidenceReport(Message, frozen=True):
    """All that an entry saw of a group's services since its last report.

    `sheet_sequence` is the newest sheet that the entry has from this assessor; it
    tells the assessor how old the report can be without comparing clocks.
    """

    entry: EntryName
    data_hall: DataHall
    group: int
    sequence: int
    sheet_sequence: int
    servers: list[ServerEvidence]


class ServiceNormal(Message, frozen=True):
    """How long the service's healthy servers normally take.

    `probes_per_s` is how often each of them should be probed although nothing speaks
    against it, because callers' requests alone would show a failure too late.
    """

    service: ServiceName
    normal_ms: float
    probes_per_s: float


class ServerVerdict(Message, frozen=True):
    """What an assessor thinks of one server; healthy ones are left out of sheets.

    Holds for entries in `halls`, or everywhere if that is empty, for `lease_ms` from
    when the entry sent the report that the sheet answers.
    """

    service: ServiceName
    server: ServerName
    standing: Standing
    halls: list[DataHall]
    lease_ms: int
    score: float
    share: float
    probes_per_s: float
    reason: str
    is_held_by_floor: bool
    is_draining: bool


class VerdictSheet(Message, frozen=True):
    """Everything that an assessor has to say of a group, replacing what it said."""

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


def evidence_from(
    service: ServiceName, server: ServerName, counts: ServerCounts
) -> ServerEvidence:
    """Return the report's form of an entry's counts."""
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
