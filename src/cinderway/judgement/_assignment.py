"""Assignment of services to assessors by hashing, which needs no coordination.

Services are hashed into groups. Each group has three assessors among the live entries,
in different data halls if possible. While entries have different views of the fleet,
they report to different assessors. An entry acts on a verdict only if two of the three
assessors that it has chosen itself agree, so differing views reduce the evidence that
an assessor receives but are never unsafe.
"""

from functools import lru_cache

import xxhash

from cinderway._ids import EntryName, ServiceName
from cinderway.table import EntryReport

GROUP_COUNT = 8
ASSESSOR_COUNT = 3


@lru_cache(maxsize=4096)
def group_of(service: ServiceName) -> int:
    """Return the group that a service is judged in."""
    return xxhash.xxh3_64_intdigest(service.encode()) % GROUP_COUNT


def assessors_of(
    group: int, live: list[EntryReport], avoid: frozenset[EntryName] = frozenset()
) -> list[EntryReport]:
    """Return a group's assessors in order of rank.

    Entries in `avoid` are not chosen; callers pass those that are unreachable.
    """
    ranked = sorted(
        (report for report in live if report.name not in avoid),
        key=lambda report: _rank(group, report.name),
    )
    chosen: list[EntryReport] = []
    for report in ranked:
        halls = {other.data_hall for other in chosen}
        if len(chosen) < ASSESSOR_COUNT and report.data_hall not in halls:
            chosen.append(report)
    for report in ranked:
        if len(chosen) < ASSESSOR_COUNT and report not in chosen:
            chosen.append(report)
    return chosen


def verdict_quorum(assessors: int) -> int:
    """Return how many of an entry's assessors must agree on a verdict."""
    return assessors // 2 + 1


def _rank(group: int, name: EntryName) -> int:
    return xxhash.xxh3_64_intdigest(f"{group}\0{name}".encode())
