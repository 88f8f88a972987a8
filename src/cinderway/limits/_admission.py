"""Admission control by queue length, caller limit and deadline.

Pure: the functions compute a decision from counts and times, without I/O. A request
that could not be answered before its deadline is never queued: it is rejected at
once, with the time after which the caller may retry.
"""

from collections import Counter
from dataclasses import dataclass

from cinderway._errors import ErrorCode
from cinderway._ids import CallerName
from cinderway.table import ServiceRow

MINIMUM_RETRY_AFTER_S = 1
MAXIMUM_RETRY_AFTER_S = 60
# Weight of the newest response in the moving average of the service time.
SERVICE_TIME_GAIN = 0.05


@dataclass(frozen=True)
class Admitted:
    """The request is admitted."""


@dataclass(frozen=True)
class Rejected:
    """The request is rejected; the caller may retry after `retry_after_s`."""

    code: ErrorCode
    detail: str
    retry_after_s: int


class Admission:
    """Admission control for one service on this entry.

    Counts the requests that are waiting or running, in total and by caller.
    """

    def __init__(self):
        self._count_by_caller: Counter[CallerName] = Counter()
        self.waiting = 0
        self.service_time_ms = 0.0

    @property
    def active(self) -> int:
        """Requests waiting or running."""
        return self._count_by_caller.total()

    def decide(
        self,
        service: ServiceRow,
        caller: CallerName,
        remaining_ms: int,
        usable_slots: float,
    ) -> Admitted | Rejected:
        """Admit or reject a request that has `remaining_ms` until its deadline.

        `usable_slots` is how many requests this entry can expect to run concurrently.
        """
        wait_ms = self.expected_wait_ms(usable_slots)
        if self._count_by_caller[caller] >= service.caller_limit:
            return Rejected(
                ErrorCode.CALLER_LIMIT,
                f"caller {caller} already has {service.caller_limit} active requests "
                "on this entry",
                _retry_after_s(self.service_time_ms),
            )
        if self.waiting >= service.queue_limit and self.waiting > 0:
            return Rejected(
                ErrorCode.QUEUE_FULL,
                f"queue of {service.name} is full: {self.waiting} requests are waiting",
                _retry_after_s(wait_ms),
            )
        if wait_ms + self.service_time_ms > remaining_ms:
            return Rejected(
                ErrorCode.DEADLINE_PASSED,
                f"expected latency of {wait_ms + self.service_time_ms:.0f} ms exceeds "
                f"the {remaining_ms} ms left until the deadline",
                _retry_after_s(wait_ms),
            )
        return Admitted()

    def expected_wait_ms(self, usable_slots: float) -> float:
        """Return how long a request that arrives now is expected to wait for a slot."""
        if usable_slots <= 0:
            return 0.0
        return self.waiting * self.service_time_ms / usable_slots

    def enter(self, caller: CallerName) -> None:
        """Count an admitted request."""
        self._count_by_caller[caller] += 1

    def leave(self, caller: CallerName) -> None:
        """Remove a finished request from the counts."""
        self._count_by_caller[caller] -= 1
        if self._count_by_caller[caller] <= 0:
            del self._count_by_caller[caller]

    def record_service_time(self, duration_ms: float) -> None:
        """Update the moving average with the duration of one response."""
        if self.service_time_ms == 0:
            self.service_time_ms = duration_ms
        difference_ms = duration_ms - self.service_time_ms
        self.service_time_ms += difference_ms * SERVICE_TIME_GAIN


def _retry_after_s(wait_ms: float) -> int:
    seconds = round(wait_ms / 1000)
    return min(max(seconds, MINIMUM_RETRY_AFTER_S), MAXIMUM_RETRY_AFTER_S)
