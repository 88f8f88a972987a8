"""Hedging delays, retry times and penalties by route and rejection reason. Pure."""

from dataclasses import replace

from cinderway._errors import ErrorCode
from cinderway.catalog import RouteKind
from cinderway.judgement import Pace
from cinderway.routing import Penalties

# Randomized, so that callers that are told to retry do not all do so at once.
RETRY_AFTER_MINIMUM_S = 0.2
RETRY_AFTER_SPREAD_S = 0.4
# A server that shed a request may accept the next one: slots become free within 0.1 s
# to 0.2 s, and a caller that retries by then still gets its answer in time.
SHED_RETRY_AFTER_MINIMUM_S = 0.1
SHED_RETRY_AFTER_SPREAD_S = 0.2
# A repeatable request that fails is sent to another server at once, at the cost of a
# retry. For a request that cannot be sent again a failure is final, whereas waiting for
# a slot is not: a suspect server gets it only if all others have long queues.
REPEATABLE_PENALTIES = Penalties(other_hall=0.7, suspect=3.0)
ONCE_PENALTIES = Penalties(other_hall=0.7, suspect=5.0)
# A large answer from another data hall costs more than a long wait for a server of the
# entry's own hall. The penalty is finite, since downloads in a hall whose few servers
# hang would fail otherwise.
DOWNLOAD_PENALTIES = Penalties(other_hall=4.0, suspect=3.0)
# The same holds for a large body, and like every request that may run only once, an
# upload prefers a server of another hall to a suspect one.
UPLOAD_PENALTIES = Penalties(other_hall=4.0, suspect=5.0)

# A proven server is used until its slots are occupied before an unproven one with none
# occupied: up to there, requests do not wait for each other.
UNPROVEN_PENALTY = 1.0


def compute_hedge_delay_ms(pace: Pace, objective_ms: int) -> float:
    """Return the delay after which a repeatable request is hedged to a second server.

    Nine tenths of the answers arrive sooner, so that few hedges are wasted. If those
    nine tenths take long, as in a queue, the hedge is sent early enough for the second
    server's answer to arrive within the objective.
    """
    if not objective_ms:
        return pace.slow_ms
    latest_ms = max(objective_ms - pace.usual_ms, pace.usual_ms)
    return min(pace.slow_ms, latest_ms)


def compute_retry_after_s(code: ErrorCode, spread: float) -> float:
    """Return after how long a refused caller should retry; `spread` is from 0 to 1."""
    if code is ErrorCode.BACKEND_SHED:
        after_s = SHED_RETRY_AFTER_MINIMUM_S + SHED_RETRY_AFTER_SPREAD_S * spread
    else:
        after_s = RETRY_AFTER_MINIMUM_S + RETRY_AFTER_SPREAD_S * spread
    return round(after_s, 2)


def get_penalties(kind: RouteKind, *, prefers_proven: bool = False) -> Penalties:
    """Return the penalties for choosing a server for requests of a route.

    With `prefers_proven`, requests that run at most once prefer servers that have just
    answered well.
    """
    penalties = _get_kind_penalties(kind)
    if not prefers_proven or kind.is_repeatable:
        return penalties
    return replace(penalties, unproven=UNPROVEN_PENALTY)


def _get_kind_penalties(kind: RouteKind) -> Penalties:
    match kind:
        case RouteKind.DOWNLOAD:
            return DOWNLOAD_PENALTIES
        case RouteKind.REPEATABLE:
            return REPEATABLE_PENALTIES
        case RouteKind.ONCE:
            return ONCE_PENALTIES
        case RouteKind.UPLOAD:
            return UPLOAD_PENALTIES
