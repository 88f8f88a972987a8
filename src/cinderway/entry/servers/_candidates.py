"""Candidate servers for a request, with the known load of each."""

import random
from collections.abc import Callable, Collection
from operator import attrgetter

from cinderway._ids import DataHall, ServerName
from cinderway.entry._blackboard import ServerState
from cinderway.judgement import suspicion_left
from cinderway.routing import Candidate, draw_sample

# Share factor for a server that has just started, which takes about twice as long for
# each request.
WARMUP_SHARE = 0.5
# A server below this counts as proven when servers are sampled.
PROVEN_BELOW = 0.5

# Whether a request would be sent to a server on a kept-alive connection.
ConnectedCheck = Callable[[ServerState], bool]


def is_never_connected(server: ServerState) -> bool:
    """Prefer no server."""
    return False


def find_free_servers(
    subset: list[tuple[ServerState, int]],
    exclude: Collection[ServerName],
    now_ms: int,
) -> list[ServerState]:
    """Return the servers that are not paused and have a free slot for this entry.

    `subset` pairs each server with its limit of concurrent requests from this entry.
    """
    return [
        server
        for server, limit in subset
        if server.in_flight < limit
        and server.pause_until_ms <= now_ms
        and server.row.name not in exclude
    ]


def sample_candidates(
    free: list[ServerState],
    own_hall: DataHall,
    rng: random.Random,
    now_ms: int,
    is_connected: ConnectedCheck = is_never_connected,
    *,
    prefers_proven: bool = False,
) -> list[Candidate]:
    """Return a random sample of the free servers, from the own hall and from others.

    Some connected servers are added, and with `prefers_proven` also some that have just
    answered well, unless they are suspect. Candidates are built only for the sample,
    since a service may have hundreds of servers.
    """
    own = [server for server in free if server.row.data_hall == own_hall]
    others = [server for server in free if server.row.data_hall != own_hall]

    def is_preferred(server: ServerState) -> bool:
        if server.suspect_until_ms > now_ms:
            return False
        is_proven = prefers_proven and server.unproven_at(now_ms) < PROVEN_BELOW
        return is_proven or is_connected(server)

    prefers = prefers_proven or is_connected is not is_never_connected
    sample = [
        server
        for group in (own, others)
        for server in draw_sample(group, rng, is_preferred if prefers else None)
    ]
    return build_candidates(sample, now_ms, is_connected)


def sample_all(
    free: list[ServerState],
    own_hall: DataHall,
    rng: random.Random,
    now_ms: int,
    is_suitable: Callable[[list[Candidate]], list[Candidate]],
    is_connected: ConnectedCheck = is_never_connected,
) -> list[Candidate]:
    """Return a random sample of the free servers that are suitable.

    For the case that the sample of all free servers has no suitable one. It is no
    larger than that sample, since entries that choose the best of all suitable servers
    send their requests to the same one.
    """
    suitable = is_suitable(build_candidates(free, now_ms, is_connected))
    own = [candidate for candidate in suitable if candidate.data_hall == own_hall]
    others = [candidate for candidate in suitable if candidate.data_hall != own_hall]
    prefers = is_connected is not is_never_connected
    is_preferred = attrgetter("is_preferred") if prefers else None
    return [
        candidate
        for group in (own, others)
        for candidate in draw_sample(group, rng, is_preferred)
    ]


def build_candidates(
    free: list[ServerState],
    now_ms: int,
    is_connected: ConnectedCheck = is_never_connected,
) -> list[Candidate]:
    """Return a candidate for each of the free servers."""
    return [_build_candidate(server, now_ms, is_connected(server)) for server in free]


def _build_candidate(server: ServerState, now_ms: int, is_connected: bool) -> Candidate:
    is_warming_up = now_ms < server.warm_until_ms
    return Candidate(
        name=server.row.name,
        data_hall=server.row.data_hall,
        weight=server.row.weight,
        slots=server.row.slots,
        in_flight=server.in_flight,
        known_load=server.load_at(now_ms),
        load_age_ms=now_ms - server.load_known_at_ms,
        suspicion=suspicion_left(server.suspect_until_ms, now_ms),
        unproven=server.unproven_at(now_ms),
        share=server.share * (WARMUP_SHARE if is_warming_up else 1),
        is_connected=is_connected,
    )
