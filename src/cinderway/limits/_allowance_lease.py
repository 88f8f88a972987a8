"""Tokens of one client account that are leased to one entry. Pure: time is passed in.

The entry holds as many tokens as the account has recently used on it, so that most
requests need no call to the control process, and a short loss of control rejects none
of them.
"""

from collections import deque
from dataclasses import dataclass, field

from cinderway.limits._allowance_pool import TokenGrant, TokenRequest

# An entry tries to hold as many tokens as the account used on it in this period. They
# bridge a loss of the connection to control.
RECENT_USE_MS = 5_000
# Upper limit on how long a refusal by the replica is respected: tokens may come free
# earlier than expected because other holders return some.
MAXIMUM_REFUSAL_MS = 200


@dataclass
class AllowanceLease:
    """One account's tokens on one entry, and the uses not yet reported to control."""

    held: int = 0
    until_ms: int = 0
    # Length of the window that the account's limit applies to, as told by the replica.
    window_ms: int = RECENT_USE_MS
    # Number of requests that are waiting for a token.
    waiting: int = 0
    refused_until_ms: int = 0
    # When the replica that refused tokens expects some to come free.
    tokens_expected_at_ms: int = 0
    _unreported_uses: int = 0
    _used_at_ms: deque[int] = field(default_factory=deque)
    # The request for tokens that is in flight, if any.
    _pending_request: TokenRequest | None = None

    def consume(self, now_ms: int) -> bool:
        """Consume one token; return False if there is none."""
        self._expire(now_ms)
        if not self.held:
            return False
        self.held -= 1
        self._unreported_uses += 1
        self._used_at_ms.append(now_ms)
        self._drop_old_uses(now_ms)
        return True

    def release(self) -> None:
        """Return the token of a request that was never sent.

        Does nothing if the use may already have been reported to the replica.
        """
        if self._pending_request is None and self._unreported_uses:
            self._unreported_uses -= 1
            self.held += 1

    def begin_token_request(self, now_ms: int) -> TokenRequest:
        """Return the request for tokens to send to the replica.

        The caller must report its answer, or that there was none, with
        `end_token_request`.
        """
        self._expire(now_ms)
        recent_uses = self._count_recent_uses(now_ms)
        if not recent_uses and not self.waiting:
            # No recent use here: release the remaining tokens to other entries.
            self.held = 0
        wanted = max(recent_uses - self.held, 0) + self.waiting
        request = TokenRequest(self._unreported_uses, self.held, self.waiting, wanted)
        self._pending_request = request
        return request

    def end_token_request(
        self, answer: TokenGrant | None, now_ms: int, until_ms: int = 0
    ) -> None:
        """Apply the replica's answer; None means that no answer arrived."""
        request, self._pending_request = self._pending_request, None
        if answer is None or request is None:
            return
        self._unreported_uses -= request.used
        self.held += answer.granted
        self.until_ms = until_ms
        if answer.granted < request.needed:
            self.tokens_expected_at_ms = now_ms + answer.room_in_ms
            self.refused_until_ms = min(
                self.tokens_expected_at_ms, now_ms + MAXIMUM_REFUSAL_MS
            )

    def switch_replica(self, now_ms: int) -> None:
        """Switch to another replica and report all uses of the window to it again.

        Tokens from the previous replica are dropped, as the new one does not know that
        they were granted.
        """
        self.held = 0
        self._pending_request = None
        self._drop_old_uses(now_ms)
        self._unreported_uses = len(self._used_at_ms)
        self.refused_until_ms = 0

    def drop_tokens(self) -> None:
        """Drop all tokens because the account's limit has changed."""
        self.held = 0
        self.refused_until_ms = 0

    def is_due(self, now_ms: int) -> bool:
        """Whether there are uses to report, or tokens to request or release."""
        self._expire(now_ms)
        if self._unreported_uses:
            return True
        recent_uses = self._count_recent_uses(now_ms)
        return self.held * 2 < recent_uses or bool(self.held and not recent_uses)

    def is_idle(self, now_ms: int) -> bool:
        """Whether the lease holds no state that is still needed."""
        if (
            self.held
            or self._unreported_uses
            or self.waiting
            or self._pending_request is not None
        ):
            return False
        self._drop_old_uses(now_ms)
        return not self._used_at_ms

    def _expire(self, now_ms: int) -> None:
        if now_ms >= self.until_ms:
            self.held = 0

    def _drop_old_uses(self, now_ms: int) -> None:
        window_start_ms = now_ms - max(self.window_ms, RECENT_USE_MS)
        while self._used_at_ms and self._used_at_ms[0] < window_start_ms:
            self._used_at_ms.popleft()

    def _count_recent_uses(self, now_ms: int) -> int:
        """Return the number of tokens used within `RECENT_USE_MS`."""
        window_start_ms = now_ms - RECENT_USE_MS
        count = 0
        for at_ms in reversed(self._used_at_ms):
            if at_ms <= window_start_ms:
                break
            count += 1
        return count
