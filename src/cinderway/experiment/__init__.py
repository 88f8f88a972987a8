"""Play the product's own decisions against model servers and callers.

An experiment runs entries' and control replicas' decision code in virtual time, over
links, servers and callers that are models: hundreds of entries in seconds, the same
result for the same seed. It shows which way a policy moves what callers get; how far,
only real processes show.
"""

from cinderway.experiment._callers import Outcome, Result
from cinderway.experiment._declaration import Experiment, read_experiment
from cinderway.experiment._result import by_route, draw, table_of, write_csv
from cinderway.experiment._run import Played, play

__all__ = [
    "Experiment",
    "Outcome",
    "Played",
    "Result",
    "by_route",
    "draw",
    "play",
    "read_experiment",
    "table_of",
    "write_csv",
]
