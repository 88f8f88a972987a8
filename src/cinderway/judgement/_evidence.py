"""What an entry sees of each backend server, as good and bad observations.

An observation is one answer's first byte, or one piece of a streamed body. A
request still in flight past what the service normally takes is a bad observation
already (censored evidence): detection must not wait for a timeout.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from cinderway._ids import ServerName, ServiceName

# A streamed body counts as one observation for each piece of this size, so that a
# download is judged by its progress and not by its length.
PIECE_BYTES = 64 * 1024
# Before the service's normal time is known, nothing is called slow sooner.
UNKNOWN_NORMAL_MS = 500.0
# An exponentially distributed time is above 5 means once in 150.
SLOW_FACTOR = 5.0
SLOW_MINIMUM_MS = 100.0
# Of a route's objective, where nothing else is known of its service's times: a second
# server that is asked by the half of it can still answer in time.
ASSUMED_USUAL_SHARE = 0.25
ASSUMED_SLOW_SHARE = 0.5
ASSUMED_LATE_SHARE = 0.75
# One stuck stream must not outweigh everything else.
OVERDUE_LIMIT = 3


class Bad(Enum):
    """Why an observation is bad."""

    ERROR = "error"
    UNREACHABLE = "unreachable"
    CUT = "cut"
    SLOW = "slow"
    OVERDUE = "overdue"


# What makes a server suspect at once. A slow answer does not: under load it says more
# about the service than about the server. An overdue request does: a server that hangs
# never answers with an error.
ALARMS = frozenset({Bad.ERROR, Bad.UNREACHABLE, Bad.CUT, Bad.OVERDUE})


@dataclass
class ServerCounts:
    """Observations of one server since the last report."""

    good: int = 0
    bad: dict[Bad, int] = field(default_factory=dict)
    time_sum_ms: float = 0.0
    time_count: int = 0
    answer_times_ms: list[int] = field(default_factory=list)
    # Answers that came after all to requests that had been counted overdue.
    late_answers: int = 0
    probes: int = 0
    is_draining: bool = False

    @property
    def bad_total(self) -> int:
        """Bad observations of all kinds."""
        return sum(self.bad.values())

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to report."""
        return not self.good and not self.bad and not self.probes


@dataclass(frozen=True)
class Pace:
    """How long a service takes: half of its answers come within `usual_ms`, nine
    tenths within `slow_ms`, and what takes longer than `late_ms` is in trouble.
    """

    usual_ms: float
    slow_ms: float
    late_ms: float

    @classmethod
    def from_normal(cls, normal_ms: float) -> "Pace":
        """Return the pace where nothing but the mean is known."""
        late_ms = max(normal_ms * SLOW_FACTOR, SLOW_MINIMUM_MS)
        return cls(normal_ms, late_ms, late_ms)

    @classmethod
    def from_objective(cls, objective_ms: int) -> "Pace":
        """Return the pace of a service that meets its objective with room to spare.

        Used until enough answers were seen: without it a fleet that has just started
        waits for whole timeouts where its servers hang.
        """
        return cls(
            objective_ms * ASSUMED_USUAL_SHARE,
            objective_ms * ASSUMED_SLOW_SHARE,
            objective_ms * ASSUMED_LATE_SHARE,
        )


UNKNOWN_PACE = Pace.from_normal(UNKNOWN_NORMAL_MS)


@dataclass(eq=False)
class Attempt:
    """A request in flight. `mark_ms` is when the piece now awaited was begun."""

    service: ServiceName
    server: ServerName
    mark_ms: int
    piece_bytes: int = 0
    overdue_count: int = 0
    is_piece_overdue: bool = False


