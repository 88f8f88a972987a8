"""Scheduling of work of different kinds that shares one service. Pure.

Servers queue requests first come, first served, so the order of work is decided by
which server's queue a class of work may join.
"""

from cinderway.scheduling._queue_bound import (
    NO_BOUND,
    BoundReason,
    QueueAdmits,
    QueueBound,
    QueueInputs,
    QueueRefuses,
    UrgentNeed,
    compute_queue_room,
)
from cinderway.scheduling._work_class import WorkClass, find_shared_services
from cinderway.scheduling._work_mix import WorkMix
from cinderway.scheduling._work_times import WorkTime

__all__ = [
    "NO_BOUND",
    "BoundReason",
    "QueueAdmits",
    "QueueBound",
    "QueueInputs",
    "QueueRefuses",
    "UrgentNeed",
    "WorkClass",
    "WorkMix",
    "WorkTime",
    "compute_queue_room",
    "find_shared_services",
]
