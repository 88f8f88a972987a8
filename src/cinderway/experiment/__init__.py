"""Simulate the proxy's decision code against modelled servers and callers.

An experiment runs the unmodified decision code of entries and control replicas in
virtual time; network links, backend servers and callers are models. Hundreds of
entries run in seconds, and the same seed gives the same result. A simulation shows
whether a policy makes callers' results better or worse; by how much, only real
processes can show.
"""

from cinderway.experiment._callers import Outcome, RequestResult
from cinderway.experiment._declaration import Experiment, read_experiment, scale_load
from cinderway.experiment._result import (
    format_table,
    group_by_route,
    write_csv,
    write_plot,
)
from cinderway.experiment._run import PlayResult, play

__all__ = [
    "Experiment",
    "Outcome",
    "PlayResult",
    "RequestResult",
    "format_table",
    "group_by_route",
    "play",
    "read_experiment",
    "scale_load",
    "write_csv",
    "write_plot",
]
