"""Compare what different observers saw: can it be the same server, the same service?"""

import math

from cinderway.judgement._record import Tally

# Observations that would come so seldom by chance are taken for a contradiction.
CHANCE = 0.03
# Of the peers' better half, seen so often each: above this rate it is in trouble too.
BETTER_HALF_WELL_RATE = 0.1
PEER_OBSERVATIONS = 4


def contradicts(others: Tally, failing: Tally) -> bool:
    """Whether other halls' observations do not fit what the failing hall sees.

    They contradict if they are all good, or could hardly have had so few bad ones by
    chance. A server that fails only a part of its requests may thus be ejected for one
    hall first; widening the ejection then needs little for the others.
    """
    if not others.bad:
        return others.good > 0
    rate = (failing.bad + 0.5) / (failing.count + 1)
    return _at_most(others.bad, others.count, rate) < CHANCE


def _at_most(bad: int, count: int, rate: float) -> float:
    """Probability of at most `bad` bad ones among `count` at a rate."""
    return sum(
        math.comb(count, k) * rate**k * (1 - rate) ** (count - k)
        for k in range(bad + 1)
    )


def better_half_is_well(seen: list[Tally]) -> bool:
    """Whether the better half of the peers that were seen enough does well."""
    observed = [tally for tally in seen if tally.count >= PEER_OBSERVATIONS]
    observed.sort(key=lambda tally: tally.bad_share)
    half = observed[: max(len(observed) // 2, 1)]
    if len(observed) * 2 < len(seen):
        return False
    return sum(half, Tally()).bad_share <= BETTER_HALF_WELL_RATE
