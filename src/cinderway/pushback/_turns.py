"""When one entry may send its next request to a server that names a rate. Pure."""

import math
from dataclasses import dataclass

MS_PER_S = 1_000


@dataclass
class RateTurns:
    """One entry's turns at one server, evenly spaced; one may be saved up.

    `share_per_s` is the entry's part of the server's rate, 0 where it has none.
    """

    valid_until_ms: int
    rate_per_s: float
    share_per_s: float = 0.0
    # The last turn, or since when the entry has had a part. It begins without a turn:
    # whoever had this part before may just have used one.
    _last_ms: int = 0

    @property
    def pause_ms(self) -> float:
        """The time between two turns; infinite without a part."""
        return MS_PER_S / self.share_per_s if self.share_per_s else math.inf

    @property
    def next_at_ms(self) -> float:
        """When the next turn comes; infinite without a part."""
        return self._last_ms + self.pause_ms

    def next_in_fleet_ms(self, now_ms: int) -> float:
        """Return the time to the next turn, of this entry or else of the others."""
        if not self.share_per_s:
            return MS_PER_S / self.rate_per_s
        return max(self.next_at_ms - now_ms, 0)

    def set_share(self, share_per_s: float, now_ms: int) -> None:
        """Take over the entry's part of the rate."""
        if not self.share_per_s:
            self._last_ms = now_ms
        self.share_per_s = share_per_s

    def count_until(self, until_ms: float) -> int:
        """Return how many turns come before then."""
        if until_ms <= self.next_at_ms:
            return 0
        return math.ceil((until_ms - self.next_at_ms) / self.pause_ms)

    def take(self, now_ms: int) -> bool:
        """Use the turn that is due; False if none is."""
        if now_ms < self.next_at_ms:
            return False
        self._last_ms = now_ms
        return True

    def give_back(self) -> None:
        """Make the last turn due again: nothing was sent."""
        if self.share_per_s:
            self._last_ms -= math.ceil(self.pause_ms)
