"""The bound on a server's queue beyond which a class of work may not join it. Pure.

The case: for some seconds more work arrives than the servers' slots can finish. Work
with a long objective then fills the queues of all servers beyond the length at which
more urgent work, or equally urgent work with a shorter objective, would still be
answered in time. The bound keeps the queues short enough for the latter.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# Share of the queue that meets the need of more urgent work which less urgent work may
# fill. The rest is room for urgent work itself, for requests that other entries have
# sent since the load was known, and for work that takes longer than the mean.
LESS_URGENT_SHARE = 0.35
# A server whose slots are not all in use delays nobody.
FREE_SLOT_LOAD = 1.0


class BoundReason(Enum):
    """Why a server's queue admits a request, or why not."""

    NOTHING_MORE_URGENT = "nothing more urgent shares the service"
    FREE_SLOT = "the server has a free slot"
    SHORT_QUEUE = "the queue is shorter than the bound"
    OWED_SHARE = "the class is served far less often than the others"
    LONG_QUEUE = "the queue would delay more urgent work past its objective"


@dataclass(frozen=True)
class QueueInputs:
    """What a decision was based on.

    `load` is the share of the server's slots in use with the request included, as known
    `age_ms` ago; `limit` is the highest load that is admitted, None without a bound.
    """

    load: float
    limit: float | None
    age_ms: int


@dataclass(frozen=True)
class QueueAdmits:
    """The request may join the server's queue."""

    reason: BoundReason
    inputs: QueueInputs


@dataclass(frozen=True)
class QueueRefuses:
    """The request may not join the server's queue; another server may admit it."""

    reason: BoundReason
    inputs: QueueInputs


@dataclass(frozen=True)
class UrgentNeed:
    """The need of one other class of work at the service.

    `rank` is how many levels of urgency the class is above the one that is bounded, 0
    for a class that is equally urgent.
    """

    objective_ms: int
    work_ms: float
    rank: int


def compute_queue_room(
    needs: Iterable[UrgentNeed], service_work_ms: float
) -> float | None:
    """Return how much load a class may queue beyond the slots; None without a bound.

    A request that finds as much load queued before it waits for that many times the
    mean work of the service. Each need leaves its objective less its own work for this
    wait, of which the class may use all if it is equally urgent, and the smaller a part
    the more levels of urgency lie between.
    """
    rooms = [
        max(need.objective_ms - need.work_ms, 0.0)
        / max(service_work_ms, 1.0)
        * (LESS_URGENT_SHARE / need.rank if need.rank else 1.0)
        for need in needs
        if need.objective_ms
    ]
    return min(rooms, default=None)


@dataclass(frozen=True)
class QueueBound:
    """The bound for one class of work at all servers of a service.

    `room` is the load that the class may queue beyond the slots, None without a bound.
    A class that `is_owed` its share is not bounded, so that urgent work alone cannot
    keep it out.
    """

    room: float | None
    is_owed: bool = False

    def decide(
        self, load: float, slots: int, load_age_ms: int
    ) -> QueueAdmits | QueueRefuses:
        """Decide whether a server's queue admits one more request of the class.

        `load` includes the request. The next request after it, which may be an urgent
        one, waits for what is queued beyond the slots and for one request more.
        """
        if self.room is None:
            inputs = QueueInputs(load, None, load_age_ms)
            return QueueAdmits(BoundReason.NOTHING_MORE_URGENT, inputs)
        limit = max(FREE_SLOT_LOAD, FREE_SLOT_LOAD - 1 / slots + self.room)
        inputs = QueueInputs(load, limit, load_age_ms)
        if load <= FREE_SLOT_LOAD:
            return QueueAdmits(BoundReason.FREE_SLOT, inputs)
        if load <= limit:
            return QueueAdmits(BoundReason.SHORT_QUEUE, inputs)
        if self.is_owed:
            return QueueAdmits(BoundReason.OWED_SHARE, inputs)
        return QueueRefuses(BoundReason.LONG_QUEUE, inputs)


NO_BOUND = QueueBound(None)
