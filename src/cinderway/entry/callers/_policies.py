"""What a route's kind and a refusal's reason mean for a request. Pure."""

from cinderway._errors import ErrorCode
from cinderway.catalog import RouteKind
from cinderway.judgement import Pace
from cinderway.routing import Penalties

# Spread, so that callers told to come back do not come together.
RETRY_AFTER_MINIMUM_S = 0.2
RETRY_AFTER_SPREAD_S = 0.4
# A server that shed a request may take the next one: slots come free within a tenth of
# a second or two, and a caller that is back by then still gets its answer in time.
SHED_RETRY_AFTER_MINIMUM_S = 0.1
SHED_RETRY_AFTER_SPREAD_S = 0.2
# A repeatable request that fails goes to another server at once, but out of a budget.
# For one that cannot be sent again a failure is final, while waiting for a slot is not:
# a suspect server gets it only where all others have long queues.
REPEATABLE_PENALTIES = Penalties(other_hall=0.7, suspect=3.0)
ONCE_PENALTIES = Penalties(other_hall=0.7, suspect=5.0)
# A large answer from another hall costs more than a long wait for one from the own. Not
# at any price: those of a hall whose few servers hang would fail.
DOWNLOAD_PENALTIES = Penalties(other_hall=4.0, suspect=3.0)


def hedge_after_ms(pace: Pace, objective_ms: int) -> float:
    """Return how long a repeatable request waits before a second server gets it.

    Most answers come sooner, so that few second tries are wasted; where those nine
    tenths take long, as in a queue, still early enough for the second server's answer
    to come within the objective.
    """
    if not objective_ms:
        return pace.slow_ms
    latest_ms = max(objective_ms - pace.usual_ms, pace.usual_ms)
    return min(pace.slow_ms, latest_ms)


def retry_after_s(code: ErrorCode, spread: float) -> float:
    """Return when a refused caller is to come back; `spread` is from 0 to 1."""
    if code is ErrorCode.BACKEND_SHED:
        after_s = SHED_RETRY_AFTER_MINIMUM_S + SHED_RETRY_AFTER_SPREAD_S * spread
    else:
        after_s = RETRY_AFTER_MINIMUM_S + RETRY_AFTER_SPREAD_S * spread
    return round(after_s, 2)


def penalties_of(kind: RouteKind) -> Penalties:
    """Return what counts against a server that is to get a route's requests."""
    match kind:
        case RouteKind.DOWNLOAD:
            return DOWNLOAD_PENALTIES
        case RouteKind.REPEATABLE:
            return REPEATABLE_PENALTIES
        case RouteKind.ONCE:
            return ONCE_PENALTIES
