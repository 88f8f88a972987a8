"""Routing: the service of a request and the choice of a backend server for it."""

from cinderway.routing._choose import (
    USUAL_PENALTIES,
    Candidate,
    Penalties,
    choose,
    draw_few,
    own_subset,
    rank_of,
)
from cinderway.routing._load import LOAD_DECAY_MS, faded_load
from cinderway.routing._routes import RouteMatch, RouteTable

__all__ = [
    "LOAD_DECAY_MS",
    "USUAL_PENALTIES",
    "Candidate",
    "Penalties",
    "RouteMatch",
    "RouteTable",
    "choose",
    "draw_few",
    "faded_load",
    "own_subset",
    "rank_of",
]
