"""How far a server may have begun to fail since it last answered well. Pure.

Servers fail in bursts that nothing announces, and a request that may run once is lost
where one begins. Of two servers with as much to do, the one that answered a moment ago
is the safer: it gets the request, and fewer servers are found out by losing one.
"""

import math

# A good answer says less with each moment: after this time, two thirds less. Between
# bursts, of which one comes every several seconds, a second is a small part.
DOUBT_GROWS_MS = 1_000
# A server that nobody has tried for so long is tried like one that is doing well, so
# that new servers get work and those that are well again are found.
UNTRIED_MS = 2_000


def doubt_left(proven_at_ms: int, tried_at_ms: int, now_ms: int) -> float:
    """Return how doubtful a server is, from 0 just after a good answer up to 1."""
    if now_ms - tried_at_ms >= UNTRIED_MS:
        return 0.0
    age_ms = max(now_ms - proven_at_ms, 0)
    return 1 - math.exp(-age_ms / DOUBT_GROWS_MS)
