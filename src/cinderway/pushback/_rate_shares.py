"""Which entries may send to a server that names a rate, and how much each. Pure.

The rate holds for the fleet as a whole. An equal part for each entry would be less than
one request in any useful time, and what all may save up, a request each, breaks the
limit as soon as there are many. So a few entries divide the rate among them, and the
others leave the server alone. They are chosen by rendezvous hashing: nobody is asked,
and what is known of the fleet stays in force while control is away.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from cinderway._ids import EntryName, ServerName
from cinderway.routing import rank_of

# What servers bear: in any window this many times their rate, and so many requests
# more. Source: the users' promise to backend servers.
WINDOW_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5
# Of those that divide a rate, as many as may be counted twice: they were cut off, go on
# by what they knew, and others have taken their place.
OVERLAP = 0.3
# Of a server that takes less, or nothing at all: so it is found out that it takes more.
LEAST_RATE_PER_S = 0.1


@dataclass(frozen=True)
class EntryGroup:
    """The entries of one group of the fleet's, which divide a part of each rate.

    `name` is one of `groups`. An entry belongs to one group at a time: the followers of
    one control replica, or the whole fleet where entries know each other.
    """

    name: str
    groups: frozenset[str]
    entries: frozenset[EntryName]


def holder_count(rate_per_s: float) -> int:
    """Return how many entries may divide a rate.

    Each may save up one request. These and the rate itself stay below what servers
    bear, also where a part of the entries is counted twice.
    """
    borne = TOLERANCE * rate_per_s * WINDOW_S + EXTRA_REQUESTS
    spare = borne / (1 + OVERLAP) - rate_per_s * WINDOW_S
    return max(math.floor(spare), 1)


def share_of(
    server: ServerName, rate_per_s: float, entry: EntryName, group: EntryGroup | None
) -> float:
    """Return the requests a second that an entry may send; 0 where others may.

    An entry that knows of no group yet sends nothing.
    """
    if group is None:
        return 0.0
    holders = holder_count(rate_per_s)
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
    """Return the first names in a server's own order of them."""
    if count >= len(names):
        return frozenset(names)
    ranked = sorted(names, key=lambda name: rank_of(server, name), reverse=True)
    return frozenset(ranked[:count])
