"""The servers that a request may go to now, with what is known of their load."""

import random
from collections.abc import Collection

from cinderway._ids import DataHall, ServerName
from cinderway.entry._blackboard import ServerState
from cinderway.judgement import suspicion_left
from cinderway.routing import Candidate, draw_few

# A server that has just started takes about twice as long for each request.
COLD_SHARE = 0.5


def free_servers(
    subset: list[tuple[ServerState, int]],
    exclude: Collection[ServerName],
    now_ms: int,
) -> list[ServerState]:
    """Return the servers that are below their limit of requests and not paused.

    `subset` holds each server with how many requests it may get from this entry.
    """
    return [
        server
        for server, limit in subset
        if server.in_flight < limit
        and server.pause_until_ms <= now_ms
        and server.row.name not in exclude
    ]


def drawn_candidates(
    free: list[ServerState], own_hall: DataHall, rng: random.Random, now_ms: int
) -> list[Candidate]:
    """Return a few of the free servers, of the own hall and of others.

    What is known of a server is put together for those alone that are drawn: a service
    may have hundreds.
    """
    own = [server for server in free if server.row.data_hall == own_hall]
    others = [server for server in free if server.row.data_hall != own_hall]
    drawn = draw_few(own, rng) + draw_few(others, rng)
    return all_candidates(drawn, now_ms)


def all_candidates(free: list[ServerState], now_ms: int) -> list[Candidate]:
    """Return all of the free servers, with what is known of each."""
    return [_candidate(server, now_ms) for server in free]


def _candidate(server: ServerState, now_ms: int) -> Candidate:
    is_cold = now_ms < server.warm_until_ms
    return Candidate(
        name=server.row.name,
        data_hall=server.row.data_hall,
        weight=server.row.weight,
        slots=server.row.slots,
        in_flight=server.in_flight,
        known_load=server.load_at(now_ms),
        suspicion=suspicion_left(server.suspect_until_ms, now_ms),
        share=server.share * (COLD_SHARE if is_cold else 1),
    )
