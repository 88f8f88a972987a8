"""Leave to send one request.

Its key still counts, its account has room for it, and not too many servers have ended
under it.
"""

from dataclasses import dataclass

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.catalog import AccountRow, RouteRow
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._accounts import ANONYMOUS, Identity, identify
from cinderway.entry.callers._poison_permit import PoisonPermit
from cinderway.entry.fleet._allowances import AllowanceError, Allowances
from cinderway.entry.servers._messages import Headers


@dataclass(kw_only=True)
class RequestPermit(PoisonPermit):
    """Leave by what is known of a request and of the account that its key belongs to.

    `identity` is what the key said when the request was looked at last.
    """

    state: CatalogBoard
    allowances: Allowances
    headers: Headers
    identity: Identity = ANONYMOUS
    _route: RouteRow | None = None
    # The account that the request has taken a token of.
    _paid: AccountRow | None = None

    async def take(self, route: RouteRow) -> None:
        """Look the key up for a route, and take a token unless one is there.

        Raises CinderwayError with ACCOUNT_UNKNOWN, and AllowanceError.
        """
        self._route = route
        self.origin = route.name
        self.identity = identify(self.state.accounts, route, self.headers)
        account = self.identity.account
        if self._paid is not None and (
            account is None or account.name != self._paid.name
        ):
            self.give_back()
        if account is not None and self._paid is None:
            await self.allowances.take(account)
            self._paid = account

    def refusal(self) -> CinderwayError | None:
        """Return why the request may not be sent, or not any longer."""
        refusal = super().refusal()
        if refusal is not None or self._is_key_the_same():
            return refusal
        return CinderwayError(
            ErrorCode.ACCOUNT_UNKNOWN,
            "the request's key was taken away while it waited",
            step=Step.QUEUE,
        )

    def _is_key_the_same(self) -> bool:
        try:
            known = identify(self.state.accounts, self._route, self.headers)
        except CinderwayError:
            return False
        return known.account_name == self.identity.account_name

    async def renew(self) -> bool:
        """Say whether one that may have run can be sent once more, and pay for it."""
        if not await super().renew():
            return False
        try:
            if self.identity.account is not None:
                await self.allowances.take(self.identity.account)
        except AllowanceError:
            # Counted as a refusal; what the first server says goes to the caller.
            return False
        return True

    def give_back(self) -> None:
        """Return the token of a request that no server got, if it took one."""
        paid, self._paid = self._paid, None
        if paid is not None:
            self.allowances.give_back(paid)
