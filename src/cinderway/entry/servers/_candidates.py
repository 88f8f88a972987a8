"""The servers that a request may go to now, with what is known of their load."""

from cinderway._ids import DataHall
from cinderway.entry._blackboard import ServerState
from cinderway.judgement import suspicion_left
from cinderway.routing import Candidate

# Loads are shared within a hall only. Of another hall's servers it is assumed that they
# are at least half as full as the own ones: callers come to all halls at once.
FAR_LOAD_SHARE = 0.5
# A server that has just started takes about twice as long for each request.
COLD_SHARE = 0.5


def free_candidates(
    subset: list[tuple[ServerState, int]], own_hall: DataHall, now_ms: int
) -> list[Candidate]:
    """Return the servers that are below their limit of requests and not paused.

    `subset` holds each server with how many requests it may get from this entry.
    """
    far_load = FAR_LOAD_SHARE * _own_hall_load(subset, own_hall, now_ms)
    return [
        _candidate(server, own_hall, far_load, now_ms)
        for server, limit in subset
        if server.in_flight < limit and server.pause_until_ms <= now_ms
    ]


def _own_hall_load(
    subset: list[tuple[ServerState, int]], own_hall: DataHall, now_ms: int
) -> float:
    """Return the mean of what is known of the own hall's servers' loads."""
    loads = [
        server.load_at(now_ms)
        for server, _ in subset
        if server.row.data_hall == own_hall
    ]
    return sum(loads) / len(loads) if loads else 0.0


def _candidate(
    server: ServerState, own_hall: DataHall, far_load: float, now_ms: int
) -> Candidate:
    known_load = server.load_at(now_ms)
    if server.row.data_hall != own_hall:
        known_load = max(known_load, far_load)
    is_cold = now_ms < server.warm_until_ms
    return Candidate(
        name=server.row.name,
        data_hall=server.row.data_hall,
        weight=server.row.weight,
        slots=server.row.slots,
        in_flight=server.in_flight,
        known_load=known_load,
        suspicion=suspicion_left(server.suspect_until_ms, now_ms),
        share=server.share * (COLD_SHARE if is_cold else 1),
    )
