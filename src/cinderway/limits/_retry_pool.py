"""A retry budget that many entries share. Pure: time is passed in.

Alone, an entry with little traffic may retry once in several seconds; together with
its neighbours it has one when it needs it.
"""

from dataclasses import dataclass

# The span that the `retry_burst` setting counts its requests in.
WINDOW_MS = 10_000


@dataclass
class RetryPool:
    """Retries of one service that the entries here may send in any span of time.

    Guarantee: in any `WINDOW_MS` at most `extra` plus `percent` of the first requests
    noted in it are granted. Half of `extra`, but at least one, may be saved up; the
    rest comes back evenly over the window.
    """

    percent: int
    extra: float
    refilled_at_ms: int
    _tokens: float = 0.0

    def earn(self, requests: int) -> None:
        """Note first requests."""
        self._add(requests * self.percent / 100)

    def take(self, now_ms: int) -> bool:
        """Take one retry; False if there is none left."""
        elapsed_ms = max(now_ms - self.refilled_at_ms, 0)
        self.refilled_at_ms = now_ms
        refill = self.extra - self._saved_limit
        self._add(refill * elapsed_ms / WINDOW_MS)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    @property
    def _saved_limit(self) -> float:
        return min(max(self.extra / 2, 1.0), self.extra)

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._tokens + tokens, self._saved_limit)
