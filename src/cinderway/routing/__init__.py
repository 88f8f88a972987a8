"""Routing: the service of a request and the choice of a backend server for it."""

from cinderway.routing._choose import (
    DEFAULT_PENALTIES,
    Candidate,
    Penalties,
    choose_server,
    connection_subset,
    draw_sample,
    rendezvous_rank,
)
from cinderway.routing._good_answers import GoodAnswers, UnservedShare
from cinderway.routing._load import LOAD_DECAY_MS, decayed_load
from cinderway.routing._routes import RouteMatch, RouteTable

__all__ = [
    "LOAD_DECAY_MS",
    "DEFAULT_PENALTIES",
    "Candidate",
    "GoodAnswers",
    "Penalties",
    "RouteMatch",
    "RouteTable",
    "UnservedShare",
    "choose_server",
    "draw_sample",
    "decayed_load",
    "connection_subset",
    "rendezvous_rank",
]
