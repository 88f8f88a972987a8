"""Simulate the proxy's decision code against modelled servers and callers.

An experiment runs the unmodified decision code of entries and control replicas in
virtual time; network links, backend servers and callers are models. Hundreds of
entries run in seconds, and the same seed gives the same result. A simulation shows
whether a policy makes callers' results better or worse; by how much, only real
processes can show.
"""

from cinderway.experiment._callers import Outcome, RequestResult
from cinderway.experiment._declaration import Experiment, read_experiment
from cinderway.experiment._result import by_route, draw, table_of, write_csv
from cinderway.experiment._run import PlayResult, play

__all__ = [
    "Experiment",
    "Outcome",
    "PlayResult",
    "RequestResult",
    "by_route",
    "draw",
    "play",
    "read_experiment",
    "table_of",
    "write_csv",
]
