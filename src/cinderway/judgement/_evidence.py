"""Collection of an entry's good and bad observations of each backend server.

An observation is the first byte of an answer, or one piece of a streamed body. A
request that is in flight for longer than the service normally takes already counts as a
bad observation (censored data), so that detection does not wait for a timeout.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from cinderway._ids import ServerName, ServiceName
from cinderway.judgement._class_paces import ClassPaces
from cinderway.scheduling import WorkClass

# A streamed body counts as one observation for each piece of this size, so that a
# download is judged by its progress and not by its length.
PIECE_BYTES = 64 * 1024
# Assumed normal answer time of a service while the actual one is unknown; it sets the
# time after which an answer counts as slow.
UNKNOWN_NORMAL_MS = 500.0
# An exponentially distributed time exceeds 5 times its mean about once in 150 times.
SLOW_FACTOR = 5.0
SLOW_MINIMUM_MS = 100.0
# Shares of a route's latency objective, used while the answer times of its service are
# unknown. A second server that is asked at half of the objective can still answer in
# time.
ASSUMED_USUAL_SHARE = 0.25
ASSUMED_SLOW_SHARE = 0.5
ASSUMED_LATE_SHARE = 0.75
# Maximum of overdue observations for one piece, so that a single stuck stream does not
# outweigh all other observations.
OVERDUE_LIMIT = 3


class FailureKind(Enum):
    """The reason why an observation is bad."""

    ERROR = "error"
    UNREACHABLE = "unreachable"
    CUT = "cut"
    SLOW = "slow"
    OVERDUE = "overdue"


# The kinds that the loss of the entry's own paths to servers brings about as well.
AMBIGUOUS_KINDS = frozenset(
    {FailureKind.UNREACHABLE, FailureKind.CUT, FailureKind.OVERDUE}
)
# The kinds that make a server suspect at once. A slow answer does not: under load it
# tells more about the service than about the server. An overdue request does, because a
# server that hangs never answers with an error.
ALARMS = frozenset(
    {FailureKind.ERROR, FailureKind.UNREACHABLE, FailureKind.CUT, FailureKind.OVERDUE}
)


@dataclass
class ServerCounts:
    """Counts of one server's observations since the last report."""

    good: int = 0
    bad: dict[FailureKind, int] = field(default_factory=dict)
    time_sum_ms: float = 0.0
    time_count: int = 0
    answer_times_ms: list[int] = field(default_factory=list)
    # Answers to requests that had been counted as overdue.
    late_answers: int = 0
    probes: int = 0
    is_draining: bool = False

    @property
    def bad_total(self) -> int:
        """Number of bad observations of all kinds."""
        return sum(self.bad.values())

    @property
    def is_empty(self) -> bool:
        """Whether there are neither observations nor probes to report."""
        return not self.good and not self.bad and not self.probes


@dataclass(frozen=True)
class Pace:
    """Quantiles of a service's answer times.

    Half of the answers come within `usual_ms` and nine tenths within `slow_ms`. An
    answer that takes longer than `late_ms` is a bad observation of its server.
    """

    usual_ms: float
    slow_ms: float
    late_ms: float

    @classmethod
    def from_normal(cls, normal_ms: float) -> "Pace":
        """Return an estimate for when only the mean answer time is known."""
        late_ms = max(normal_ms * SLOW_FACTOR, SLOW_MINIMUM_MS)
        return cls(normal_ms, late_ms, late_ms)

    @classmethod
    def from_objective(cls, objective_ms: int) -> "Pace":
        """Return the pace of a service that meets its objective with a margin.

        It is used until enough answers have been observed. Without it, entries that
        have just started would wait for full timeouts if servers hang.
        """
        return cls(
            objective_ms * ASSUMED_USUAL_SHARE,
            objective_ms * ASSUMED_SLOW_SHARE,
            objective_ms * ASSUMED_LATE_SHARE,
        )


UNKNOWN_PACE = Pace.from_normal(UNKNOWN_NORMAL_MS)


@dataclass(eq=False)
class Attempt:
    """A request in flight.

    The wait for its current piece began at `piece_started_at_ms`. Until the head of the
    answer has arrived, `work` is the class of work if others share the service. Nothing
    is recorded of one that `is_excluded`.
    """

    service: ServiceName
    server: ServerName
    piece_started_at_ms: int
    piece_bytes: int = 0
    overdue_count: int = 0
    is_piece_overdue: bool = False
    work: WorkClass | None = None
    is_excluded: bool = False


DeferFailure = Callable[[ServiceName, FailureKind, Callable[[], None]], None]


def _record_at_once(
    service: ServiceName, kind: FailureKind, record: Callable[[], None]
) -> None:
    record()


