"""Load limits: retry budgets, admission control, connection limits, allowances.

An allowance is the share of a client account's rate limit that one entry may use.
"""

from cinderway.limits._admission import Admission, Admitted, Rejected
from cinderway.limits._allowance_lease import AllowanceLease
from cinderway.limits._allowance_pool import (
    AllowancePool,
    AllowanceRules,
    TokenGrant,
    TokenRequest,
)
from cinderway.limits._allowance_reserve import AllowanceReserve, ReserveTerms
from cinderway.limits._connect_timeout import ConnectTimeout
from cinderway.limits._connection_lifetimes import (
    CLOSES_HALF_LIFE_MS,
    LOSS_WEIGHT,
    ConnectionLifetimes,
)
from cinderway.limits._connection_paths import ConnectionPaths
from cinderway.limits._connection_reuse import (
    NewConnectionCost,
    ReuseDecision,
    ReuseRisk,
    decide_reuse,
)
from cinderway.limits._connections import ConnectionPlan, plan_connections
from cinderway.limits._held_bytes import HeldBytes
from cinderway.limits._overload import compute_expected_latency_ms, is_queue_too_long
from cinderway.limits._retry_budget import RetryBudget
from cinderway.limits._retry_pool import RetryPool

__all__ = [
    "CLOSES_HALF_LIFE_MS",
    "LOSS_WEIGHT",
    "Admission",
    "Admitted",
    "AllowanceLease",
    "AllowancePool",
    "AllowanceReserve",
    "AllowanceRules",
    "ConnectTimeout",
    "ConnectionLifetimes",
    "ConnectionPaths",
    "ConnectionPlan",
    "HeldBytes",
    "NewConnectionCost",
    "Rejected",
    "ReserveTerms",
    "RetryBudget",
    "RetryPool",
    "ReuseDecision",
    "ReuseRisk",
    "TokenGrant",
    "TokenRequest",
    "compute_expected_latency_ms",
    "decide_reuse",
    "is_queue_too_long",
    "plan_connections",
]
