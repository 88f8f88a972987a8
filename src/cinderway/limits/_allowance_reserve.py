"""The part of each account's allowance that entries use without asking. Pure.

The load: entries lose control for many seconds while callers go on, and every account's
first request at an entry would wait for a round trip. A fixed part of each limit is
divided among all entries. Each may use its tokens once in every window, connected to
control or not, so the sum over all entries stays below the limit without any message.
The other part is granted by the control replicas to entries that need more.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from cinderway._ids import AccountName, EntryName
from cinderway.limits._allowance_pool import AllowanceRules
from cinderway.routing import rendezvous_rank

# How long an entry uses its tokens after it last heard from control. Replicas divide
# the reserve among all entries that followed them within a longer time, so that nobody
# else has been given the tokens of an entry that is cut off.
USABLE_MS = 60_000
# A request may reach its server this long after it was permitted: it may wait for a
# slot or for a connection. Uses count for so much longer than a window.
SEND_DELAY_MS = 250
# How often accounts without a recent use are forgotten.
FORGET_PERIOD_MS = 10_000


@dataclass(frozen=True)
class ReserveTerms:
    """Who divides the reserve of all accounts, and how large it is.

    Each of the `groups` gets an equal part, which the `entries` of the own `group`
    divide among them.
    """

    rules: AllowanceRules
    share: float
    group: str
    groups: frozenset[str]
    entries: frozenset[EntryName]

    def compute_tokens(
        self, account: AccountName, limit: float, entry: EntryName
    ) -> int:
        """Return how many of an account's tokens an entry may use in each window.

        `limit` is the account's limit in a window over all entries.
        """
        if entry not in self.entries:
            return 0
        of_group = _divide(int(limit * self.share), account, self.group, self.groups)
        return _divide(of_group, account, entry, self.entries)


def _divide(total: int, account: str, own: str, holders: Collection[str]) -> int:
    """Return the own part of a whole number; the parts of all holders add up to it."""
    part, remainder = divmod(total, len(holders))
    if not remainder:
        return part
    own_rank = rendezvous_rank(account, own)
    before = sum(rendezvous_rank(account, name) > own_rank for name in holders)
    return part + (before < remainder)


@dataclass
class AllowanceReserve:
    """One entry's tokens of all accounts that need no answer from control.

    Nothing is used before `usable_from_ms`: an earlier process of this entry may have
    used the tokens within the last window.
    """

    entry: EntryName
    started_at_ms: int
    terms: ReserveTerms | None = None
    # Tokens used since the start of the process, without those returned.
    use_count: int = 0
    _heard_at_ms: int = 0
    _used_at_ms: dict[AccountName, deque[int]] = field(default_factory=dict)
    _tokens: dict[tuple[AccountName, float], int] = field(default_factory=dict)
    _forget_at_ms: int = 0

    def apply(self, terms: ReserveTerms | None, now_ms: int) -> None:
        """Apply the terms that a replica sent; None if it divides no reserve."""
        self._heard_at_ms = now_ms
        if terms != self.terms:
            self.terms = terms
            self._tokens.clear()

    def record_contact(self, now_ms: int) -> None:
        """Record that the followed replica is reachable."""
        self._heard_at_ms = now_ms

    def consume(
        self, account: AccountName, rate_per_s: float, burst: float, now_ms: int
    ) -> bool:
        """Consume one token; return False if there is none now."""
        terms = self.terms
        if terms is None or now_ms - self._heard_at_ms >= USABLE_MS:
            return False
        held_ms = terms.rules.window_ms + SEND_DELAY_MS
        if now_ms - self.started_at_ms < held_ms:
            return False
        self._forget_unused(now_ms, held_ms)
        limit = terms.rules.limit(rate_per_s, burst)
        tokens = self._tokens.get((account, limit))
        if tokens is None:
            tokens = terms.compute_tokens(account, limit, self.entry)
            self._tokens[account, limit] = tokens
        used = self._used_at_ms.setdefault(account, deque())
        while used and used[0] <= now_ms - held_ms:
            used.popleft()
        if len(used) >= tokens:
            return False
        used.append(now_ms)
        self.use_count += 1
        return True

    def release(self, account: AccountName) -> bool:
        """Return the token of a request that was not sent; False if none is in use.

        If another request of the account holds a token of a lease, which of the two is
        returned makes no difference to their sum.
        """
        used = self._used_at_ms.get(account)
        if not used:
            return False
        used.pop()
        self.use_count -= 1
        return True

    def _forget_unused(self, now_ms: int, held_ms: int) -> None:
        if now_ms < self._forget_at_ms:
            return
        self._forget_at_ms = now_ms + FORGET_PERIOD_MS
        self._used_at_ms = {
            account: used
            for account, used in self._used_at_ms.items()
            if used and used[-1] > now_ms - held_ms
        }
        self._tokens = {
            key: tokens
            for key, tokens in self._tokens.items()
            if key[0] in self._used_at_ms
        }