class EvidenceLog:
    """Collects one entry's observations between two reports. Time is passed in."""

    def __init__(self):
        self._counts: dict[tuple[ServiceName, ServerName], ServerCounts] = {}
        self._in_flight: set[Attempt] = set()
        self._paces: dict[ServiceName, Pace] = {}
        self._assumed_paces: dict[ServiceName, Pace] = {}
        # Called with the server of each alarm, and its kind.
        self.on_alarm: Callable[[ServerName, Bad], None] | None = None
        # Called with the server of a late answer: it was slow, it does not hang.
        self.on_late_answer: Callable[[ServerName], None] | None = None

    def set_pace(self, service: ServiceName, pace: Pace) -> None:
        """Take how long the service takes, as pooled over many entries."""
        self._paces[service] = pace

    def assume_paces(self, objectives_ms: dict[ServiceName, int]) -> None:
        """Take services' objectives, to go by where no pace is known yet."""
        self._assumed_paces = {
            service: Pace.from_objective(objective_ms)
            for service, objective_ms in objectives_ms.items()
            if objective_ms > 0
        }

    def pace(self, service: ServiceName) -> Pace:
        """How long the service takes; a guess before anything is known."""
        known = self._paces.get(service)
        assumed = self._assumed_paces.get(service)
        if known is None or assumed is None:
            return known or assumed or UNKNOWN_PACE
        # While a service is full all its answers are slow. A server that hangs must
        # still be found out while its requests have hope.
        return replace(known, late_ms=min(known.late_ms, assumed.late_ms))

    def late_after_ms(self, service: ServiceName) -> float:
        """How long an observation may take before it is bad."""
        return self.pace(service).late_ms

    def begin(
        self,
        service: ServiceName,
        server: ServerName,
        now_ms: int,
        *,
        is_probe: bool = False,
    ) -> Attempt:
        """Note that a request goes out."""
        attempt = Attempt(service, server, now_ms)
        self._in_flight.add(attempt)
        if is_probe:
            self._counts_of(attempt).probes += 1
        return attempt

    def first_byte(self, attempt: Attempt, status: int, now_ms: int) -> None:
        """Note an answer's head."""
        if status >= 500:
            self._bad(attempt, Bad.ERROR)
        else:
            counts = self._counts_of(attempt)
            counts.answer_times_ms.append(max(now_ms - attempt.mark_ms, 0))
            self._timed(attempt, now_ms)
            if attempt.is_piece_overdue:
                self._note_late_answer(attempt, counts)
        self._next_piece(attempt, now_ms)

    def progress(self, attempt: Attempt, size_bytes: int, now_ms: int) -> None:
        """Note a part of a streamed body."""
        attempt.piece_bytes += size_bytes
        if attempt.piece_bytes >= PIECE_BYTES:
            self._timed(attempt, now_ms)
            self._next_piece(attempt, now_ms)

    def piece_end(self, attempt: Attempt, now_ms: int) -> None:
        """Note that a probe's body, which is about one piece, has ended."""
        self._timed(attempt, now_ms)
        self._next_piece(attempt, now_ms)

    def drain_seen(self, attempt: Attempt) -> None:
        """Note that the server says that it is leaving."""
        self._counts_of(attempt).is_draining = True

    def caller_blocked(self, attempt: Attempt, blocked_ms: int) -> None:
        """Leave out time in which the caller, not the server, held things up."""
        attempt.mark_ms += blocked_ms

    def fail(self, attempt: Attempt, kind: Bad) -> None:
        """Note that the attempt failed; what was counted overdue counts once."""
        if not attempt.is_piece_overdue:
            self._bad(attempt, kind)
        self._in_flight.discard(attempt)

    def end(self, attempt: Attempt) -> None:
        """Note that the attempt is over, with no more to say of the server."""
        self._in_flight.discard(attempt)

    def sweep(self, now_ms: int) -> None:
        """Count what is in flight for too long."""
        for attempt in self._in_flight:
            if now_ms >= self._late_at_ms(attempt):
                attempt.overdue_count += 1
                attempt.is_piece_overdue = True
                self._bad(attempt, Bad.OVERDUE)

    def next_late_at_ms(self) -> float:
        """When the next request in flight will be late; infinite if there is none."""
        return min(
            (self._late_at_ms(attempt) for attempt in self._in_flight), default=math.inf
        )

    def _late_at_ms(self, attempt: Attempt) -> float:
        """When the attempt is next to be counted overdue."""
        if attempt.overdue_count >= OVERDUE_LIMIT:
            return math.inf
        limit_ms = self.late_after_ms(attempt.service) * (attempt.overdue_count + 1)
        return attempt.mark_ms + limit_ms

    @property
    def has_urgent(self) -> bool:
        """Whether there is something that must not wait."""
        return any(
            c.bad or c.is_draining or c.late_answers for c in self._counts.values()
        )

    def take(self) -> dict[tuple[ServiceName, ServerName], ServerCounts]:
        """Return the observations since the last call."""
        counts, self._counts = self._counts, {}
        return counts

    def _timed(self, attempt: Attempt, now_ms: int) -> None:
        duration_ms = max(now_ms - attempt.mark_ms, 0)
        counts = self._counts_of(attempt)
        # Slow answers count towards the normal time too: it must follow when the
        # whole service becomes slower.
        counts.time_sum_ms += duration_ms
        counts.time_count += 1
        if attempt.is_piece_overdue:
            return
        if duration_ms > self.late_after_ms(attempt.service):
            self._bad(attempt, Bad.SLOW)
        else:
            counts.good += 1

    def _note_late_answer(self, attempt: Attempt, counts: ServerCounts) -> None:
        counts.late_answers += 1
        if self.on_late_answer is not None:
            self.on_late_answer(attempt.server)

    def _next_piece(self, attempt: Attempt, now_ms: int) -> None:
        attempt.mark_ms = now_ms
        attempt.piece_bytes = 0
        attempt.overdue_count = 0
        attempt.is_piece_overdue = False

    def _bad(self, attempt: Attempt, kind: Bad) -> None:
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
