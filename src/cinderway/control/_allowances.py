"""Grants tokens of client accounts' allowances to entries, at one replica.

Each voting replica has an equal share of every account's limit, so that no two replicas
have to agree before a token is granted, whatever the network partitions are. A replica
whose entries need more than its share borrows from the others; a loan is a lease like
an entry's, only longer, and borrowed tokens are not lent on.
"""

import logging
import math
from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import AccountName, Address
from cinderway.catalog import (
    AccountRow,
    AccountUse,
    AskAllowances,
    CatalogMachine,
    GrantAllowances,
    GrantedAllowance,
    HeldAllowance,
    RouteSheet,
)
from cinderway.control._account_tokens import (
    DENIED_BACKOFF_MS,
    REBORROW_PERIOD_MS,
    AccountTokens,
    Loan,
    VotingStatus,
)
from cinderway.control._commands import ReplicaCalls
from cinderway.limits import AllowancePool, AllowanceRules, TokenGrant, TokenRequest
from cinderway.wire import Message

logger = logging.getLogger(__name__)

# How long an entry may use a token, and so continues to serve without control. Its
# tokens are charged until a window after that, should it never report again.
LEASE_MS = 6_000
# How long a replica may grant borrowed tokens. The loan itself lasts longer by an
# entry's lease, so that tokens granted last still expire within the loan.
LOAN_USABLE_MS = 5_000
# How often it is checked which accounts run short of tokens here.
BORROW_PERIOD_S = 0.25
# Shorter than an entry waits for its answer.
BORROW_TIMEOUT_S = 0.15
# A replica borrows when its own entries leave less than this part of its share and
# loans unused. Tokens it has lent do not count as a need of its own: otherwise all
# replicas would borrow from each other until none has a token left.
SPARE_SHARE = 0.2
# Loans that end within this time are renewed: enough for two attempts to borrow, and
# for one that fails.
RENEW_BEFORE_MS = 2_000
# How long a replica that did not answer is not asked: entries wait for those asked.
UNREACHED_BACKOFF_MS = 1_000
# How soon an entry may ask again for an account that this replica does not know yet.
UNKNOWN_ACCOUNT_RETRY_MS = 100


