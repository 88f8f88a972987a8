"""Permission to send one request.

The request's key must still be valid, its account must have a token left, and the
request must not be one that crashes servers.
"""

from dataclasses import dataclass

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.catalog import AccountRow, RouteRow
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._accounts import (
    ANONYMOUS,
    AccountIdentity,
    identify_account,
)
from cinderway.entry.callers._poison_permit import PoisonPermit
from cinderway.entry.fleet._allowances import AllowanceError, Allowances
from cinderway.entry.servers._messages import Headers


@dataclass(kw_only=True)
class RequestPermit(PoisonPermit):
    """Permits a request by its digest and by the account that its key belongs to.

    `identity` is the result of the last look-up of the key.
    """

    state: CatalogBoard
    allowances: Allowances
    headers: Headers
    identity: AccountIdentity = ANONYMOUS
    _route: RouteRow | None = None
    # The account whose token the request holds.
    _charged_account: AccountRow | None = None

    async def acquire(self, route: RouteRow) -> None:
        """Look up the key for a route, and acquire a token if the request has none.

        Raises CinderwayError with ACCOUNT_UNKNOWN if the route requires an account and
        the key has none, and AllowanceError if there is no token.
        """
        self._route = route
        self.origin = route.name
        self.identity = identify_account(self.state.accounts, route, self.headers)
        account = self.identity.account
        if self._charged_account is not None and (
            account is None or account.name != self._charged_account.name
        ):
            self.release()
        if account is not None and self._charged_account is None:
            await self.allowances.consume(account)
            self._charged_account = account

    def refusal(self) -> CinderwayError | None:
        """Return why the request may not be sent, or no longer; None if it may."""
        refusal = super().refusal()
        if refusal is not None or self._has_same_account():
            return refusal
        return CinderwayError(
            ErrorCode.ACCOUNT_UNKNOWN,
            "the request's key was revoked or moved while the request waited",
            step=Step.QUEUE,
        )

    def _has_same_account(self) -> bool:
        try:
            known = identify_account(self.state.accounts, self._route, self.headers)
        except CinderwayError:
            return False
        return known.account_name == self.identity.account_name

    async def acquire_rerun(self) -> bool:
        """Acquire another token to send the request again after it may have run."""
        if not await super().acquire_rerun():
            return False
        try:
            if self.identity.account is not None:
                await self.allowances.consume(self.identity.account)
        except AllowanceError:
            # Counted as a refusal; the caller gets the result of the first attempt.
            return False
        return True

    def release(self) -> None:
        """Return the token of a request that no server got, if it holds one."""
        charged, self._charged_account = self._charged_account, None
        if charged is not None:
            self.allowances.release(charged)
