"""What backend servers ask of an entry: rest for a while, or nothing more.

The field's term is pushback. A server that turns a request away may say for how long it
wants nothing from the entry that it answers; one that leaves may say so in any answer.
Both are words about the server and not about a request, and hold for one start of it.
"""

from cinderway.pushback._book import (
    LEAVING_VALID_MS,
    PUSHBACK_KEPT_LIMIT,
    PushbackBook,
    ServerPushback,
)
from cinderway.pushback._words import (
    NO_WORDS,
    REST_LIMIT_MS,
    RETRY_AFTER,
    UNAVAILABLE,
    ServerWords,
    words_of,
)

__all__ = [
    "LEAVING_VALID_MS",
    "NO_WORDS",
    "PUSHBACK_KEPT_LIMIT",
    "REST_LIMIT_MS",
    "RETRY_AFTER",
    "UNAVAILABLE",
    "PushbackBook",
    "ServerPushback",
    "ServerWords",
    "words_of",
]
