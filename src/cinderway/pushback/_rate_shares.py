"""Selects the entries that may send to a rate-limited server, and their shares. Pure.

The rate limit applies to the whole fleet. With an equal share for each entry, an entry
could not send even one request in any useful time. And since each entry may hold one
unused token, many entries together would exceed the limit. So a few entries divide the
rate among themselves, and the others do not send to the server. They are chosen by
rendezvous hashing. This needs no coordination, and the last known state of the fleet
stays in force while the control process is unreachable.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from cinderway._ids import EntryName, ServerName
from cinderway.routing import rendezvous_rank

# In any window of this length, servers tolerate this multiple of their rate plus a
# burst of so many requests. Source: the users' commitment to backend servers.
TOLERANCE_WINDOW_S = 4.0
TOLERANCE_FACTOR = 1.5
TOLERATED_BURST = 5
# Share of the entries dividing a rate that may be counted twice: they are partitioned
# and continue with outdated state, while other entries have taken their place.
OVERLAP_SHARE = 0.3
# Used instead of a lower rate or zero, so that an occasional request shows when the
# server accepts more again.
MINIMUM_RATE_PER_S = 0.1


@dataclass(frozen=True)
class EntryGroup:
    """One group of entries in the fleet, which divides a part of each rate limit.

    `name` is one of `groups`. An entry belongs to one group at a time: the entries
    connected to one control replica, or the whole fleet where entries know each other.
    """

    name: str
    groups: frozenset[str]
    entries: frozenset[EntryName]


def compute_holder_count(rate_per_s: float) -> int:
    """Return how many entries may divide a rate.

    Each may hold one unused token. The requests from these tokens plus the rate itself
    stay below what servers tolerate, also when a part of the entries is counted twice.
    """
    tolerated = TOLERANCE_FACTOR * rate_per_s * TOLERANCE_WINDOW_S + TOLERATED_BURST
    unused_tokens = tolerated / (1 + OVERLAP_SHARE) - rate_per_s * TOLERANCE_WINDOW_S
    return max(math.floor(unused_tokens), 1)


def compute_share(
    server: ServerName, rate_per_s: float, entry: EntryName, group: EntryGroup | None
) -> float:
    """Return an entry's share of a rate in requests per second, 0 if it has none.

    An entry that does not know its group yet sends nothing.
    """
    if group is None:
        return 0.0
    holders = compute_holder_count(rate_per_s)
    names = group.groups | {group.name}
    count = holders // len(names)
    if group.name in _first_by_rank(server, names, holders % len(names)):
        count += 1
    chosen = _first_by_rank(server, group.entries, count)
    if entry not in chosen:
        return 0.0
    return rate_per_s * count / holders / len(chosen)


def _first_by_rank(
    server: ServerName, names: Collection[str], count: int
) -> frozenset[str]:
    """Return the first `count` names in the rendezvous hashing order of a server."""
    if count >= len(names):
        return frozenset(names)
    ranked = sorted(names, key=lambda name: rendezvous_rank(server, name), reverse=True)
    return frozenset(ranked[:count])
