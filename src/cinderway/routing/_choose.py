"""Choose a backend server: least loaded first, in the own data hall if it can."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import TypeVar

import xxhash

from cinderway._ids import DataHall, EntryName, ServerName

T = TypeVar("T")

# The way to another hall costs more than a small difference in load.
OTHER_HALL_PENALTY = 0.25
FULL_WEIGHT = 100
# One that has just failed a request comes after another hall's.
SUSPECT_PENALTY = 1.5
# Small beside one request's share of the 3 or 4 slots that are common.
TIE_BREAK = 0.01
# Servers of the own hall, and as many of the others, among which the emptiest is taken.
# Loads are known late by some tens of milliseconds: if all entries took the emptiest
# of all, they would meet there and wait for each other. Of fewer, too many may be
# suspect at once.
SAMPLE_SIZE = 8
# Keeps a server without weight last instead of dividing by zero.
MIN_WEIGHT = 0.001


@dataclass(frozen=True)
class Penalties:
    """What counts against a server, as shares of its slots.

    By so much must a server of another hall, or one that failed a request just now,
    look emptier than the others before it is chosen.
    """

    other_hall: float = OTHER_HALL_PENALTY
    suspect: float = SUSPECT_PENALTY


USUAL_PENALTIES = Penalties()


@dataclass(frozen=True)
class Candidate:
    """A backend server that may get the request.

    `in_flight` counts this entry's own requests; `known_load` is the share of
    slots that others fill too, as far as known, 0 if not. `share` scales the
    weight down during slow start or on probation, over 0 up to 1. `suspicion` is 1
    just after it failed a request and fades to 0.
    """

    name: ServerName
    data_hall: DataHall
    weight: int
    slots: int
    in_flight: int
    known_load: float
    share: float = 1.0
    suspicion: float = 0.0

    @property
    def next_load(self) -> float:
        """The share of its slots that are taken with one more request, as known."""
        own_load = (self.in_flight + 1) / self.slots
        return max(own_load, self.known_load + 1 / self.slots)


def choose(
    candidates: Iterable[Candidate],
    own_hall: DataHall,
    rng: random.Random,
    exclude: Collection[ServerName] = (),
    penalties: Penalties = USUAL_PENALTIES,
) -> Candidate | None:
    """Return the least loaded for its weight of a few candidates, or None.

    A few of the own hall's and a few of the others' are drawn. Ties, which are common
    with 3 or 4 slots, are broken at random so that entries that see the same loads do
    not all choose the same server.
    """
    best, best_score = None, 0.0
    for candidate in _draw_candidates(candidates, own_hall, rng, exclude):
        penalty = penalties.suspect * candidate.suspicion
        if candidate.data_hall != own_hall:
            penalty += penalties.other_hall
        score = _score(candidate, penalty) + rng.random() * TIE_BREAK
        if best is None or score < best_score:
            best, best_score = candidate, score
    return best


def _draw_candidates(
    candidates: Iterable[Candidate],
    own_hall: DataHall,
    rng: random.Random,
    exclude: Collection[ServerName],
) -> list[Candidate]:
    """Return some candidates of the own hall and some of others, none excluded."""
    allowed = [c for c in candidates if c.name not in exclude]
    own = [c for c in allowed if c.data_hall == own_hall]
    others = [c for c in allowed if c.data_hall != own_hall]
    return draw_few(own, rng) + draw_few(others, rng)


def draw_few(servers: list[T], rng: random.Random) -> list[T]:
    """Return as many servers, drawn at random, as are compared; all if they are few."""
    if len(servers) <= SAMPLE_SIZE:
        return servers
    return rng.sample(servers, SAMPLE_SIZE)


def _score(candidate: Candidate, penalty: float) -> float:
    effective_weight = candidate.weight / FULL_WEIGHT * candidate.share
    return (candidate.next_load + penalty) / max(effective_weight, MIN_WEIGHT)


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
