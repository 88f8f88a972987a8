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

from cinderway.pushback._book import (
    LEAVING_VALID_MS,
    MAXIMUM_TRACKED_SERVERS,
    PushbackBook,
    ServerPushback,
    Turn,
)
from cinderway.pushback._limits import LimitRecord, RateLimit
from cinderway.pushback._messages import FleetEntries, ServerLimit, ServerLimits
from cinderway.pushback._rate_shares import (
    MINIMUM_RATE_PER_S,
    EntryGroup,
    compute_holder_count,
    share_of,
)
from cinderway.pushback._turns import RateTurns
from cinderway.pushback._words import (
    MAXIMUM_BACKOFF_MS,
    NO_WORDS,
    RETRY_AFTER,
    UNAVAILABLE,
    ServerWords,
    words_of,
)

__all__ = [
    "LEAVING_VALID_MS",
    "MAXIMUM_BACKOFF_MS",
    "MAXIMUM_TRACKED_SERVERS",
    "MINIMUM_RATE_PER_S",
    "NO_WORDS",
    "RETRY_AFTER",
    "UNAVAILABLE",
    "EntryGroup",
    "FleetEntries",
    "LimitRecord",
    "PushbackBook",
    "RateLimit",
    "RateTurns",
    "ServerLimit",
    "ServerLimits",
    "ServerPushback",
    "ServerWords",
    "Turn",
    "compute_holder_count",
    "share_of",
    "words_of",
]
