"""Tokens of one client account that one control replica may grant.

Pure: time is passed in. A holder is an entry, or another replica that borrows tokens.

A token permits one request. It counts against the limit from the moment it is granted
until one window after its holder reports its use. A token that its holder never reports
again counts until one window after its lease has expired.
"""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

# Upper limit on a holder's reserve beyond its immediate need, as a share of the free
# tokens. Other holders need some too, and tokens that are held but not used are
# unavailable to everyone until the lease expires.
RESERVE_GRANT_SHARE = 0.1
# Share of the limit that reserves never use. It stays free for immediate needs, such as
# those of entries whose replica has failed.
UNRESERVED_SHARE = 0.15


@dataclass(frozen=True)
class AllowanceRules:
    """How an account's rate and burst become a limit on the requests in a window.

    Overshoot ratio and slack are what the limit tolerates beyond rate and burst.
    """

    window_ms: int
    overshoot_ratio: float = 0.0
    slack_requests: float = 0.0

    def limit(self, rate_per_s: float, burst: float) -> float:
        """Return the maximum number of requests of an account in any window."""
        base_limit = rate_per_s * self.window_ms / 1000 + burst
        return base_limit * (1 + self.overshoot_ratio) + self.slack_requests


@dataclass(frozen=True)
class TokenRequest:
    """A holder's report of its tokens and its request for more.

    `used` counts the tokens used since its last report, `held` those it still has.
    `needed` tokens are for requests that are waiting now; `wanted` adds a reserve.
    """

    used: int = 0
    held: int = 0
    needed: int = 0
    wanted: int = 0


@dataclass(frozen=True)
class TokenGrant:
    """The number of tokens granted; if too few, the time until some may come free."""

    granted: int
    room_in_ms: int = 0


@dataclass(frozen=True)
class _Lease:
    tokens: int
    until_ms: int


@dataclass
class AllowancePool:
    """All tokens of one account at one replica.

    Guarantee: the number of tokens granted by this pool and used within any window
    never exceeds the largest limit passed to `grant`. This holds when answers are lost
    and when holders stop, restart or become unreachable. It requires that a holder
    uses a token before its lease, counted from when it asked, expires.
    """

    window_ms: int
    _leases: dict[Hashable, _Lease] = field(default_factory=dict)
    # Pairs of time and count of tokens that were used or whose lease expired, oldest
    # first.
    _used: deque[tuple[int, int]] = field(default_factory=deque)
    _used_count: int = 0
    _leased_count: int = 0

    def grant(
        self,
        holder: Hashable,
        request: TokenRequest,
        limit: float,
        now_ms: int,
        lease_ms: int,
    ) -> TokenGrant:
        """Apply a holder's report and grant the tokens that fit under the limit."""
        self._expire(now_ms)
        self._remove_lease(holder)
        self._record_used(request.used, now_ms)
        free = int(max(limit - self._charged_count - request.held, 0))
        granted = _compute_grant(free, request, limit)
        self._add_lease(holder, request.held + granted, now_ms + lease_ms)
        if granted >= request.needed:
            return TokenGrant(granted)
        return TokenGrant(granted, self._compute_room_in_ms(now_ms))

    def add(
        self, holder: Hashable, needed: int, limit: float, now_ms: int, lease_ms: int
    ) -> int:
        """Grant more tokens to a holder that has just asked; return how many."""
        self._expire(now_ms)
        granted = min(int(max(limit - self._charged_count, 0)), needed)
        tokens = self.get_held_tokens(holder, now_ms) + granted
        self._remove_lease(holder)
        self._add_lease(holder, tokens, now_ms + lease_ms)
        return granted

    def charged(self, now_ms: int) -> int:
        """Return the number of tokens that count against the limit."""
        self._expire(now_ms)
        return self._charged_count

    def get_held_tokens(self, holder: Hashable, now_ms: int) -> int:
        """Return the number of tokens in a holder's lease."""
        self._expire(now_ms)
        lease = self._leases.get(holder)
        return lease.tokens if lease is not None else 0

    @property
    def _charged_count(self) -> int:
        return self._used_count + self._leased_count

    def _add_lease(self, holder: Hashable, tokens: int, until_ms: int) -> None:
        if tokens:
            self._leases[holder] = _Lease(tokens, until_ms)
            self._leased_count += tokens

    def _remove_lease(self, holder: Hashable) -> None:
        lease = self._leases.pop(holder, None)
        if lease is not None:
            self._leased_count -= lease.tokens

    def _record_used(self, count: int, at_ms: int) -> None:
        if count:
            self._used.append((at_ms, count))
            self._used_count += count

    def _expire(self, now_ms: int) -> None:
        """Count tokens of expired leases as used; drop uses older than the window."""
        expired = [h for h, lease in self._leases.items() if lease.until_ms <= now_ms]
        for holder in expired:
            lease = self._leases[holder]
            self._remove_lease(holder)
            self._record_used(lease.tokens, lease.until_ms)
        while self._used and self._used[0][0] + self.window_ms < now_ms:
            self._used_count -= self._used.popleft()[1]

    def _compute_room_in_ms(self, now_ms: int) -> int:
        """Return the time until a token may stop counting against the limit."""
        ends_ms = [at_ms for at_ms, _ in self._used]
        ends_ms += [lease.until_ms for lease in self._leases.values()]
        if not ends_ms:
            return self.window_ms
        return max(min(ends_ms) + self.window_ms - now_ms, 1)


def _compute_grant(free: int, request: TokenRequest, limit: float) -> int:
    """Return how many free tokens to grant: the immediate need, then a reserve."""
    needed = min(request.needed, free)
    reservable = max(free - needed - limit * UNRESERVED_SHARE, 0)
    reserve = int(reservable * RESERVE_GRANT_SHARE)
    return needed + min(max(request.wanted - request.needed, 0), reserve)
