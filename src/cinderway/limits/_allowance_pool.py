"""Tokens of one client account that one control replica may hand out.

Pure: time is passed in. A holder is an entry, or another replica that borrows.

A token lets one request be sent. It is charged from the moment it is handed out until a
window after its holder says that it was used; one that its holder never speaks of again
is charged until a window after its lease has ended.
"""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

# A holder may save up beyond its need, but this share of what is free at the most: the
# next holders need some too, and what is held in vain is lost to all for a lease.
RESERVE_SHARE = 0.1
# What stays free of the limit for those who have a need, such as entries whose replica
# is lost.
KEPT_SHARE = 0.15


@dataclass(frozen=True)
class AllowanceRules:
    """How much of an account's rate and burst fits into a span of time."""

    window_ms: int
    overshoot_ratio: float = 0.0
    slack_requests: float = 0.0

    def limit(self, rate_per_s: float, burst: float) -> float:
        """Return the requests that an account may have sent in any window."""
        due = rate_per_s * self.window_ms / 1000 + burst
        return due * (1 + self.overshoot_ratio) + self.slack_requests


@dataclass(frozen=True)
class TokenAsk:
    """What a holder says of its tokens, and what it would like.

    `used` is how many it used since it last said so, `held` how many it still has.
    `needed` are for requests that wait now, `wanted` these and what it would save up.
    """

    used: int = 0
    held: int = 0
    needed: int = 0
    wanted: int = 0


@dataclass(frozen=True)
class TokenAnswer:
    """How many tokens were added; if too few, in what time some may come free."""

    granted: int
    room_in_ms: int = 0


@dataclass(frozen=True)
class _Lease:
    tokens: int
    until_ms: int


@dataclass
class AllowancePool:
    """All tokens of one account at one replica.

    Guarantee: for any window, the tokens used in it that this pool handed out never
    outnumber the largest limit that `take` was given, whatever answers are lost and
    whatever holders end, restart or fall silent; a holder has to use a token before its
    lease, counted from when it asked, is over.
    """

    window_ms: int
    _leases: dict[Hashable, _Lease] = field(default_factory=dict)
    # When tokens were used or lost, oldest first, and how many.
    _used: deque[tuple[int, int]] = field(default_factory=deque)
    _used_count: int = 0
    _leased_count: int = 0

    def take(
        self, holder: Hashable, ask: TokenAsk, limit: float, now_ms: int, lease_ms: int
    ) -> TokenAnswer:
        """Note what a holder says, and hand out what fits under the limit."""
        self._forget(now_ms)
        self._drop_lease(holder)
        self._note_used(ask.used, now_ms)
        free = int(max(limit - self._charged_count - ask.held, 0))
        granted = _share_of(free, ask, limit)
        self._lease(holder, ask.held + granted, now_ms + lease_ms)
        if granted >= ask.needed:
            return TokenAnswer(granted)
        return TokenAnswer(granted, self._room_in_ms(now_ms))

    def add(
        self, holder: Hashable, needed: int, limit: float, now_ms: int, lease_ms: int
    ) -> int:
        """Hand out more to a holder that has just asked; return how many tokens."""
        self._forget(now_ms)
        granted = min(int(max(limit - self._charged_count, 0)), needed)
        tokens = self.held_by(holder, now_ms) + granted
        self._drop_lease(holder)
        self._lease(holder, tokens, now_ms + lease_ms)
        return granted

    def charged(self, now_ms: int) -> int:
        """Return how many tokens count against the limit now."""
        self._forget(now_ms)
        return self._charged_count

    def held_by(self, holder: Hashable, now_ms: int) -> int:
        """Return how many tokens a holder has as far as it said."""
        self._forget(now_ms)
        lease = self._leases.get(holder)
        return lease.tokens if lease is not None else 0

    @property
    def _charged_count(self) -> int:
        return self._used_count + self._leased_count

    def _lease(self, holder: Hashable, tokens: int, until_ms: int) -> None:
        if tokens:
            self._leases[holder] = _Lease(tokens, until_ms)
            self._leased_count += tokens

    def _drop_lease(self, holder: Hashable) -> None:
        lease = self._leases.pop(holder, None)
        if lease is not None:
            self._leased_count -= lease.tokens

    def _note_used(self, count: int, at_ms: int) -> None:
        if count:
            self._used.append((at_ms, count))
            self._used_count += count

    def _forget(self, now_ms: int) -> None:
        """Count what leases left behind as used, and drop what is a window old."""
        ended = [h for h, lease in self._leases.items() if lease.until_ms <= now_ms]
        for holder in ended:
            lease = self._leases[holder]
            self._drop_lease(holder)
            self._note_used(lease.tokens, lease.until_ms)
        while self._used and self._used[0][0] + self.window_ms < now_ms:
            self._used_count -= self._used.popleft()[1]

    def _room_in_ms(self, now_ms: int) -> int:
        """Return when the oldest charge may end."""
        ends_ms = [at_ms for at_ms, _ in self._used]
        ends_ms += [lease.until_ms for lease in self._leases.values()]
        if not ends_ms:
            return self.window_ms
        return max(min(ends_ms) + self.window_ms - now_ms, 1)


def _share_of(free: int, ask: TokenAsk, limit: float) -> int:
    """Return what an ask gets of the free tokens: its need first, then a reserve."""
    needed = min(ask.needed, free)
    spare = max(free - needed - limit * KEPT_SHARE, 0)
    reserve = int(spare * RESERVE_SHARE)
    return needed + min(max(ask.wanted - ask.needed, 0), reserve)
