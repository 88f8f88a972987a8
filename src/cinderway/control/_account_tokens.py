"""One account's tokens at one replica: granted, lent and borrowed. Does no I/O."""

from dataclasses import dataclass, field

from cinderway._ids import Address
from cinderway.limits import AllowancePool

# After other replicas had too few tokens for waiting requests, they are not asked again
# for this long: an account that has used up its allowance must not keep them busy.
DENIED_BACKOFF_MS = 200
# How often other replicas are asked for tokens of an account that no request waits for.
# At a quarter of a second, an account of 60 requests/s cost 6.1 messages per request
# instead of 2.2 (`python -m bench allowances`, half of its rate).
REBORROW_PERIOD_MS = 1_500


@dataclass(frozen=True)
class VotingStatus:
    """Whether this replica votes, and how many voters share the allowances."""

    is_voter: bool
    voters: int

    @property
    def share(self) -> float:
        """The part of each account's limit that this replica grants by itself."""
        return 1 / self.voters if self.is_voter and self.voters else 0.0


@dataclass
class Loan:
    """Tokens that another replica lent, and until when they may be granted."""

    tokens: int = 0
    usable_until_ms: int = 0


@dataclass
class AccountTokens:
    """One account's tokens at this replica: its pool, and loans from other replicas."""

    pool: AllowancePool
    loans: dict[Address, Loan] = field(default_factory=dict)
    borrowers: set[Address] = field(default_factory=set)
    # When other replicas last had too few tokens for the requests that waited.
    denied_at_ms: int = -DENIED_BACKOFF_MS
    # When other replicas were last asked.
    borrowed_at_ms: int = -REBORROW_PERIOD_MS

    def needed(self, now_ms: int) -> int:
        """Return the tokens charged for the own entries, without those lent."""
        held = self.pool.get_held_tokens
        lent = sum(held(borrower, now_ms) for borrower in self.borrowers)
        return self.pool.charged(now_ms) - lent

    def borrowed(self, now_ms: int) -> int:
        """Return the borrowed tokens that may still be granted."""
        loans = self.loans.values()
        return sum(loan.tokens for loan in loans if now_ms < loan.usable_until_ms)
