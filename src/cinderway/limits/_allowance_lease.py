"""Tokens of one client account that one entry holds. Pure: time is passed in.

The entry saves up for as much as the account has lately sent here, so that most
requests ask nobody, and a moment without control refuses none of them.
"""

from collections import deque
from dataclasses import dataclass, field

from cinderway.limits._allowance_pool import TokenAnswer, TokenAsk

# What an account sent here in this time is what will be held for it: it carries the
# account over a cut from control.
HORIZON_MS = 5_000
# A refusal by the replica stands for this long at the most: others may give some back.
REFUSAL_MS = 200


@dataclass
class AllowanceLease:
    """One account's tokens at one entry, and how many it used."""

    held: int = 0
    until_ms: int = 0
    # The span that the account's limit counts in; the replica says which.
    window_ms: int = HORIZON_MS
    # Requests that wait for a token.
    waiting: int = 0
    refused_until_ms: int = 0
    # When the replica that refused expects tokens to come free.
    room_at_ms: int = 0
    _unreported: int = 0
    _used_at_ms: deque[int] = field(default_factory=deque)
    # What is told by the ask that is under way, if one is.
    _asked: TokenAsk | None = None

    def take(self, now_ms: int) -> bool:
        """Use one token; False if there is none."""
        self._expire(now_ms)
        if not self.held:
            return False
        self.held -= 1
        self._unreported += 1
        self._used_at_ms.append(now_ms)
        self._forget(now_ms)
        return True

    def give_back(self) -> None:
        """Take back a token whose request was never sent, unless its use was told."""
        if self._asked is None and self._unreported:
            self._unreported -= 1
            self.held += 1

    def begin_ask(self, now_ms: int) -> TokenAsk:
        """Return what to ask the replica; answer or loss of it must be told here."""
        self._expire(now_ms)
        saved = self._lately(now_ms)
        if not saved and not self.waiting:
            # The account has gone quiet here: others may use what is left.
            self.held = 0
        wanted = max(saved - self.held, 0) + self.waiting
        ask = TokenAsk(self._unreported, self.held, self.waiting, wanted)
        self._asked = ask
        return ask

    def end_ask(
        self, answer: TokenAnswer | None, now_ms: int, until_ms: int = 0
    ) -> None:
        """Take the replica's answer, or None if there was none."""
        ask, self._asked = self._asked, None
        if answer is None or ask is None:
            return
        self._unreported -= ask.used
        self.held += answer.granted
        self.until_ms = until_ms
        if answer.granted < ask.needed:
            self.room_at_ms = now_ms + answer.room_in_ms
            self.refused_until_ms = min(self.room_at_ms, now_ms + REFUSAL_MS)

    def start_anew(self, now_ms: int) -> None:
        """Begin with another replica: it is told all that was used in the window.

        Tokens of the last one are dropped, as the new one knows nothing of them.
        """
        self.held = 0
        self._asked = None
        self._forget(now_ms)
        self._unreported = len(self._used_at_ms)
        self.refused_until_ms = 0

    def drop_held(self) -> None:
        """Give all tokens up: the account's limit has changed."""
        self.held = 0
        self.refused_until_ms = 0

    def is_due(self, now_ms: int) -> bool:
        """Whether there is something to tell or to ask for."""
        self._expire(now_ms)
        if self._unreported:
            return True
        lately = self._lately(now_ms)
        return self.held * 2 < lately or bool(self.held and not lately)

    def is_idle(self, now_ms: int) -> bool:
        """Whether it can be forgotten."""
        if self.held or self._unreported or self.waiting or self._asked is not None:
            return False
        self._forget(now_ms)
        return not self._used_at_ms

    def _expire(self, now_ms: int) -> None:
        if now_ms >= self.until_ms:
            self.held = 0

    def _forget(self, now_ms: int) -> None:
        began_ms = now_ms - max(self.window_ms, HORIZON_MS)
        while self._used_at_ms and self._used_at_ms[0] < began_ms:
            self._used_at_ms.popleft()

    def _lately(self, now_ms: int) -> int:
        """Return how many were used within the horizon."""
        began_ms = now_ms - HORIZON_MS
        count = 0
        for at_ms in reversed(self._used_at_ms):
            if at_ms <= began_ms:
                break
            count += 1
        return count
