"""Choose a backend server: least loaded first, in the own data hall if it can."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import xxhash

from cinderway._ids import DataHall, EntryName, ServerName

# A server elsewhere must look this much emptier before a request leaves the hall:
# the way there costs more than a small difference in load.
OTHER_HALL_PENALTY = 0.25
FULL_WEIGHT = 100
# One that has just failed a request comes after another hall's, but for downloads,
# whose bytes cost more on the way than a second try.
SUSPECT_PENALTY = 1.5


@dataclass(frozen=True)
class Candidate:
    """A backend server that may get the request.

    `in_flight` counts this entry's own requests; `reported_load` is the share of
    slots in use by the server's last report, 0 if unknown. `share` scales the
    weight down during slow start or on probation, over 0 up to 1. `is_suspect` says
    that it failed a request a moment ago.
    """

    name: ServerName
    data_hall: DataHall
    weight: int
    slots: int
    in_flight: int
    reported_load: float
    share: float = 1.0
    is_suspect: bool = False


def choose(
    candidates: Iterable[Candidate],
    own_hall: DataHall,
    rng: random.Random,
    exclude: Collection[ServerName] = (),
    hall_penalty: float = OTHER_HALL_PENALTY,
) -> Candidate | None:
    """Return the candidate with the least load for its weight, or None.

    Ties, which are common with 3 or 4 slots, are broken at random so that entries
    that see the same loads do not all choose the same server. `hall_penalty` is the
    share of a server's slots by which one elsewhere must look emptier.
    """
    best, best_score = None, 0.0
    for candidate in candidates:
        if candidate.name in exclude:
            continue
        score = _score(candidate, own_hall, hall_penalty) + rng.random() * 0.01
        if best is None or score < best_score:
            best, best_score = candidate, score
    return best


def _score(candidate: Candidate, own_hall: DataHall, hall_penalty: float) -> float:
    own_load = (candidate.in_flight + 1) / candidate.slots
    load = max(own_load, candidate.reported_load + 1 / candidate.slots)
    penalty = 0.0 if candidate.data_hall == own_hall else hall_penalty
    penalty += SUSPECT_PENALTY if candidate.is_suspect else 0.0
    effective_weight = candidate.weight / FULL_WEIGHT * candidate.share
    return (load + penalty) / max(effective_weight, 0.001)


def rank_of(first: str, second: str) -> int:
    """Return the rendezvous hash of two names."""
    return xxhash.xxh3_64_intdigest(f"{first}\0{second}".encode())


def own_subset(
    entry: EntryName, servers: Collection[ServerName], size: int
) -> frozenset[ServerName]:
    """Return the servers that an entry keeps connections to.

    Rendezvous hashing: each entry ranks all servers by a hash of both names, so a
    server that comes or goes moves only its own share, and nobody has to agree.
    """
    if size >= len(servers):
        return frozenset(servers)
    ranked = sorted(servers, key=lambda server: rank_of(entry, server))
    return frozenset(ranked[:size])
