"""A retry budget shared by many entries. Pure: time is passed in.

With a budget of its own, an entry with little traffic could retry only once in several
seconds. In a shared budget a retry is available when the entry needs one.
"""

import math
from collections import deque
from dataclasses import dataclass, field

# Length of the sliding window to which the `retry_burst` setting applies.
WINDOW_MS = 10_000
# Requests that arrive within this time are counted as one batch.
BATCH_MS = 100


@dataclass
class RetryPool:
    """Retry budget of one service, shared by the entries that use this pool.

    Guarantee: in any `WINDOW_MS`, at most `extra` plus `percent` of the first requests
    recorded in it are granted, and no fewer once the pool is one window old. In a new
    pool, or one whose `extra` grows because entries moved here from another pool,
    `extra` ramps up over one window, because what was granted elsewhere is unknown.

    Retries after a failure have priority over hedges, which are sent beside a slow
    attempt. Hedges get only what would be left over if the failures of the last window
    occurred again: a failure is certain, whereas a slow response mostly still arrives.
    """

    percent: int
    extra: float
    ramped_at_ms: int
    _ramped_extra: float = 0.0
    _request_count: int = 0
    # Pairs of a batch's start time and its number of requests, oldest first.
    _requests: deque[tuple[int, int]] = field(default_factory=deque)
    _granted_at_ms: deque[int] = field(default_factory=deque)
    _hedge_granted_at_ms: deque[int] = field(default_factory=deque)
    _failure_requested_at_ms: deque[int] = field(default_factory=deque)

    def credit(self, requests: int, now_ms: int) -> None:
        """Record first requests, which add to the budget."""
        self._request_count += requests
        if self._requests and now_ms - self._requests[-1][0] < BATCH_MS:
            start_ms, count = self._requests.pop()
            self._requests.append((start_ms, count + requests))
        else:
            self._requests.append((now_ms, requests))
        self._drop_expired(now_ms)

    def consume(self, now_ms: int, *, after_failure: bool = True) -> bool:
        """Consume one retry; return False if the budget has none.

        `after_failure` is False for a hedge.
        """
        self._drop_expired(now_ms)
        self._grow_extra(now_ms)
        allowed = self._ramped_extra + self._request_count * self.percent / 100
        if after_failure:
            self._failure_requested_at_ms.append(now_ms)
        elif len(self._hedge_granted_at_ms) + self._recent_failures + 1 > allowed:
            return False
        if len(self._granted_at_ms) + 1 > allowed:
            return False
        self._granted_at_ms.append(now_ms)
        if not after_failure:
            self._hedge_granted_at_ms.append(now_ms)
        return True

    def compute_due_ms(self, now_ms: int) -> int:
        """Return after how long the growing `extra` allows one more retry.

        0 if it allows one now, or does not allow one even when it has grown.
        """
        self._drop_expired(now_ms)
        self._grow_extra(now_ms)
        missing = (
            len(self._granted_at_ms)
            + 1
            - self._request_count * self.percent / 100
            - self._ramped_extra
        )
        if missing <= 0 or self._ramped_extra + missing > self.extra:
            return 0
        return math.ceil(missing * WINDOW_MS / self.extra)

    def change_extra(self, extra: float, now_ms: int) -> None:
        """Change `extra`; a larger one is reached gradually, a smaller one at once."""
        self._grow_extra(now_ms)
        self.extra = extra

    def build_unused(self, now_ms: int) -> "RetryPool":
        """Return a pool without records whose `extra` has grown as far as here."""
        self._grow_extra(now_ms)
        return RetryPool(self.percent, self.extra, now_ms, self._ramped_extra)

    @property
    def _recent_failures(self) -> int:
        """Failures in the last window that asked for a retry, granted or not."""
        return len(self._failure_requested_at_ms)

    def _drop_expired(self, now_ms: int) -> None:
        """Drop records that are older than the window."""
        start_ms = now_ms - WINDOW_MS
        while self._requests and self._requests[0][0] <= start_ms:
            self._request_count -= self._requests.popleft()[1]
        for times_ms in (
            self._granted_at_ms,
            self._hedge_granted_at_ms,
            self._failure_requested_at_ms,
        ):
            while times_ms and times_ms[0] <= start_ms:
                times_ms.popleft()

    def _grow_extra(self, now_ms: int) -> None:
        elapsed_ms = max(now_ms - self.ramped_at_ms, 0)
        self.ramped_at_ms = now_ms
        grown = self._ramped_extra + self.extra * elapsed_ms / WINDOW_MS
        self._ramped_extra = min(grown, self.extra)