@dataclass
class Allowances:
    """Grants, lends and borrows the tokens of all accounts at one replica."""

    own: Address
    machine: CatalogMachine
    calls: ReplicaCalls
    rules: AllowanceRules
    voting_status: Callable[[], VotingStatus]
    # The share of each limit that entries use without asking; replicas grant the rest.
    reserve_share: float = 0.0
    _accounts: dict[AccountName, AccountTokens] = field(default_factory=dict)
    _rows: dict[AccountName, AccountRow] = field(default_factory=dict)
    _rows_sheet: RouteSheet | None = None
    _last_unreached_ms: dict[Address, int] = field(default_factory=dict)
    # Each is held while its replica is being asked.
    _borrow_locks: dict[Address, anyio.Lock] = field(default_factory=dict)

    @property
    def loan_ms(self) -> int:
        """How long a loan is charged at its lender, before the window after it."""
        return LOAN_USABLE_MS + LEASE_MS

    def grant(
        self, holder: Hashable, asked: AskAllowances, now_ms: int
    ) -> GrantAllowances:
        """Grant tokens to an entry, or lend them to the replica in `asked.replica`."""
        lines = []
        for held in asked.lines:
            row = self._find_row(held.account)
            if row is None:
                answer = TokenGrant(0, UNKNOWN_ACCOUNT_RETRY_MS)
            elif asked.replica:
                answer = self._lend(row, asked.replica, held.request, now_ms)
            else:
                answer = self._grant_to_entry(row, holder, held.request, now_ms)
            lines.append(
                GrantedAllowance(held.account, answer.granted, answer.room_in_ms)
            )
        lease_ms = self.loan_ms if asked.replica else LEASE_MS
        return GrantAllowances(lines, lease_ms, self.rules.window_ms)

    async def borrow_missing(
        self, holder: Hashable, asked: AskAllowances, first: GrantAllowances
    ) -> GrantAllowances:
        """Return an entry's answer, with borrowed tokens added if it got too few.

        Within its allowance no account may be refused because of how the allowance is
        divided between replicas.
        """
        missing = self._find_missing(asked, first, monotonic_ms())
        rows = [row for row in map(self._find_row, missing) if row is not None]
        if not rows:
            return first
        await self._borrow(rows, missing)
        now_ms = monotonic_ms()
        lines = [
            self._top_up(holder, line, missing.get(line.account, 0), now_ms)
            for line in first.lines
        ]
        return GrantAllowances(lines, first.lease_ms, first.window_ms)

    def _find_missing(
        self, asked: AskAllowances, answer: GrantAllowances, now_ms: int
    ) -> dict[AccountName, int]:
        """Return how many tokens of each account are worth asking others for."""
        missing = {}
        if asked.replica:
            return missing
        for held, line in zip(asked.lines, answer.lines, strict=True):
            state = self._accounts.get(line.account)
            if held.needed <= line.granted or state is None:
                continue
            if now_ms - state.denied_at_ms >= DENIED_BACKOFF_MS:
                missing[line.account] = held.needed - line.granted
        return missing

    def _top_up(
        self, holder: Hashable, line: GrantedAllowance, missing: int, now_ms: int
    ) -> GrantedAllowance:
        row = self._find_row(line.account)
        if not missing or row is None:
            return line
        state = self._get_state(row.name)
        limit = self._share_of(row) + state.borrowed(now_ms)
        added = state.pool.add(holder, missing, limit, now_ms, LEASE_MS)
        if added < missing:
            state.denied_at_ms = now_ms
        return GrantedAllowance(line.account, line.granted + added, line.room_in_ms)

    async def run(self) -> None:
        """Borrow tokens of accounts that run short, until cancelled."""
        while True:
            await anyio.sleep(BORROW_PERIOD_S)
            self.forget_idle(monotonic_ms())
            await self.borrow_for_short_accounts()

    async def borrow_for_short_accounts(self) -> None:
        """Ask the other replicas for tokens of the accounts that run short here."""
        short = self._find_short_accounts(monotonic_ms())
        if short:
            await self._borrow(short)

    @property
    def accounts_in_use(self) -> int:
        """The number of accounts with tokens that are held or were used recently."""
        return len(self._accounts)

    def uses(self, now_ms: int) -> list[AccountUse]:
        """Return the use of all accounts here, in the order of the route sheet."""
        sheet = self.machine.sheet
        rows = sheet.accounts or [] if sheet is not None else []
        return [self._build_use(row, now_ms) for row in rows]

    def _build_use(self, row: AccountRow, now_ms: int) -> AccountUse:
        state = self._accounts.get(row.name)
        return AccountUse(
            row.name,
            len(row.keys),
            row.priority,
            row.rate_per_s,
            row.burst,
            self.charged(row.name, now_ms),
            self._share_of(row) if row.is_limited else None,
            state.borrowed(now_ms) if state is not None else 0,
        )

    def charged(self, name: AccountName, now_ms: int) -> int:
        """Return how many of an account's tokens count against its share here."""
        state = self._accounts.get(name)
        return state.pool.charged(now_ms) if state is not None else 0

    def _grant_to_entry(
        self, row: AccountRow, holder: Hashable, ask: TokenRequest, now_ms: int
    ) -> TokenGrant:
        state = self._get_state(row.name)
        limit = self._share_of(row) + state.borrowed(now_ms)
        return state.pool.grant(holder, ask, limit, now_ms, LEASE_MS)

    def _lend(
        self, row: AccountRow, replica: Address, ask: TokenRequest, now_ms: int
    ) -> TokenGrant:
        """Lend of the own share only: borrowed tokens expire before a new loan."""
        state = self._get_state(row.name)
        state.borrowers.add(replica)
        pool = state.pool
        answer = pool.grant(replica, ask, self._share_of(row), now_ms, self.loan_ms)
        if answer.granted:
            logger.info(
                "lent %d tokens of account %s to replica %s; %d charged of %.1f",
                answer.granted,
                row.name,
                replica,
                pool.charged(now_ms),
                self._share_of(row),
            )
        return answer

    def _get_state(self, name: AccountName) -> AccountTokens:
        state = self._accounts.get(name)
        if state is None:
            state = AccountTokens(AllowancePool(self.rules.window_ms))
            self._accounts[name] = state
        return state

    def _find_row(self, name: AccountName) -> AccountRow | None:
        sheet = self.machine.sheet
        if sheet is not self._rows_sheet:
            self._rows_sheet = sheet
            rows = sheet.accounts or [] if sheet is not None else []
            self._rows = {row.name: row for row in rows if row.is_limited}
        return self._rows.get(name)

    def _limit_of(self, row: AccountRow) -> float:
        return self.rules.limit(row.rate_per_s, row.burst or 0.0)

    def _share_of(self, row: AccountRow) -> float:
        granted = self._limit_of(row) * (1 - self.reserve_share)
        return granted * self.voting_status().share

    # Borrowing.

    def forget_idle(self, now_ms: int) -> None:
        """Remove accounts with no charged or borrowed tokens here."""
        idle = [
            name
            for name, state in self._accounts.items()
            if not state.pool.charged(now_ms) and not state.borrowed(now_ms)
        ]
        for name in idle:
            del self._accounts[name]

    def _find_short_accounts(self, now_ms: int) -> list[AccountRow]:
        """Return the accounts that will soon need more tokens than are free here."""
        rows = [self._find_row(name) for name in self._accounts]
        return [row for row in rows if row is not None and self._is_short(row, now_ms)]

    def _is_short(self, row: AccountRow, now_ms: int) -> bool:
        state = self._accounts[row.name]
        if now_ms - state.borrowed_at_ms < REBORROW_PERIOD_MS:
            return False
        # Without the loans that expire soon.
        lasting_tokens = self._share_of(row) + state.borrowed(now_ms + RENEW_BEFORE_MS)
        return state.needed(now_ms) > lasting_tokens * (1 - SPARE_SHARE)

    async def _borrow(
        self,
        rows: list[AccountRow],
        missing: Mapping[AccountName, int] = MappingProxyType({}),
    ) -> None:
        """Ask each reachable replica for a part; requests wait for `missing`."""
        now_ms = monotonic_ms()
        for row in rows:
            self._get_state(row.name).borrowed_at_ms = now_ms
        lenders = [
            address
            for address in self.machine.replicas
            if address != self.own and self._is_reachable(address, now_ms)
        ]
        async with anyio.create_task_group() as tasks:
            for lender in lenders:
                part = {n: -(-count // len(lenders)) for n, count in missing.items()}
                tasks.start_soon(self._borrow_from, lender, rows, part)

    def _is_reachable(self, replica: Address, now_ms: int) -> bool:
        unreached_at_ms = self._last_unreached_ms.get(replica)
        return (
            unreached_at_ms is None or now_ms - unreached_at_ms >= UNREACHED_BACKOFF_MS
        )

    async def _borrow_from(
        self,
        lender: Address,
        rows: list[AccountRow],
        missing: Mapping[AccountName, int],
    ) -> None:
        # One call per lender at a time: each states the tokens held, which replaces the
        # lender's count. If two calls overlapped, the lender would no longer count the
        # tokens that one of them brought.
        async with self._borrow_locks.setdefault(lender, anyio.Lock()):
            asked_at_ms = monotonic_ms()
            lines = [
                self._build_ask_line(lender, row, asked_at_ms, missing.get(row.name, 0))
                for row in rows
            ]
            try:
                answer = await self.calls.call(
                    lender, AskAllowances(lines, self.own), BORROW_TIMEOUT_S
                )
            except CinderwayError as error:
                self._last_unreached_ms[lender] = asked_at_ms
                logger.debug("could not borrow tokens: %s", error)
                return
            self._last_unreached_ms.pop(lender, None)
            self._record_loans(lender, answer, asked_at_ms)

    def _record_loans(self, lender: Address, answer: Message, asked_at_ms: int) -> None:
        if isinstance(answer, GrantAllowances):
            for line in answer.lines:
                self._record_loan(lender, line, asked_at_ms)

    def _build_ask_line(
        self, lender: Address, row: AccountRow, now_ms: int, needed: int
    ) -> HeldAllowance:
        state = self._get_state(row.name)
        loan = state.loans.get(lender, Loan())
        held = loan.tokens if now_ms < loan.usable_until_ms else 0
        available = self._share_of(row) + state.borrowed(now_ms)
        shortfall = state.needed(now_ms) / (1 - SPARE_SHARE) - available
        lenders = max(len(self.machine.replicas) - 1, 1)
        part_of_shortfall = max(math.ceil(shortfall / lenders), 0)
        return HeldAllowance(row.name, 0, held, needed, needed + part_of_shortfall)

    def _record_loan(
        self, lender: Address, line: GrantedAllowance, asked_at_ms: int
    ) -> None:
        loan = self._get_state(line.account).loans.setdefault(lender, Loan())
        held = loan.tokens if asked_at_ms < loan.usable_until_ms else 0
        loan.tokens = held + line.granted
        loan.usable_until_ms = asked_at_ms + LOAN_USABLE_MS
