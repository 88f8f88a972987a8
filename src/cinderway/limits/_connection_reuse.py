"""Whether a request that runs at most once uses a kept-alive connection. Pure.

The load that it responds to is that of new connections: each costs a round trip before
the request, and work at its server. Against that stands the chance that the server
closes an idle connection just while a request is sent on it: nobody then knows whether
the request ran.
"""

from dataclasses import dataclass

# Work of a server and of this entry to set up one connection. It keeps the comparison
# meaningful on paths whose round trip is close to nothing.
SETUP_WORK_MS = 1.0
# Time from the check of the socket until the server reads the request, beyond the round
# trip. A busy process on a shared processor waits about this long to be scheduled, and
# a server that closes meanwhile discards what has arrived.
SCHEDULING_MS = 10.0


@dataclass(frozen=True)
class NewConnectionCost:
    """What a new connection costs a request.

    `connect_ms` is the time that the handshake takes on the path. `rejected_share` is
    the share of connections that the server rejects or leaves without an answer, and
    `rejected_ms` the time that the request loses by it. `is_near_limit`: this entry
    has as many connections to the server as its share of the server's limit.
    """

    connect_ms: float
    rejected_share: float = 0.0
    rejected_ms: float = 0.0
    is_near_limit: bool = False

    @property
    def total_ms(self) -> float:
        """The expected cost in the request's time."""
        rejected_share = 1.0 if self.is_near_limit else self.rejected_share
        return self.connect_ms + SETUP_WORK_MS + rejected_share * self.rejected_ms


@dataclass(frozen=True)
class ReuseRisk:
    """What may happen to a request on a kept-alive connection.

    `close_rate_per_ms` is the server's rate of closing connections of that idle age.
    `unproven_share` is the share of such closes after which it is unknown whether the
    server read the request. `loss_cost_ms` is what a lost request costs: the time that
    its caller would still have waited for the answer.
    """

    close_rate_per_ms: float
    round_trip_ms: float
    unproven_share: float
    loss_cost_ms: float

    @property
    def close_chance(self) -> float:
        """The chance that the connection is closed before the request arrives.

        A close is unknown here until it has travelled one way, and the request then
        travels the other way.
        """
        window_ms = self.round_trip_ms + SCHEDULING_MS
        return min(self.close_rate_per_ms * window_ms, 1.0)


@dataclass(frozen=True)
class ReuseDecision:
    """Whether to use the connection, and the costs that were compared."""

    is_reused: bool
    kept_cost_ms: float
    new_cost_ms: float


def decide_reuse(new: NewConnectionCost, risk: ReuseRisk) -> ReuseDecision:
    """Use the kept connection if its expected cost is below that of a new one.

    A close that provably came first costs a new connection in addition.
    """
    new_cost_ms = new.total_ms
    lost_ms = risk.unproven_share * risk.loss_cost_ms
    proven_ms = (1 - risk.unproven_share) * (risk.round_trip_ms + new_cost_ms)
    kept_cost_ms = risk.close_chance * (lost_ms + proven_ms)
    return ReuseDecision(kept_cost_ms < new_cost_ms, kept_cost_ms, new_cost_ms)
