"""Leave to send one request: its key still counts, and its account has room for it."""

from dataclasses import dataclass

from cinderway._errors import CinderwayError
from cinderway.catalog import AccountRow, RouteRow
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._accounts import ANONYMOUS, Identity, identify
from cinderway.entry.callers._requests import Permit
from cinderway.entry.fleet._allowances import AllowanceError, Allowances
from cinderway.entry.servers._messages import Headers


@dataclass
class AccountPermit(Permit):
    """Leave by the account that a request's key belongs to.

    `identity` is what the key said last; it is looked up again at each question, so
    that one taken away while the request waits sends nothing more.
    """

    state: CatalogBoard
    allowances: Allowances
    route: RouteRow
    headers: Headers
    identity: Identity = ANONYMOUS

    def identify(self, route: RouteRow) -> None:
        """Look the key up. Raises CinderwayError with ACCOUNT_UNKNOWN."""
        self.route = route
        self.identity = identify(self.state.accounts, route, self.headers)

    @property
    def holds(self) -> bool:
        """Whether the key still is the same account's."""
        known = self.identity.account_name
        try:
            self.identify(self.route)
        except CinderwayError:
            return False
        return self.identity.account_name == known

    async def take(self) -> None:
        """Pay for the first server. Raises AllowanceError."""
        account = self._account
        if account is not None:
            await self.allowances.take(account)

    async def renew(self) -> bool:
        """Say whether one that may have run can be sent once more, and pay for it."""
        if not self.holds:
            return False
        try:
            await self.take()
        except AllowanceError:
            # Counted as a refusal; what the first server says goes to the caller.
            return False
        return True

    def give_back(self) -> None:
        """Return what was paid: no server got the request."""
        account = self._account
        if account is not None:
            self.allowances.give_back(account)

    @property
    def _account(self) -> AccountRow | None:
        return self.identity.account
