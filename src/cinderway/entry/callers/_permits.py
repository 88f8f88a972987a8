"""Leave to send one request: its key still counts, and its account has room for it."""

import logging
from dataclasses import dataclass

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AttemptId, RequestDigest, ServerName
from cinderway._operators import Metrics
from cinderway.catalog import AccountRow, RouteRow
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._accounts import ANONYMOUS, Identity, identify
from cinderway.entry.fleet._allowances import AllowanceError, Allowances
from cinderway.entry.servers._messages import Headers
from cinderway.entry.servers._permit import Permit

logger = logging.getLogger(__name__)


@dataclass
class AccountPermit(Permit):
    """Leave by the account that a request's key belongs to.

    `identity` is what the key said when the request was looked at last.
    """

    state: CatalogBoard
    allowances: Allowances
    headers: Headers
    metrics: Metrics
    identity: Identity = ANONYMOUS
    # What its repeats share; known once the body is there.
    digest: RequestDigest | None = None
    attempt_id: AttemptId | None = None
    _route: RouteRow | None = None
    # The account that the request has taken a token of.
    _paid: AccountRow | None = None

    async def take(self, route: RouteRow) -> None:
        """Look the key up for a route, and take a token unless one is there.

        Raises CinderwayError with ACCOUNT_UNKNOWN, and AllowanceError.
        """
        self._route = route
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
        """Return why the request may no longer be sent: its key was taken away."""
        try:
            known = identify(self.state.accounts, self._route, self.headers)
        except CinderwayError as error:
            return error
        if known.account_name == self.identity.account_name:
            return None
        return CinderwayError(
            ErrorCode.ACCOUNT_UNKNOWN,
            "the request's key belongs to another account now",
            step=Step.IDENTIFY,
        )

    async def renew(self) -> bool:
        """Say whether one that may have run can be sent once more, and pay for it."""
        if not self.holds:
            return False
        try:
            if self.identity.account is not None:
                await self.allowances.take(self.identity.account)
        except AllowanceError:
            # Counted as a refusal; what the first server says goes to the caller.
            return False
        return True

    def note_broken_run(self, server: ServerName, run_ms: int) -> None:
        """Tell under which request a server's connection broke."""
        self.metrics.count("runs_broken_total", {"route": self._route.name})
        logger.info(
            "a run of request %s broke off at %s after %d ms; digest %s",
            self.attempt_id or "unnamed",
            server,
            run_ms,
            self.digest.hex(),
        )

    def give_back(self) -> None:
        """Return the token of a request that no server got, if it took one."""
        paid, self._paid = self._paid, None
        if paid is not None:
            self.allowances.give_back(paid)
