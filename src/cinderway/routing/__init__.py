"""Which service a request belongs to, and which backend server gets it."""

from cinderway.routing._choose import (
    USUAL_PENALTIES,
    Candidate,
    Penalties,
    choose,
    own_subset,
    rank_of,
)
from cinderway.routing._routes import RouteMatch, RouteTable

__all__ = [
    "USUAL_PENALTIES",
    "Candidate",
    "Penalties",
    "RouteMatch",
    "RouteTable",
    "choose",
    "own_subset",
    "rank_of",
]
