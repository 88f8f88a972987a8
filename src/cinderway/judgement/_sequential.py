"""Sequential test for whether one backend server fails more often than its peers.

The score is a CUSUM of the log-likelihood ratio between "fails at the rate p1" and
"fails at its peers' rate p0" (Page, "Continuous inspection schemes", Biometrika 1954).
It restarts from zero whenever the observations favour the server, and crosses its
threshold after as few observations as the configured false-alarm rate allows.

The contribution of a single reporter is capped. The distance from the cap to the
threshold is larger than the weight of one bad observation, so at least two entries must
have seen the server fail: one faulty entry cannot get a server ejected, even when
another entry has a single unrelated failure there.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

from cinderway._ids import EntryName
from cinderway.table import Bias

# The test assumes that a failing server fails at least this share of its requests.
FAILING_RATE = 0.3
LOWEST_PEER_RATE = 0.02
HIGHEST_PEER_RATE = 0.5
REPORTER_CAP_SHARE = 0.6

# Thresholds of the log-likelihood ratio. A healthy server whose peers rarely fail
# crosses its threshold about once in e**threshold observations.
THRESHOLDS = {
    Bias.DETECT_SOON: 7.0,
    Bias.BALANCED: 9.0,
    Bias.EJECT_RARELY: 13.0,
}


@dataclass(frozen=True)
class Weights:
    """Log-likelihood ratios that one good and one bad observation add to the score."""

    good: float
    bad: float


def compute_weights(peer_rate: float) -> Weights:
    """Return the weights for a server whose peers fail at the rate `peer_rate`."""
    p0 = min(max(peer_rate, LOWEST_PEER_RATE), HIGHEST_PEER_RATE)
    p1 = max(FAILING_RATE, (1 + p0) / 2 if p0 > FAILING_RATE / 2 else FAILING_RATE)
    return Weights(math.log((1 - p1) / (1 - p0)), math.log(p1 / p0))


@dataclass
class Window:
    """Observations of one server since its score was last zero."""

    began_at_ms: int = 0
    good: int = 0
    bad: Counter[EntryName] = field(default_factory=Counter)
    score: float = 0.0

    def add(
        self,
        reporter: EntryName,
        good: int,
        bad: int,
        weights: Weights,
        reporter_cap: float,
        now_ms: int,
    ) -> None:
        """Add one report's observations and recompute the score.

        Bad observations count as if they came before the report's good ones, because
        they are rarer. A report without any is ignored while the score is zero.
        """
        if self.score == 0 and not bad:
            return
        if self.score == 0:
            self.began_at_ms = now_ms
        self.good += good
        if bad:
            self.bad[reporter] += bad
        self.score = self._score(weights, reporter_cap)
        if self.score <= 0:
            self.reset()

    def reset(self) -> None:
        """Discard all observations and set the score to zero."""
        self.good = 0
        self.bad.clear()
        self.score = 0.0

    def drop_reporter(self, reporter: EntryName) -> None:
        """Discard the bad observations of a reporter found to be faulty."""
        if self.bad.pop(reporter, None) and not self.bad:
            self.reset()

    def _score(self, weights: Weights, reporter_cap: float) -> float:
        against = sum(
            min(count * weights.bad, reporter_cap) for count in self.bad.values()
        )
        return against + self.good * weights.good


def reporter_cap(threshold: float, active_reporters: int) -> float:
    """Return the most that one reporter can add; a sole reporter has no cap."""
    if active_reporters < 2:
        return math.inf
    return threshold * REPORTER_CAP_SHARE