class EvidenceLog:
    """Collects one entry's observations between two reports; time is passed in."""

    def __init__(self):
        self._counts: dict[tuple[ServiceName, ServerName], ServerCounts] = {}
        self._in_flight: set[Attempt] = set()
        self._paces: dict[ServiceName, Pace] = {}
        self._assumed_paces: dict[ServiceName, Pace] = {}
        self._class_paces = ClassPaces()
        # Called with the server and the kind of each observation in ALARMS.
        self.on_alarm: Callable[[ServerName, FailureKind], None] | None = None
        # Called with the server that answers an overdue request: it was slow but does
        # not hang.
        self.on_late_answer: Callable[[ServerName], None] | None = None
        # Called with the service, the kind and the recording of each failure in
        # AMBIGUOUS_KINDS; records it once it is known to be the server's.
        self.defer: DeferFailure = _record_at_once

    def set_pace(self, service: ServiceName, pace: Pace) -> None:
        """Set the answer times of a service, as aggregated over many entries."""
        self._paces[service] = pace

    def set_objectives(self, objectives_ms: dict[ServiceName, int]) -> None:
        """Set the latency objectives from which unknown paces are estimated."""
        self._assumed_paces = {
            service: Pace.from_objective(objective_ms)
            for service, objective_ms in objectives_ms.items()
            if objective_ms > 0
        }

    def keep_classes(self, services: set[ServiceName]) -> None:
        """Forget the classes of work of all services but these."""
        self._class_paces.keep_only(services)

    def pace(self, service: ServiceName, work: WorkClass | None = None) -> Pace:
        """Return the answer times of a service, estimated while they are unknown.

        If `work` is given, they are those of the class, as far as they are known.
        """
        known = self._paces.get(service)
        assumed = self._assumed_paces.get(service)
        if work is not None:
            known = known and self._compute_class_pace(work, known)
            if work.objective_ms:
                assumed = Pace.from_objective(work.objective_ms)
        if known is None or assumed is None:
            return known or assumed or UNKNOWN_PACE
        # All answers of a service at full load are slow. A server that hangs must still
        # be detected while its requests can meet their objective.
        return replace(known, late_ms=min(known.late_ms, assumed.late_ms))

    def class_factor(self, work: WorkClass | None) -> float:
        """Return a class's time relative to its service's usual one; 1 if unknown."""
        if work is None:
            return 1.0
        return self._class_paces.compute_factor((work.service, work.route))

    def _compute_class_pace(self, work: WorkClass, of_service: Pace) -> Pace:
        key = (work.service, work.route)
        found = self._class_paces.compute_quantiles(key, of_service.usual_ms)
        if found is None:
            return of_service
        # One in twenty answers is above the 95th percentile, and a class of short work
        # would raise more alarms than the service does at its own.
        late_ms = max(found.p95_ms, of_service.late_ms * self.class_factor(work))
        return Pace(found.p50_ms, found.p90_ms, late_ms)

    def late_after_ms(
        self, service: ServiceName, work: WorkClass | None = None
    ) -> float:
        """Time after which an answer or a piece counts as a bad observation."""
        return self.pace(service, work).late_ms

    def start_attempt(
        self,
        service: ServiceName,
        server: ServerName,
        now_ms: int,
        *,
        is_probe: bool = False,
        work: WorkClass | None = None,
    ) -> Attempt:
        """Record that a request is sent."""
        attempt = Attempt(service, server, now_ms, work=work)
        self._in_flight.add(attempt)
        if is_probe:
            self._counts_of(attempt).probes += 1
        return attempt

    def record_first_byte(self, attempt: Attempt, status: int, now_ms: int) -> None:
        """Record the arrival of an answer's head."""
        if attempt.is_excluded:
            return
        if status >= 500:
            self._record_bad(attempt, FailureKind.ERROR)
        else:
            counts = self._counts_of(attempt)
            duration_ms = max(now_ms - attempt.piece_started_at_ms, 0)
            counts.answer_times_ms.append(duration_ms)
            self._record_timing(attempt, now_ms)
            self._record_class(attempt, duration_ms)
            if attempt.is_piece_overdue:
                self._record_late_answer(attempt, counts)
        self._start_next_piece(attempt, now_ms)

    def record_progress(self, attempt: Attempt, size_bytes: int, now_ms: int) -> None:
        """Record the arrival of a part of a streamed body."""
        if attempt.is_excluded:
            return
        attempt.piece_bytes += size_bytes
        if attempt.piece_bytes >= PIECE_BYTES:
            self._record_timing(attempt, now_ms)
            self._start_next_piece(attempt, now_ms)

    def record_piece_end(self, attempt: Attempt, now_ms: int) -> None:
        """Record the end of a probe's body, which counts as one piece."""
        self._record_timing(attempt, now_ms)
        self._start_next_piece(attempt, now_ms)

    def record_draining(self, attempt: Attempt) -> None:
        """Record the server's signal that it is draining."""
        self._counts_of(attempt).is_draining = True

    def exclude_blocked_time(self, attempt: Attempt, blocked_ms: int) -> None:
        """Exclude time during which the caller, not the server, blocked the stream."""
        attempt.piece_started_at_ms += blocked_ms

    def record_failure(self, attempt: Attempt, kind: FailureKind) -> None:
        """Record that the attempt failed; an overdue one is not counted again."""
        if not attempt.is_piece_overdue:
            self._record_bad(attempt, kind)
        self._in_flight.discard(attempt)

    def end_attempt(self, attempt: Attempt) -> None:
        """Record that the attempt is over, without a further observation."""
        self._in_flight.discard(attempt)

    def exclude(self, attempt: Attempt) -> None:
        """Record nothing more of an attempt, as it tells nothing about the server."""
        attempt.is_excluded = True
        self._in_flight.discard(attempt)

    def exclude_service(self, service: ServiceName) -> None:
        """Exclude all attempts in flight to the servers of a service."""
        for attempt in [a for a in self._in_flight if a.service == service]:
            self.exclude(attempt)

    def record_overdue(self, now_ms: int) -> None:
        """Count the requests that are in flight for too long as overdue."""
        # Copied, as a failure may exclude other attempts.
        for attempt in list(self._in_flight):
            if now_ms >= self._late_at_ms(attempt):
                attempt.overdue_count += 1
                attempt.is_piece_overdue = True
                self._record_bad(attempt, FailureKind.OVERDUE)

    def next_late_at_ms(self) -> float:
        """Time at which the next request becomes overdue; infinite if there is none."""
        return min(
            (self._late_at_ms(attempt) for attempt in self._in_flight), default=math.inf
        )

    def _late_at_ms(self, attempt: Attempt) -> float:
        """Time at which the attempt is next counted as overdue."""
        if attempt.overdue_count >= OVERDUE_LIMIT:
            return math.inf
        late_after_ms = self.late_after_ms(attempt.service, attempt.work)
        return attempt.piece_started_at_ms + late_after_ms * (attempt.overdue_count + 1)

    @property
    def has_urgent_evidence(self) -> bool:
        """Whether there are observations to report without delay."""
        return any(
            c.bad or c.is_draining or c.late_answers for c in self._counts.values()
        )

    def pop_counts(self) -> dict[tuple[ServiceName, ServerName], ServerCounts]:
        """Return the observations since the last call."""
        counts, self._counts = self._counts, {}
        return counts

    def _record_timing(self, attempt: Attempt, now_ms: int) -> None:
        duration_ms = max(now_ms - attempt.piece_started_at_ms, 0)
        counts = self._counts_of(attempt)
        # Slow answers count towards the normal time too, so that it rises when the
        # whole service becomes slower. A server that gets more of a class of work that
        # takes long is not slower for it.
        counts.time_sum_ms += duration_ms / self.class_factor(attempt.work)
        counts.time_count += 1
        if attempt.is_piece_overdue:
            return
        if duration_ms > self.late_after_ms(attempt.service, attempt.work):
            self._record_bad(attempt, FailureKind.SLOW)
        else:
            counts.good += 1

    def _record_class(self, attempt: Attempt, duration_ms: int) -> None:
        """Learn how long a class of work takes, once the service's pace is known."""
        work, pace = attempt.work, self._paces.get(attempt.service)
        if work is not None and pace is not None:
            key = (work.service, work.route)
            self._class_paces.record(key, duration_ms, pace.usual_ms, pace.slow_ms)

    def _record_late_answer(self, attempt: Attempt, counts: ServerCounts) -> None:
        counts.late_answers += 1
        if self.on_late_answer is not None:
            self.on_late_answer(attempt.server)

    def _start_next_piece(self, attempt: Attempt, now_ms: int) -> None:
        attempt.piece_started_at_ms = now_ms
        attempt.piece_bytes = 0
        attempt.overdue_count = 0
        attempt.is_piece_overdue = False
        attempt.work = None

    def _record_bad(self, attempt: Attempt, kind: FailureKind) -> None:
        if attempt.is_excluded:
            return
        if kind in AMBIGUOUS_KINDS:
            self.defer(attempt.service, kind, lambda: self._count_bad(attempt, kind))
        else:
            self._count_bad(attempt, kind)

    def _count_bad(self, attempt: Attempt, kind: FailureKind) -> None:
        bad = self._counts_of(attempt).bad
        bad[kind] = bad.get(kind, 0) + 1
        if self.on_alarm is not None and kind in ALARMS:
            self.on_alarm(attempt.server, kind)

    def _counts_of(self, attempt: Attempt) -> ServerCounts:
        key = (attempt.service, attempt.server)
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = ServerCounts()
        return counts
