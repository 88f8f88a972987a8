"""What one replica hands out of client accounts' allowances.

Each voting replica has an equal share of every account's limit, so that no two of them
have to agree before a token is handed out, whatever is cut from whom. A replica whose
entries need more than its share borrows from the others; a loan is a lease like an
entry's, only longer, and what is borrowed is not lent on.
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
    REBORROW_MS,
    URGE_PAUSE_MS,
    AccountTokens,
    Loan,
    Standing,
)
from cinderway.control._commands import ReplicaCalls
from cinderway.limits import AllowancePool, AllowanceRules, TokenAnswer, TokenAsk
from cinderway.wire import Message

logger = logging.getLogger(__name__)

# How long an entry may use a token, and so serves on without control. What it holds is
# charged until a window after that, should it never be heard of again.
LEASE_MS = 6_000
# How long a replica may hand out what it has borrowed, before tokens handed out last
# have to end within the loan.
LOAN_USE_MS = 5_000
# Between two looks at which accounts run short here.
BORROW_PAUSE_S = 0.25
# Within the time that an entry waits for its answer.
BORROW_TIMEOUT_S = 0.15
# Where a replica's own entries leave less than this of its share and loans, it borrows.
# What is lent out is no need of one's own: else all replicas borrow from each other
# until none has a token left.
SPARE_SHARE = 0.2
# Loans that end sooner are renewed: two looks, and one that fails.
RENEW_MS = 2_000
# How long a replica that did not answer is left out: entries wait for those asked.
LOST_MS = 1_000
# How soon an entry may ask again for an account that this replica does not know yet.
UNKNOWN_ROOM_MS = 100


@dataclass
class Allowances:
    """All accounts' tokens at one replica."""

    own: Address
    machine: CatalogMachine
    calls: ReplicaCalls
    rules: AllowanceRules
    standing: Callable[[], Standing]
    _accounts: dict[AccountName, AccountTokens] = field(default_factory=dict)
    _rows: dict[AccountName, AccountRow] = field(default_factory=dict)
    _rows_of: RouteSheet | None = None
    _unreached_at_ms: dict[Address, int] = field(default_factory=dict)
    # Held while a replica is being asked.
    _asking: dict[Address, anyio.Lock] = field(default_factory=dict)

    @property
    def loan_ms(self) -> int:
        """How long a loan is charged to its lender, before the window after it."""
        return LOAN_USE_MS + LEASE_MS

    def grant(
        self, holder: Hashable, asked: AskAllowances, now_ms: int
    ) -> GrantAllowances:
        """Answer an entry, or another replica where `asked.replica` says so."""
        lines = []
        for held in asked.lines:
            row = self._row_of(held.account)
            if row is None:
                answer = TokenAnswer(0, UNKNOWN_ROOM_MS)
            elif asked.replica:
                answer = self._lend(row, asked.replica, held.ask, now_ms)
            else:
                answer = self._hand_out(row, holder, held.ask, now_ms)
            lines.append(
                GrantedAllowance(held.account, answer.granted, answer.room_in_ms)
            )
        lease_ms = self.loan_ms if asked.replica else LEASE_MS
        return GrantAllowances(lines, lease_ms, self.rules.window_ms)

    async def complete(
        self, holder: Hashable, asked: AskAllowances, first: GrantAllowances
    ) -> GrantAllowances:
        """Return an entry's answer, with what others lend where it got too little.

        Within the allowance nobody is to be refused because of how it is shared out.
        """
        missing = self._missing(asked, first, monotonic_ms())
        rows = [row for row in map(self._row_of, missing) if row is not None]
        if not rows:
            return first
        await self._borrow(rows, missing)
        now_ms = monotonic_ms()
        lines = [
            self._topped_up(holder, line, missing.get(line.account, 0), now_ms)
            for line in first.lines
        ]
        return GrantAllowances(lines, first.lease_ms, first.window_ms)

    def _missing(
        self, asked: AskAllowances, answer: GrantAllowances, now_ms: int
    ) -> dict[AccountName, int]:
        """Return how many tokens of which accounts are worth asking others for."""
        found = {}
        if asked.replica:
            return found
        for held, line in zip(asked.lines, answer.lines, strict=True):
            state = self._accounts.get(line.account)
            if held.needed <= line.granted or state is None:
                continue
            if now_ms - state.denied_at_ms >= URGE_PAUSE_MS:
                found[line.account] = held.needed - line.granted
        return found

    def _topped_up(
        self, holder: Hashable, line: GrantedAllowance, missing: int, now_ms: int
    ) -> GrantedAllowance:
        row = self._row_of(line.account)
        if not missing or row is None:
            return line
        state = self._state_of(row.name)
        limit = self._share_of(row) + state.borrowed(now_ms)
        added = state.pool.add(holder, missing, limit, now_ms, LEASE_MS)
        if added < missing:
            state.denied_at_ms = now_ms
        return GrantedAllowance(line.account, line.granted + added, line.room_in_ms)

    async def run(self) -> None:
        """Borrow what runs short until cancelled."""
        while True:
            await anyio.sleep(BORROW_PAUSE_S)
            self.forget_idle(monotonic_ms())
            await self.borrow_short()

    async def borrow_short(self) -> None:
        """Ask the other replicas for what runs short here, if anything does."""
        short = self._short(monotonic_ms())
        if short:
            await self._borrow(short)

    @property
    def accounts_in_use(self) -> int:
        """Accounts of which tokens are held or were used lately."""
        return len(self._accounts)

    def uses(self, now_ms: int) -> list[AccountUse]:
        """Return all accounts of the sheet, in its order, with their use here."""
        sheet = self.machine.sheet
        rows = sheet.accounts or [] if sheet is not None else []
        return [self._use_of(row, now_ms) for row in rows]

    def _use_of(self, row: AccountRow, now_ms: int) -> AccountUse:
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

    def _hand_out(
        self, row: AccountRow, holder: Hashable, ask: TokenAsk, now_ms: int
    ) -> TokenAnswer:
        state = self._state_of(row.name)
        limit = self._share_of(row) + state.borrowed(now_ms)
        return state.pool.take(holder, ask, limit, now_ms, LEASE_MS)

    def _lend(
        self, row: AccountRow, replica: Address, ask: TokenAsk, now_ms: int
    ) -> TokenAnswer:
        """Lend of the own share alone: what was borrowed ends before such a loan."""
        state = self._state_of(row.name)
        state.borrowers.add(replica)
        pool = state.pool
        answer = pool.take(replica, ask, self._share_of(row), now_ms, self.loan_ms)
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

    def _state_of(self, name: AccountName) -> AccountTokens:
        state = self._accounts.get(name)
        if state is None:
            state = AccountTokens(AllowancePool(self.rules.window_ms))
            self._accounts[name] = state
        return state

    def _row_of(self, name: AccountName) -> AccountRow | None:
        sheet = self.machine.sheet
        if sheet is not self._rows_of:
            self._rows_of = sheet
            rows = sheet.accounts or [] if sheet is not None else []
            self._rows = {row.name: row for row in rows if row.is_limited}
        return self._rows.get(name)

    def _limit_of(self, row: AccountRow) -> float:
        return self.rules.limit(row.rate_per_s, row.burst or 0.0)

    def _share_of(self, row: AccountRow) -> float:
        return self._limit_of(row) * self.standing().share

    # Borrowing.

    def forget_idle(self, now_ms: int) -> None:
        """Drop accounts of which nothing is charged here."""
        idle = [
            name
            for name, state in self._accounts.items()
            if not state.pool.charged(now_ms) and not state.borrowed(now_ms)
        ]
        for name in idle:
            del self._accounts[name]

    def _short(self, now_ms: int) -> list[AccountRow]:
        """Return the accounts whose entries will soon need more than is free here."""
        rows = [self._row_of(name) for name in self._accounts]
        return [row for row in rows if row is not None and self._is_short(row, now_ms)]

    def _is_short(self, row: AccountRow, now_ms: int) -> bool:
        state = self._accounts[row.name]
        if now_ms - state.borrowed_at_ms < REBORROW_MS:
            return False
        # Without what loans of today will soon not allow any more.
        lasting = self._share_of(row) + state.borrowed(now_ms + RENEW_MS)
        return state.needed(now_ms) > lasting * (1 - SPARE_SHARE)

    async def _borrow(
        self,
        rows: list[AccountRow],
        missing: Mapping[AccountName, int] = MappingProxyType({}),
    ) -> None:
        """Ask all other replicas, each for its part; requests wait for `missing`."""
        now_ms = monotonic_ms()
        for row in rows:
            self._state_of(row.name).borrowed_at_ms = now_ms
        lenders = [
            address
            for address in self.machine.replicas
            if address != self.own and self._is_reached(address, now_ms)
        ]
        async with anyio.create_task_group() as tasks:
            for lender in lenders:
                part = {n: -(-count // len(lenders)) for n, count in missing.items()}
                tasks.start_soon(self._borrow_from, lender, rows, part)

    def _is_reached(self, replica: Address, now_ms: int) -> bool:
        lost_at_ms = self._unreached_at_ms.get(replica)
        return lost_at_ms is None or now_ms - lost_at_ms >= LOST_MS

    async def _borrow_from(
        self,
        lender: Address,
        rows: list[AccountRow],
        missing: Mapping[AccountName, int],
    ) -> None:
        # One ask at a time: each says what is held, and that replaces what the lender
        # counts. Of two that overlap the lender would forget what one has brought.
        async with self._asking.setdefault(lender, anyio.Lock()):
            asked_at_ms = monotonic_ms()
            lines = [
                self._line_for(lender, row, asked_at_ms, missing.get(row.name, 0))
                for row in rows
            ]
            try:
                answer = await self.calls.call(
                    lender, AskAllowances(lines, self.own), BORROW_TIMEOUT_S
                )
            except CinderwayError as error:
                self._unreached_at_ms[lender] = asked_at_ms
                logger.debug("nothing borrowed: %s", error)
                return
            self._unreached_at_ms.pop(lender, None)
            self._note_loans(lender, answer, asked_at_ms)

    def _note_loans(self, lender: Address, answer: Message, asked_at_ms: int) -> None:
        if isinstance(answer, GrantAllowances):
            for line in answer.lines:
                self._note_loan(lender, line, asked_at_ms)

    def _line_for(
        self, lender: Address, row: AccountRow, now_ms: int, needed: int
    ) -> HeldAllowance:
        state = self._state_of(row.name)
        loan = state.loans.get(lender, Loan())
        held = loan.tokens if now_ms < loan.usable_until_ms else 0
        have = self._share_of(row) + state.borrowed(now_ms)
        lacking = state.needed(now_ms) / (1 - SPARE_SHARE) - have
        lenders = max(len(self.machine.replicas) - 1, 1)
        more = max(math.ceil(lacking / lenders), 0)
        return HeldAllowance(row.name, 0, held, needed, needed + more)

    def _note_loan(
        self, lender: Address, line: GrantedAllowance, asked_at_ms: int
    ) -> None:
        loan = self._state_of(line.account).loans.setdefault(lender, Loan())
        held = loan.tokens if asked_at_ms < loan.usable_until_ms else 0
        loan.tokens = held + line.granted
        loan.usable_until_ms = asked_at_ms + LOAN_USE_MS
