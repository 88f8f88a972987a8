"""Token bucket by which one entry paces its requests to a rate-limited server. Pure."""

import math
from dataclasses import dataclass

MS_PER_S = 1_000


@dataclass
class RateTokenBucket:
    """One entry's token bucket for one server; it holds at most one token.

    `rate_per_s` is the server's limit for the whole fleet; `share_per_s` is the entry's
    share of it, 0 if it has none.
    """

    valid_until_ms: int
    rate_per_s: float
    share_per_s: float = 0.0
    # When the last token was consumed, or when the entry received its share. The bucket
    # starts empty, since the previous owner of the share may just have used a token.
    _last_ms: int = 0

    @property
    def token_interval_ms(self) -> float:
        """The interval between two tokens; infinite without a share."""
        return MS_PER_S / self.share_per_s if self.share_per_s else math.inf

    @property
    def next_at_ms(self) -> float:
        """When the next token becomes available; infinite without a share."""
        return self._last_ms + self.token_interval_ms

    def compute_next_in_fleet_ms(self, now_ms: int) -> float:
        """Return the time to the next token; without a share, the rate's interval."""
        if not self.share_per_s:
            return MS_PER_S / self.rate_per_s
        return max(self.next_at_ms - now_ms, 0)

    def set_share(self, share_per_s: float, now_ms: int) -> None:
        """Set the entry's share of the rate."""
        if not self.share_per_s:
            self._last_ms = now_ms
        self.share_per_s = share_per_s

    def count_tokens_until(self, until_ms: float) -> int:
        """Return how many tokens become available before `until_ms`."""
        if until_ms <= self.next_at_ms:
            return 0
        return math.ceil((until_ms - self.next_at_ms) / self.token_interval_ms)

    def acquire(self, now_ms: int) -> bool:
        """Consume a token; return False if none is available."""
        if now_ms < self.next_at_ms:
            return False
        self._last_ms = now_ms
        return True

    def release(self) -> None:
        """Return the last token, because nothing was sent."""
        if self.share_per_s:
            self._last_ms -= math.ceil(self.token_interval_ms)
