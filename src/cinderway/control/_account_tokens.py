"""One account's tokens at one replica: what it handed out, lent and borrowed. Pure."""

from dataclasses import dataclass, field

from cinderway._ids import Address
from cinderway.limits import AllowancePool

# How long others are not asked again after they had too little: an account that has
# spent all of its allowance must not keep the replicas busy.
URGE_PAUSE_MS = 200
# Between two asks of others for one account that no request waits for. With one each
# quarter of a second an account of 60 requests a second cost 6.1 messages a request in
# place of 2.2 (`python -m bench allowances`, half of its rate).
REBORROW_MS = 1_500


@dataclass(frozen=True)
class Standing:
    """This replica's place in the group: its share is one of `voters`, or nothing."""

    is_voter: bool
    voters: int

    @property
    def share(self) -> float:
        """The part of each account's limit that this replica hands out."""
        return 1 / self.voters if self.is_voter and self.voters else 0.0


@dataclass
class Loan:
    """Tokens that another replica lent, and until when they may be handed out."""

    tokens: int = 0
    usable_until_ms: int = 0


@dataclass
class AccountTokens:
    """One account's tokens here: its pool, and what others lent to it."""

    pool: AllowancePool
    loans: dict[Address, Loan] = field(default_factory=dict)
    borrowers: set[Address] = field(default_factory=set)
    # When others last had too few tokens for the requests that waited.
    denied_at_ms: int = -URGE_PAUSE_MS
    # When others were last asked.
    borrowed_at_ms: int = -REBORROW_MS

    def needed(self, now_ms: int) -> int:
        """Return the tokens that count against the own share, without loans."""
        held = self.pool.held_by
        lent = sum(held(borrower, now_ms) for borrower in self.borrowers)
        return self.pool.charged(now_ms) - lent

    def borrowed(self, now_ms: int) -> int:
        """Return the tokens that others lent and that may be handed out."""
        loans = self.loans.values()
        return sum(loan.tokens for loan in loans if now_ms < loan.usable_until_ms)
