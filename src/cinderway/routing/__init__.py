"""Which service a request belongs to, and which backend server gets it."""

from cinderway.routing._choose import (
    OTHER_HALL_PENALTY,
    Candidate,
    choose,
    own_subset,
    rank_of,
)
from cinderway.routing._routes import RouteMatch, RouteTable

__all__ = [
    "OTHER_HALL_PENALTY",
    "Candidate",
    "RouteMatch",
    "RouteTable",
    "choose",
    "own_subset",
    "rank_of",
]
