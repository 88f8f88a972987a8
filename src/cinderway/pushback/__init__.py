"""What backend servers ask for: rest for a while, nothing more, or no more than a rate.

The field's term is pushback. A server that turns a request away may say for how long it
wants nothing from the entry that it answers; one that leaves may say so in any answer.
All are words about the server and not about a request, and hold for one start of it. A
rate that a server names binds the whole fleet: a few entries divide it among them.
"""

from cinderway.pushback._book import (
    LEAVING_VALID_MS,
    PUSHBACK_KEPT_LIMIT,
    PushbackBook,
    ServerPushback,
    Turn,
)
from cinderway.pushback._limits import LimitRecord, RateLimit
from cinderway.pushback._messages import FleetEntries, ServerLimit, ServerLimits
from cinderway.pushback._rate_shares import (
    LEAST_RATE_PER_S,
    EntryGroup,
    holder_count,
    share_of,
)
from cinderway.pushback._turns import RateTurns
from cinderway.pushback._words import (
    NO_WORDS,
    REST_LIMIT_MS,
    RETRY_AFTER,
    UNAVAILABLE,
    ServerWords,
    words_of,
)

__all__ = [
    "LEAST_RATE_PER_S",
    "LEAVING_VALID_MS",
    "NO_WORDS",
    "PUSHBACK_KEPT_LIMIT",
    "REST_LIMIT_MS",
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
    "holder_count",
    "share_of",
    "words_of",
]
