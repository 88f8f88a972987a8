"""Pushback from backend servers: backoff, leaving, and rate limits.

Servers send pushback in response headers:

- Backoff: a server that rejects a request may state for how long this entry should not
  send it requests. Metrics and error codes call this a rest.
- Leaving: a server that is shutting down may say so in any response.
- Rate limit: a server may state the rate of requests that it accepts from all entries
  together. A few entries divide the rate among themselves.

Pushback concerns the server, not the request whose response carried it. It applies to
one run of the server: a restarted server has none.
"""

from cinderway.pushback._headers import (
    MAXIMUM_BACKOFF_MS,
    NO_PUSHBACK,
    RETRY_AFTER,
    UNAVAILABLE,
    PushbackHeaders,
    parse_pushback_headers,
)
from cinderway.pushback._limits import RateLimit, RateLimitStore
from cinderway.pushback._messages import FleetEntries, ServerLimit, ServerLimits
from cinderway.pushback._rate_shares import (
    MINIMUM_RATE_PER_S,
    EntryGroup,
    compute_holder_count,
    compute_share,
)
from cinderway.pushback._store import (
    HELD_TOKEN,
    LEAVING_VALID_MS,
    MAXIMUM_TRACKED_SERVERS,
    PushbackStore,
    RateToken,
    ServerPushback,
)
from cinderway.pushback._token_bucket import RateTokenBucket

__all__ = [
    "HELD_TOKEN",
    "LEAVING_VALID_MS",
    "MAXIMUM_BACKOFF_MS",
    "MAXIMUM_TRACKED_SERVERS",
    "MINIMUM_RATE_PER_S",
    "NO_PUSHBACK",
    "RETRY_AFTER",
    "UNAVAILABLE",
    "EntryGroup",
    "FleetEntries",
    "RateLimitStore",
    "PushbackStore",
    "RateLimit",
    "RateTokenBucket",
    "ServerLimit",
    "ServerLimits",
    "ServerPushback",
    "PushbackHeaders",
    "RateToken",
    "compute_holder_count",
    "compute_share",
    "parse_pushback_headers",
]
