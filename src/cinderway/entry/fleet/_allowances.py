"""Leave to send requests of limited accounts, out of what a replica hands out.

Most requests take a token that is held already. The first of an account, and those of
one that sends more than before, wait for one answer of the hall's replica; what the
replica refuses is refused at once.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import ErrorCode, RefusedForNowError, Step
from cinderway._ids import AccountName
from cinderway.catalog import (
    AccountRow,
    AskAllowances,
    GrantAllowances,
    HeldAllowance,
)
from cinderway.limits import AllowanceLease, TokenAnswer

logger = logging.getLogger(__name__)

# Between two looks for what is to be told. A use that is told late is charged for that
# much longer: a tenth of a window of five seconds.
REPORT_PAUSE_S = 0.5
# A replica answers within a few milliseconds; one that does not may be gone.
ANSWER_TIMEOUT_S = 0.25

Ask = Callable[[AskAllowances, float], Awaitable[GrantAllowances | None]]


class AllowanceError(RefusedForNowError):
    """A request that its account may not send now, and when it may come back."""

    def __init__(self, code: ErrorCode, detail: str, retry_after_ms: int):
        super().__init__(code, detail, retry_after_ms, step=Step.IDENTIFY)


@dataclass
class Allowances:
    """The tokens of all accounts at one entry.

    `ask` brings what is held to the replica that is followed, and returns its answer or
    None.
    """

    ask: Ask
    refusals: int = 0
    _leases: dict[AccountName, AllowanceLease] = field(default_factory=dict)
    # Accounts that the replica is being asked for, each with the end of that.
    _asking: dict[AccountName, anyio.Event] = field(default_factory=dict)
    _rows: dict[AccountName, AccountRow] = field(default_factory=dict)
    _in_use: anyio.Event = field(default_factory=anyio.Event)

    async def take(self, account: AccountRow) -> None:
        """Use a token of an account; returns at once where it is not limited.

        Raises AllowanceError: ALLOWANCE_SPENT where the replica has none left,
        ALLOWANCE_UNKNOWN where no replica says so.
        """
        if not account.is_limited:
            return
        lease = self._lease_of(account)
        if lease.take(monotonic_ms()):
            return
        lease.waiting += 1
        try:
            while monotonic_ms() >= lease.refused_until_ms:
                if not await self._ask_for(account.name):
                    raise self._unknown(account)
                if lease.take(monotonic_ms()):
                    return
        finally:
            lease.waiting -= 1
        raise self._spent(account, lease)

    def give_back(self, account: AccountRow) -> None:
        """Return the token of a request that was never sent to a server."""
        lease = self._leases.get(account.name)
        if account.is_limited and lease is not None:
            lease.give_back()

    def start_anew(self) -> None:
        """Begin with another replica: it is told at once what was used lately."""
        now_ms = monotonic_ms()
        for lease in self._leases.values():
            lease.start_anew(now_ms)
        self._in_use.set()

    @property
    def held(self) -> int:
        """Tokens of all accounts that are held here."""
        return sum(lease.held for lease in self._leases.values())

    async def run(self) -> None:
        """Tell the replica what was used, and save up, until cancelled."""
        while True:
            await self._in_use.wait()
            await self._tell(self._due(monotonic_ms()))
            await anyio.sleep(REPORT_PAUSE_S)
            if not self._leases:
                self._in_use = anyio.Event()

    def _lease_of(self, account: AccountRow) -> AllowanceLease:
        lease = self._leases.setdefault(account.name, AllowanceLease())
        known = self._rows.get(account.name)
        if known is not account and _limit_of(known) != _limit_of(account):
            # Tokens that were handed out under a higher limit are not used any more.
            lease.drop_held()
        self._rows[account.name] = account
        self._in_use.set()
        return lease

    async def _ask_for(self, name: AccountName) -> bool:
        """Ask for one account, or wait for the ask under way; False if unanswered."""
        under_way = self._asking.get(name)
        if under_way is None:
            return await self._tell([name])
        with anyio.move_on_after(ANSWER_TIMEOUT_S) as waiting:
            await under_way.wait()
        return not waiting.cancelled_caught

    def _due(self, now_ms: int) -> list[AccountName]:
        """Return the accounts to speak of, and forget those that are idle."""
        idle = [n for n, lease in self._leases.items() if lease.is_idle(now_ms)]
        for name in idle:
            del self._leases[name], self._rows[name]
        return [
            name
            for name, lease in self._leases.items()
            if name not in self._asking and lease.is_due(now_ms)
        ]

    async def _tell(self, names: Iterable[AccountName]) -> bool:
        """Tell the replica of accounts and take its answer; False if there is none."""
        leases = {name: self._leases[name] for name in names}
        if not leases:
            return True
        done = anyio.Event()
        self._asking |= dict.fromkeys(leases, done)
        asked_at_ms = monotonic_ms()
        asks = {name: lease.begin_ask(asked_at_ms) for name, lease in leases.items()}
        answer = None
        try:
            lines = [HeldAllowance.of(name, ask) for name, ask in asks.items()]
            answer = await self.ask(AskAllowances(lines), ANSWER_TIMEOUT_S)
        finally:
            self._take_answer(leases, answer, asked_at_ms)
            for name in leases:
                del self._asking[name]
            done.set()
        return answer is not None

    @staticmethod
    def _take_answer(
        leases: dict[AccountName, AllowanceLease],
        answer: GrantAllowances | None,
        asked_at_ms: int,
    ) -> None:
        now_ms = monotonic_ms()
        grants = {line.account: line for line in answer.lines} if answer else {}
        for name, lease in leases.items():
            line = grants.get(name)
            if line is None:
                lease.end_ask(None, now_ms)
                continue
            lease.window_ms = answer.window_ms
            granted = TokenAnswer(line.granted, line.room_in_ms)
            lease.end_ask(granted, now_ms, asked_at_ms + answer.lease_ms)

    def _spent(self, account: AccountRow, lease: AllowanceLease) -> AllowanceError:
        self.refusals += 1
        room_in_ms = max(lease.room_at_ms - monotonic_ms(), 0)
        return AllowanceError(
            ErrorCode.ALLOWANCE_SPENT,
            f"account {account.name} may send {account.rate_per_s:g} requests a second "
            f"and {account.burst or 0:g} beyond; its replica had no token left, "
            f"and expects one in {room_in_ms} ms",
            room_in_ms,
        )

    def _unknown(self, account: AccountRow) -> AllowanceError:
        self.refusals += 1
        return AllowanceError(
            ErrorCode.ALLOWANCE_UNKNOWN,
            f"no replica says what account {account.name} may still send",
            0,
        )


def _limit_of(account: AccountRow | None) -> tuple[float | None, float | None]:
    return (account.rate_per_s, account.burst) if account is not None else (None, None)
