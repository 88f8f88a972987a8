"""Choice of a backend server by load, with a preference for the own data hall."""

import math
import random
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice
from typing import TypeVar

import xxhash

from cinderway._ids import DataHall, EntryName, ServerName

T = TypeVar("T")

# Sending a request to another hall costs more than a small difference in load saves.
OTHER_HALL_PENALTY = 0.25
FULL_WEIGHT = 100
# Larger than OTHER_HALL_PENALTY, so that servers in other halls are preferred to one
# that has just failed a request.
SUSPECT_PENALTY = 1.5
# Range of the random tie-break. Small compared with the load of one request, since 3 or
# 4 slots are common.
TIE_BREAK = 0.01
# Number of servers sampled from the own hall, and again from the other halls; the least
# loaded of them is chosen. Load reports are some tens of milliseconds old: if all
# entries chose the least loaded of all servers, their requests would queue at the same
# one. In a smaller sample, too many servers may be suspect at the same time.
SAMPLE_SIZE = 8
# A server that this entry is connected to is preferred by this share of the load of one
# request: enough to decide between servers of about equal load, and too little to send
# it one request more than another server has.
CONNECTED_SHARE = 1 / 3
# Preferred servers, such as connected ones, that are added to a sample without them.
# With more, entries would choose among their connected servers only.
PREFERRED_SAMPLE_SIZE = 4
# Ranks a server without weight last and avoids a division by zero.
MIN_WEIGHT = 0.001


@dataclass(frozen=True)
class Penalties:
    """Penalties added to a server's load, as shares of its slots.

    A server in another hall, or one that has just failed a request, is chosen only if
    its load is lower than that of the other servers by the penalty. The same holds for
    one that has not answered well lately, by the penalty `unproven`.
    """

    other_hall: float = OTHER_HALL_PENALTY
    suspect: float = SUSPECT_PENALTY
    unproven: float = 0.0


DEFAULT_PENALTIES = Penalties()


@dataclass(frozen=True)
class Candidate:
    """A backend server that may get the request.

    `in_flight` counts this entry's own requests. `known_load` is the last known share
    of slots in use, including those that other entries' requests take, or 0 if unknown.
    `share`, above 0 and at most 1, scales the weight down during slow start or a trial.
    `suspicion` is 1 just after the server failed a request and decays to 0.
    `is_connected`: the request would be sent there on a kept-alive connection.
    `unproven` is 0 just after a good answer and rises to 1. `load_age_ms` is the time
    since a load was last reported.
    """

    name: ServerName
    data_hall: DataHall
    weight: int
    slots: int
    in_flight: int
    known_load: float
    share: float = 1.0
    suspicion: float = 0.0
    is_connected: bool = False
    unproven: float = 0.0
    load_age_ms: int = 0

    @property
    def is_preferred(self) -> bool:
        """Whether it is connected, and nothing speaks against it."""
        return self.is_connected and not self.suspicion

    @property
    def next_load(self) -> float:
        """The share of its slots in use, as far as known, with one more request."""
        own_load = (self.in_flight + 1) / self.slots
        return max(own_load, self.known_load + 1 / self.slots)


def choose_server(
    candidates: Iterable[Candidate],
    own_hall: DataHall,
    rng: random.Random,
    exclude: Collection[ServerName] = (),
    penalties: Penalties = DEFAULT_PENALTIES,
) -> Candidate | None:
    """Return the candidate with the lowest load for its weight, or None.

    The candidates are a sample of the servers, see `draw_sample`. Ties, which are
    common with 3 or 4 slots, are broken at random, so that entries that see the same
    loads do not all choose the same server.
    """
    best, best_score = None, 0.0
    for candidate in candidates:
        if candidate.name in exclude:
            continue
        penalty = penalties.suspect * candidate.suspicion
        penalty += penalties.unproven * candidate.unproven
        if candidate.data_hall != own_hall:
            penalty += penalties.other_hall
        if candidate.is_preferred:
            penalty -= CONNECTED_SHARE / candidate.slots
        score = _score(candidate, penalty) + rng.random() * TIE_BREAK
        if best is None or score < best_score:
            best, best_score = candidate, score
    return best


def draw_sample(
    servers: list[T],
    rng: random.Random,
    is_preferred: Callable[[T], bool] | None = None,
) -> list[T]:
    """Return a random sample of `SAMPLE_SIZE` servers, or all if there are no more.

    Up to `PREFERRED_SAMPLE_SIZE` preferred servers are added that the sample missed.
    """
    if len(servers) <= SAMPLE_SIZE:
        return servers
    sample = rng.sample(range(len(servers)), SAMPLE_SIZE)
    drawn = [servers[number] for number in sample]
    if is_preferred is None:
        return drawn
    others = (n for n in _walk_in_random_order(len(servers), rng) if n not in sample)
    missed = (servers[n] for n in others if is_preferred(servers[n]))
    return drawn + list(islice(missed, PREFERRED_SAMPLE_SIZE))


def _walk_in_random_order(count: int, rng: random.Random) -> Iterator[int]:
    """Yield each number below `count` once, without building a list of them.

    The walk starts at random and has a random stride without a common divisor.
    """
    stride = rng.randrange(1, count)
    while math.gcd(stride, count) != 1:
        stride = rng.randrange(1, count)
    number = rng.randrange(count)
    for _ in range(count):
        yield number
        number = (number + stride) % count


def _score(candidate: Candidate, penalty: float) -> float:
    effective_weight = candidate.weight / FULL_WEIGHT * candidate.share
    return (candidate.next_load + penalty) / max(effective_weight, MIN_WEIGHT)


def rendezvous_rank(first: str, second: str) -> int:
    """Return the rendezvous hash of two names."""
    return xxhash.xxh3_64_intdigest(f"{first}\0{second}".encode())


def connection_subset(
    entry: EntryName, servers: Collection[ServerName], size: int
) -> frozenset[ServerName]:
    """Return the servers that an entry keeps connections to.

    Uses rendezvous hashing: each entry ranks all servers by a hash of both names. A
    server that is added or removed changes only its own share of the assignments, and
    the entries need no coordination.
    """
    if size >= len(servers):
        return frozenset(servers)
    ranked = sorted(servers, key=lambda server: rendezvous_rank(entry, server))
    return frozenset(ranked[:size])
