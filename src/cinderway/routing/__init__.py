"""Which service a request belongs to, and which backend server gets it."""

from cinderway.routing._choose import (
    ONCE_SUSPECT_PENALTY,
    OTHER_HALL_PENALTY,
    SUSPECT_PENALTY,
    Candidate,
    choose,
    own_subset,
    rank_of,
)
from cinderway.routing._routes import RouteMatch, RouteTable

__all__ = [
    "ONCE_SUSPECT_PENALTY",
    "OTHER_HALL_PENALTY",
    "SUSPECT_PENALTY",
    "Candidate",
    "RouteMatch",
    "RouteTable",
    "choose",
    "own_subset",
    "rank_of",
]
