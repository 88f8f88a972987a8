"""Comparison of what different data halls and peers observed."""

import math

from cinderway.judgement._server_record import Tally

# Other halls' observations that are less probable than this at the failing hall's
# failure rate contradict those of the failing hall.
CONTRADICTION_PROBABILITY = 0.03
# A larger share of bad observations in the better half of the peers means that the
# better half fails too.
BETTER_HALF_MAX_BAD_SHARE = 0.1
# Peers with fewer observations than this are left out of the better half.
MIN_PEER_OBSERVATIONS = 4


def has_contradiction(others: Tally, failing: Tally) -> bool:
    """Whether other halls' observations are inconsistent with the failing hall's.

    They are if they are all good, or if so few bad ones are improbable at the failing
    hall's failure rate. As a result, a server that fails only part of its requests may
    be ejected for one hall first; widening the ejection to the other halls then needs
    less evidence.
    """
    if not others.bad:
        return others.good > 0
    rate = (failing.bad + 0.5) / (failing.count + 1)
    return _binomial_cdf(others.bad, others.count, rate) < CONTRADICTION_PROBABILITY


def _binomial_cdf(bad: int, count: int, rate: float) -> float:
    """Probability of at most `bad` failures in `count` trials at a failure rate."""
    return sum(
        math.comb(count, k) * rate**k * (1 - rate) ** (count - k)
        for k in range(bad + 1)
    )


def is_better_half_healthy(seen: list[Tally]) -> bool:
    """Whether the better half of the peers with enough observations is healthy.

    False if fewer than half of the peers have enough observations.
    """
    observed = [tally for tally in seen if tally.count >= MIN_PEER_OBSERVATIONS]
    observed.sort(key=lambda tally: tally.bad_share)
    half = observed[: max(len(observed) // 2, 1)]
    if len(observed) * 2 < len(seen):
        return False
    return sum(half, Tally()).bad_share <= BETTER_HALF_MAX_BAD_SHARE
