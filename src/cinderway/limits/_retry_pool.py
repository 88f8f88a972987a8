"""A retry budget that many entries share. Pure: time is passed in.

Alone, an entry with little traffic may retry once in several seconds; together with
its neighbours it has one when it needs it.
"""

from collections import deque
from dataclasses import dataclass, field

# The span that the `retry_burst` setting counts its requests in.
WINDOW_MS = 10_000
# Requests that come within this time are counted as one batch.
BATCH_MS = 100


@dataclass
class RetryPool:
    """Retries of one service that the entries here may send in any span of time.

    Guarantee: in any `WINDOW_MS` at most `extra` plus `percent` of the first requests
    noted in it are granted, and no fewer, once the pool is a window old. A pool that
    starts, or whose `extra` grows since entries have come from another pool, comes to
    its full `extra` over a window: what was granted elsewhere is not known here.

    Retries after a failure go before second tries beside a slow one, which get what as
    many failures as in the last window will leave over: a failure is certain, a slow
    answer mostly comes after all.
    """

    percent: int
    extra: float
    ramped_at_ms: int
    _ramped_extra: float = 0.0
    _request_count: int = 0
    # Each with the time at which its batch began, oldest first.
    _requests: deque[tuple[int, int]] = field(default_factory=deque)
    _granted_at_ms: deque[int] = field(default_factory=deque)
    _slow_granted_at_ms: deque[int] = field(default_factory=deque)
    _failure_asked_at_ms: deque[int] = field(default_factory=deque)

    def earn(self, requests: int, now_ms: int) -> None:
        """Note first requests."""
        self._request_count += requests
        if self._requests and now_ms - self._requests[-1][0] < BATCH_MS:
            began_at_ms, count = self._requests.pop()
            self._requests.append((began_at_ms, count + requests))
        else:
            self._requests.append((now_ms, requests))
        self._forget(now_ms)

    def take(self, now_ms: int, *, after_failure: bool = True) -> bool:
        """Take one retry; False if there is none left."""
        self._forget(now_ms)
        self._ramp(now_ms)
        allowed = self._ramped_extra + self._request_count * self.percent / 100
        if after_failure:
            self._failure_asked_at_ms.append(now_ms)
        elif len(self._slow_granted_at_ms) + self._failures + 1 > allowed:
            return False
        if len(self._granted_at_ms) + 1 > allowed:
            return False
        self._granted_at_ms.append(now_ms)
        if not after_failure:
            self._slow_granted_at_ms.append(now_ms)
        return True

    @property
    def _failures(self) -> int:
        """Failures of the last window that asked for a retry, granted or not."""
        return len(self._failure_asked_at_ms)

    def _forget(self, now_ms: int) -> None:
        """Drop what is a window old."""
        began_at_ms = now_ms - WINDOW_MS
        while self._requests and self._requests[0][0] <= began_at_ms:
            self._request_count -= self._requests.popleft()[1]
        for times_ms in (
            self._granted_at_ms,
            self._slow_granted_at_ms,
            self._failure_asked_at_ms,
        ):
            while times_ms and times_ms[0] <= began_at_ms:
                times_ms.popleft()

    def _ramp(self, now_ms: int) -> None:
        elapsed_ms = max(now_ms - self.ramped_at_ms, 0)
        self.ramped_at_ms = now_ms
        grown = self._ramped_extra + self.extra * elapsed_ms / WINDOW_MS
        self._ramped_extra = min(grown, self.extra)
