"""What one entry has seen of the classes of work that share one service.

Soft state in memory. Only classes that carry a part of the service's requests count, so
that no queue is kept short for work that is hardly ever sent.
"""

from dataclasses import dataclass, field

from cinderway.scheduling._queue_bound import (
    QueueBound,
    UrgentNeed,
    compute_queue_room,
)
from cinderway.scheduling._work_class import WorkClass
from cinderway.scheduling._work_times import WorkTime, WorkTimes

# A class counts while it has at least this share of this entry's recent requests to the
# service, and more than a single one of them. An entry sees few requests a second: with
# less, a route that gets a few requests a minute would bound all others.
PRESENT_SHARE = 1 / 10
PRESENT_ASKED = 1.5
# A class that was not requested for so long is forgotten.
FORGET_MS = 120_000
# Bounds the memory of one service, whatever the sheet's routes and accounts are.
MAX_CLASSES = 256
# Counts of requests halve in this time.
HALF_LIFE_MS = 20_000
# Counts are scaled when the weight of a request reaches this, to bound rounding errors.
MAX_WEIGHT = 2.0**20
# After so many half-lives without a request, nothing is left of the counts.
MAX_HALF_LIVES = 60
# No class may be served less than a quarter as often as all requests; the bound is
# lifted before that.
OWED_SHARE = 0.35


@dataclass
class _SeenClass:
    """Requests of one class, each counted by the weight that it had when it came."""

    seen_at_ms: int
    asked: float = 0.0
    served: float = 0.0


@dataclass
class WorkMix:
    """The classes of work that an entry has lately seen at one service."""

    times: WorkTimes = field(default_factory=WorkTimes)
    _seen: dict[WorkClass, _SeenClass] = field(default_factory=dict)
    _present: list[WorkClass] = field(default_factory=list)
    # Weight of a request that comes now. It doubles in each half-life, so that the
    # counts of older requests become smaller in proportion without being changed.
    _weight: float = 1.0
    _weighed_at_ms: int = 0
    # Sums over all classes.
    _asked: float = 0.0
    _served: float = 0.0

    @property
    def is_mixed(self) -> bool:
        """Whether more than one class carries a part of the service's requests."""
        return len(self._present) > 1

    def record_asked(self, work: WorkClass, now_ms: int) -> None:
        """Record a request of a class."""
        self._raise_weight(now_ms)
        found = self._seen.pop(work, None) or _SeenClass(now_ms)
        # Reinserted, so that the dictionary is ordered by the last request.
        self._seen[work] = found
        found.seen_at_ms = now_ms
        found.asked += self._weight
        self._asked += self._weight
        self._drop_absent(now_ms)
        least = max(self._asked * PRESENT_SHARE, PRESENT_ASKED * self._weight)
        self._present = [c for c, seen in self._seen.items() if seen.asked >= least]

    def record_served(self, work: WorkClass) -> None:
        """Record that a server was found for a request of a class."""
        found = self._seen.get(work)
        if found is not None:
            found.served += self._weight
            self._served += self._weight

    def build_bound(self, work: WorkClass, usual_ms: float) -> QueueBound:
        """Build the bound on the queues that a class of work may join.

        `usual_ms` is the service's pace, which stands for work that is not known yet.
        """
        service_ms = self.times.service_ms() or usual_ms
        room = compute_queue_room(self._find_needs(work, service_ms), service_ms)
        return QueueBound(room, self._is_owed(work))

    def find_work_time(self, work: WorkClass) -> WorkTime | None:
        """Return the work of a class and of the queue; None where nothing is mixed."""
        service_ms = self.times.service_ms()
        if not self.is_mixed or service_ms is None:
            return None
        return WorkTime(self.times.route_ms(work.route) or service_ms, service_ms)

    def _find_needs(self, work: WorkClass, service_ms: float) -> list[UrgentNeed]:
        if not self.is_mixed:
            return []
        urgent = [c for c in self._present if c.priority <= work.priority and c != work]
        levels = sorted({c.priority for c in urgent} | {work.priority})
        own_level = levels.index(work.priority)
        return [
            UrgentNeed(
                other.objective_ms,
                self.times.route_ms(other.route) or service_ms,
                own_level - levels.index(other.priority),
            )
            for other in urgent
        ]

    def _is_owed(self, work: WorkClass) -> bool:
        """Whether a class is served far less often than all requests.

        There is no least number of requests: a class with one request a minute would
        never reach it. So the first request of a class is not bounded.
        """
        found = self._seen.get(work)
        if found is None:
            return False
        return found.served / found.asked < OWED_SHARE * self._served / self._asked

    def _raise_weight(self, now_ms: int) -> None:
        """Raise the weight of new requests; scale all counts before it gets large."""
        past_ms = max(now_ms - self._weighed_at_ms, 0)
        self._weighed_at_ms = max(now_ms, self._weighed_at_ms)
        half_lives = min(past_ms / HALF_LIFE_MS, MAX_HALF_LIVES)
        self._weight *= 2.0**half_lives
        if self._weight < MAX_WEIGHT:
            return
        for seen in self._seen.values():
            seen.asked /= self._weight
            seen.served /= self._weight
        self._asked = sum(seen.asked for seen in self._seen.values())
        self._served = sum(seen.served for seen in self._seen.values())
        self._weight = 1.0

    def _drop_absent(self, now_ms: int) -> None:
        """Drop the classes that were not requested lately, the oldest first."""
        while self._seen:
            oldest = next(iter(self._seen))
            is_present = self._seen[oldest].seen_at_ms > now_ms - FORGET_MS
            if is_present and len(self._seen) <= MAX_CLASSES:
                return
            gone = self._seen.pop(oldest)
            self._asked -= gone.asked
            self._served -= gone.served
            if all(seen.route != oldest.route for seen in self._seen):
                self.times.forget(oldest.route)
