"""Hedging of repeatable requests: of two attempts the first good answer wins."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway.entry.callers._outcomes import outcome_of_attempt
from cinderway.entry.callers._relay import WholeAnswer
from cinderway.ledger import Resolution

SERVER_ERROR = 500
# Interval of asking again for a hedge that was refused. The budget that hedges consume
# gains one every few tenths of a second.
HEDGE_RETRY_INTERVAL_MS = 150

AttemptRunner = Callable[[], Awaitable[WholeAnswer]]


class Race:
    """Collects the results of concurrent attempts."""

    def __init__(self):
        self._running = 0
        self._settled = anyio.Event()
        self._answer: WholeAnswer | None = None
        self._error: CinderwayError | None = None

    @property
    def is_settled(self) -> bool:
        """Whether there is a good answer, or no attempt is running any more."""
        return self._settled.is_set()

    async def wait(self) -> None:
        """Wait until the race is settled."""
        await self._settled.wait()

    def count_started(self) -> None:
        """Count an attempt as running; to be called before its task starts."""
        self._running += 1

    async def run(self, attempt: AttemptRunner) -> None:
        """Run an attempt that was counted, and record its result."""
        try:
            answer = await attempt()
        except CinderwayError as error:
            # If any of the attempts may have run, the caller must be told that.
            if self._error is None or outcome_of_attempt(error) is Resolution.UNKNOWN:
                self._error = error
        else:
            if self._answer is None or self._answer.status >= SERVER_ERROR:
                self._answer = answer
        finally:
            self._running -= 1
        is_good = self._answer is not None and self._answer.status < SERVER_ERROR
        if is_good or not self._running:
            self._settled.set()

    def result(self) -> WholeAnswer:
        """Return the winning answer, or raise the error to report if there is none."""
        if self._answer is not None:
            return self._answer
        raise self._error


@dataclass(frozen=True)
class Hedge:
    """When a second attempt may start, on the monotonic clock, and a check for it.

    While `is_allowed` returns False it is called again, until `until_ms`.
    """

    from_ms: float
    until_ms: float
    is_allowed: Callable[[], Awaitable[bool]]


async def race(attempt: AttemptRunner, hedge: Hedge) -> WholeAnswer:
    """Run an attempt, and a second one alongside it if there is no answer in time."""
    attempts = Race()
    async with anyio.create_task_group() as tasks:
        attempts.count_started()
        tasks.start_soon(attempts.run, attempt)
        if await _wait_to_hedge(attempts, hedge):
            attempts.count_started()
            tasks.start_soon(attempts.run, attempt)
        await attempts.wait()
        tasks.cancel_scope.cancel()
    return attempts.result()


async def _wait_to_hedge(attempts: Race, hedge: Hedge) -> bool:
    """Wait until a second attempt should start; False if none should."""
    check_at_ms = hedge.from_ms
    while True:
        with anyio.move_on_after(max(check_at_ms - monotonic_ms(), 0) / 1000):
            await attempts.wait()
        if attempts.is_settled:
            return False
        if await _is_allowed(attempts, hedge):
            return not attempts.is_settled
        check_at_ms = monotonic_ms() + HEDGE_RETRY_INTERVAL_MS
        if check_at_ms >= hedge.until_ms:
            return False


async def _is_allowed(attempts: Race, hedge: Hedge) -> bool:
    """Ask whether to hedge, but stop asking when the race is settled."""
    is_allowed = False
    async with anyio.create_task_group() as tasks:

        async def ask() -> None:
            nonlocal is_allowed
            is_allowed = await hedge.is_allowed()
            tasks.cancel_scope.cancel()

        tasks.start_soon(ask)
        await attempts.wait()
        tasks.cancel_scope.cancel()
    return is_allowed
