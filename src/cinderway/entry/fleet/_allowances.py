"""Rate-limit tokens of client accounts, leased from a control replica.

Most requests consume a token that this entry already holds. The first request of an
account, and requests of an account whose rate has risen, wait for one answer from the
data hall's replica. A request that the replica refuses is refused at once.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import ErrorCode, RetryLaterError, Step
from cinderway._ids import AccountName
from cinderway.catalog import (
    AccountRow,
    AskAllowances,
    GrantAllowances,
    HeldAllowance,
)
from cinderway.limits import AllowanceLease, AllowanceReserve, TokenGrant

logger = logging.getLogger(__name__)

# Interval between reports of consumed tokens. A use that is reported late stays charged
# for that much longer: half a second is a tenth of a five-second window.
REPORT_INTERVAL_S = 0.5
# A replica answers within a few milliseconds; one that does not may be down.
ANSWER_TIMEOUT_S = 0.25

AskReplica = Callable[[AskAllowances, float], Awaitable[GrantAllowances | None]]


class AllowanceError(RetryLaterError):
    """The account may not send this request now; says when to retry."""

    def __init__(self, code: ErrorCode, detail: str, retry_after_ms: int):
        super().__init__(code, detail, retry_after_ms, step=Step.IDENTIFY)


@dataclass
class Allowances:
    """The tokens of all accounts at one entry.

    `ask` sends the followed replica what is held, used and wanted here, and returns its
    answer, or None if there is none.
    """

    ask: AskReplica
    refusals: int = 0
    # The tokens that need no answer; None if this entry uses none.
    reserve: AllowanceReserve | None = None
    _leases: dict[AccountName, AllowanceLease] = field(default_factory=dict)
    # For each account with a request to the replica in progress, the event that is set
    # when that request ends.
    _pending_requests: dict[AccountName, anyio.Event] = field(default_factory=dict)
    _rows: dict[AccountName, AccountRow] = field(default_factory=dict)
    _has_leases: anyio.Event = field(default_factory=anyio.Event)

    async def consume(self, account: AccountRow) -> None:
        """Consume a token of an account; returns at once if it is not limited.

        Raises AllowanceError: ALLOWANCE_SPENT if the replica has no token left,
        ALLOWANCE_UNKNOWN if no replica answers.
        """
        if not account.is_limited:
            return
        if self.reserve is not None and self.reserve.consume(
            account.name, account.rate_per_s, account.burst or 0.0, monotonic_ms()
        ):
            return
        lease = self._get_lease(account)
        if lease.consume(monotonic_ms()):
            return
        lease.waiting += 1
        try:
            while monotonic_ms() >= lease.refused_until_ms:
                if not await self._request_tokens(account.name):
                    raise self._refuse_unknown(account)
                if lease.consume(monotonic_ms()):
                    return
        finally:
            lease.waiting -= 1
        raise self._refuse_spent(account, lease)

    def release(self, account: AccountRow) -> None:
        """Return the token of a request that was never sent to a backend server."""
        if not account.is_limited:
            return
        if self.reserve is not None and self.reserve.release(account.name):
            return
        lease = self._leases.get(account.name)
        if lease is not None:
            lease.release()

    def switch_replica(self) -> None:
        """Switch to another replica, which gets a report of recent use at once."""
        now_ms = monotonic_ms()
        for lease in self._leases.values():
            lease.switch_replica(now_ms)
        self._has_leases.set()

    @property
    def held(self) -> int:
        """Tokens held here, over all accounts."""
        return sum(lease.held for lease in self._leases.values())

    @property
    def reserve_uses(self) -> int:
        """Requests permitted by the reserve, over all accounts."""
        return self.reserve.use_count if self.reserve is not None else 0

    async def run(self) -> None:
        """Report used tokens to the replica and top up leases, until cancelled."""
        while True:
            await self._has_leases.wait()
            await self._sync_leases(self._collect_due(monotonic_ms()))
            await anyio.sleep(REPORT_INTERVAL_S)
            if not self._leases:
                self._has_leases = anyio.Event()

    def _get_lease(self, account: AccountRow) -> AllowanceLease:
        lease = self._leases.setdefault(account.name, AllowanceLease())
        known = self._rows.get(account.name)
        if known is not account and _get_limit(known) != _get_limit(account):
            # The limit changed: tokens granted under the old one, which may have been
            # higher, are no longer used.
            lease.drop_tokens()
        self._rows[account.name] = account
        self._has_leases.set()
        return lease

    async def _request_tokens(self, name: AccountName) -> bool:
        """Request tokens or await the pending request; False if unanswered."""
        pending = self._pending_requests.get(name)
        if pending is None:
            return await self._sync_leases([name])
        with anyio.move_on_after(ANSWER_TIMEOUT_S) as waiting:
            await pending.wait()
        return not waiting.cancelled_caught

    def _collect_due(self, now_ms: int) -> list[AccountName]:
        """Return the accounts with something to report or request; drop idle ones."""
        idle = [n for n, lease in self._leases.items() if lease.is_idle(now_ms)]
        for name in idle:
            del self._leases[name], self._rows[name]
        return [
            name
            for name, lease in self._leases.items()
            if name not in self._pending_requests and lease.is_due(now_ms)
        ]

    async def _sync_leases(self, names: Iterable[AccountName]) -> bool:
        """Report accounts to the replica and apply its answer; False without one."""
        leases = {name: self._leases[name] for name in names}
        if not leases:
            return True
        done = anyio.Event()
        self._pending_requests |= dict.fromkeys(leases, done)
        asked_at_ms = monotonic_ms()
        asks = {
            name: lease.begin_token_request(asked_at_ms)
            for name, lease in leases.items()
        }
        answer = None
        try:
            lines = [
                HeldAllowance.from_request(name, ask) for name, ask in asks.items()
            ]
            answer = await self.ask(AskAllowances(lines), ANSWER_TIMEOUT_S)
        finally:
            self._apply_answer(leases, answer, asked_at_ms)
            for name in leases:
                del self._pending_requests[name]
            done.set()
        return answer is not None

    @staticmethod
    def _apply_answer(
        leases: dict[AccountName, AllowanceLease],
        answer: GrantAllowances | None,
        asked_at_ms: int,
    ) -> None:
        now_ms = monotonic_ms()
        grants = {line.account: line for line in answer.lines} if answer else {}
        for name, lease in leases.items():
            line = grants.get(name)
            if line is None:
                lease.end_token_request(None, now_ms)
                continue
            lease.window_ms = answer.window_ms
            granted = TokenGrant(line.granted, line.room_in_ms)
            lease.end_token_request(granted, now_ms, asked_at_ms + answer.lease_ms)

    def _refuse_spent(
        self, account: AccountRow, lease: AllowanceLease
    ) -> AllowanceError:
        self.refusals += 1
        room_in_ms = max(lease.tokens_expected_at_ms - monotonic_ms(), 0)
        return AllowanceError(
            ErrorCode.ALLOWANCE_SPENT,
            f"account {account.name} is limited to {account.rate_per_s:g} requests a "
            f"second with a burst of {account.burst or 0:g}; the control replica has "
            f"no token left and expects one in {room_in_ms} ms",
            room_in_ms,
        )

    def _refuse_unknown(self, account: AccountRow) -> AllowanceError:
        self.refusals += 1
        return AllowanceError(
            ErrorCode.ALLOWANCE_UNKNOWN,
            f"no control replica answered whether account {account.name} may send",
            0,
        )


def _get_limit(account: AccountRow | None) -> tuple[float | None, float | None]:
    return (account.rate_per_s, account.burst) if account is not None else (None, None)
