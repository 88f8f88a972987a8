"""Leave to send one request.

Its key still counts, its account has room for it, and not too many servers have ended
under it.
"""

import logging
from dataclasses import dataclass

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AttemptId, RequestDigest, ServerName
from cinderway._operators import Metrics
from cinderway.catalog import AccountRow, RouteRow
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.callers._accounts import ANONYMOUS, Identity, identify
from cinderway.entry.fleet._allowances import AllowanceError, Allowances
from cinderway.entry.servers._messages import Headers
from cinderway.entry.servers._permit import Permit
from cinderway.poison import Ruling

logger = logging.getLogger(__name__)

# Of a request whose body is not there yet: no request has it.
UNKNOWN_DIGEST = RequestDigest(b"")


class PoisonError(CinderwayError):
    """A request that is not sent, since servers end under it, and until when."""

    def __init__(self, ruling: Ruling, now_ms: int):
        super().__init__(
            ErrorCode.REQUEST_ENDS_SERVERS,
            f"the request with digest {ruling.digest.hex()} is "
            f"{ruling.standing.name.lower()}: {len(ruling.servers)} servers ended "
            "while they had it",
            step=Step.QUEUE,
        )
        self.retry_after_ms = ruling.until_ms - now_ms


@dataclass
class RequestPermit(Permit):
    """Leave by what is known of a request and of the account that its key belongs to.

    `identity` is what the key said when the request was looked at last.
    """

    state: CatalogBoard
    allowances: Allowances
    headers: Headers
    metrics: Metrics
    identity: Identity = ANONYMOUS
    # What its repeats share; known once the body is there.
    digest: RequestDigest = UNKNOWN_DIGEST
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
        """Return why the request may not be sent, or not any longer."""
        ruling = self.state.poison.refusal_of(self.digest)
        if ruling is not None:
            return PoisonError(ruling, monotonic_ms())
        if self._is_key_the_same():
            return None
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
        if not self.holds or not self.state.poison.may_be_repeated(self.digest):
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
        self.state.poison.note_broken(self.digest, server)
        self.metrics.count("runs_broken_total", {"route": self._route.name})
        logger.info(
            "a run of request %s broke off at %s after %d ms; digest %s",
            self.attempt_id or "unnamed",
            server,
            run_ms,
            self.digest.hex(),
        )

    def note_good_run(self) -> None:
        """Tell that the request does not end servers."""
        self.state.poison.note_good(self.digest)

    def give_back(self) -> None:
        """Return the token of a request that no server got, if it took one."""
        paid, self._paid = self._paid, None
        if paid is not None:
            self.allowances.give_back(paid)
