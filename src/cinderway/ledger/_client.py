"""The ledger's client, used by entries and by operators' commands."""

from dataclasses import dataclass

import xxhash
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AttemptId
from cinderway.ledger._conversation import (
    LEDGER,
    Abandon,
    AwaitClaim,
    Claim,
    ClaimAnswer,
    ClaimName,
    ClaimRecord,
    Finish,
    ListClaims,
    Settle,
)
from cinderway.wire import GroupClient, Identity, Message

# Long enough for two elections in a row; a group that takes longer counts as
# unavailable.
CLAIM_TIMEOUT_MS = 3_000
# After a failed claim, further claims to the group are refused at once for this long;
# after that they are sent again, to see whether the group answers.
UNAVAILABLE_RETRY_MS = 500


class LedgerClient:
    """Sends each claim to one of the ledger groups, chosen by the hash of its name.

    A claim is found only if every client computes the same group for its name. All
    entries must therefore be configured with the same groups in the same order, and
    the list may be changed only while the ledger is empty.
    """

    def __init__(
        self, groups: tuple[tuple[str, ...], ...], identity: Identity, tasks: TaskGroup
    ):
        self._groups = [
            _Group(GroupClient(addresses, LEDGER, identity, tasks))
            for addresses in groups
        ]

    async def claim(self, claim: Claim, deadline_ms: int) -> ClaimAnswer:
        """Request the right to run a request.

        Sending the same claim twice is harmless: the ledger recognizes its attempt id.
        """
        group = self._find_group(claim.name)
        now_ms = monotonic_ms()
        if now_ms < group.unavailable_until_ms:
            raise CinderwayError(
                ErrorCode.NO_QUORUM,
                "the last claim sent to this group failed moments ago",
                step=Step.CLAIM,
            )
        deadline_ms = min(deadline_ms, now_ms + CLAIM_TIMEOUT_MS)
        try:
            answer = await group.client.call(claim, deadline_ms)
        except CinderwayError:
            group.unavailable_until_ms = monotonic_ms() + UNAVAILABLE_RETRY_MS
            raise
        return answer

    async def finish(self, finish: Finish, deadline_ms: int) -> None:
        """Record an outcome; the first one recorded is final, unless it is UNKNOWN."""
        await self._call(finish, deadline_ms)

    async def abandon(
        self, name: ClaimName, attempt_id: AttemptId, deadline_ms: int
    ) -> None:
        """Withdraw an attempt: its claim is refused from now on, even if it is late."""
        await self._call(Abandon(name, attempt_id), deadline_ms)

    async def await_claim(self, name: ClaimName, deadline_ms: int) -> ClaimAnswer:
        """Wait until a running request has an outcome, at most until the deadline."""
        wait_ms = max(deadline_ms - monotonic_ms(), 0)
        return await self._call(AwaitClaim(name, wait_ms), deadline_ms)

    async def settle(self, settle: Settle, deadline_ms: int) -> None:
        """Record the outcome that an operator determined for a claim in doubt."""
        await self._call(settle, deadline_ms)

    async def find_claims_in_doubt(
        self, limit: int, deadline_ms: int
    ) -> list[ClaimRecord]:
        """Return the claims in doubt of all groups, oldest first, at most `limit`."""
        claims = []
        for group in self._groups:
            listed = await group.client.call(ListClaims(limit), deadline_ms)
            claims += listed.claims
        return sorted(claims, key=lambda record: -record.age_ms)[:limit]

    async def _call(self, request: Message, deadline_ms: int) -> Message:
        return await self._find_group(request.name).client.call(request, deadline_ms)

    def _find_group(self, name: ClaimName) -> "_Group":
        if not self._groups:
            raise CinderwayError(
                ErrorCode.NO_QUORUM, "no ledger is configured", step=Step.CLAIM
            )
        text = "\0".join((name.service, name.caller, name.key)).encode()
        return self._groups[xxhash.xxh3_64_intdigest(text) % len(self._groups)]


@dataclass
class _Group:
    client: GroupClient
    unavailable_until_ms: int = 0
