"""Two attempts at one repeatable request: the first good answer wins."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway.entry.callers._outcomes import outcome_of_attempt
from cinderway.entry.callers._relay import WholeAnswer
from cinderway.ledger import Resolution

SERVER_ERROR = 500
# The budget that second attempts are paid from gains one every few tenths of a second.
ASK_AGAIN_MS = 150

AttemptRunner = Callable[[], Awaitable[WholeAnswer]]


class Race:
    """Collects what the attempts bring."""

    def __init__(self):
        self._running = 0
        self._settled = anyio.Event()
        self._answer: WholeAnswer | None = None
        self._error: CinderwayError | None = None

    @property
    def is_settled(self) -> bool:
        """Whether there is a good answer, or no attempt is left."""
        return self._settled.is_set()

    async def wait(self) -> None:
        """Return once the race is settled."""
        await self._settled.wait()

    def enter(self) -> None:
        """Note that an attempt begins; call before its task starts."""
        self._running += 1

    async def run(self, attempt: AttemptRunner) -> None:
        """Run an attempt that entered."""
        try:
            answer = await attempt()
        except CinderwayError as error:
            # If any of the attempts may have run, that is what the caller must hear.
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
        """Return the winner's answer, or raise the last attempt's error."""
        if self._answer is not None:
            return self._answer
        raise self._error


@dataclass(frozen=True)
class Hedge:
    """When a second attempt may begin, on the monotonic clock, and who allows it.

    Where that is refused for the moment, it is asked for again until `until_ms`.
    """

    from_ms: float
    until_ms: float
    is_allowed: Callable[[], Awaitable[bool]]


async def race(attempt: AttemptRunner, hedge: Hedge) -> WholeAnswer:
    """Attempt, and once more beside it if there is no answer after a while."""
    runners = Race()
    async with anyio.create_task_group() as tasks:
        runners.enter()
        tasks.start_soon(runners.run, attempt)
        if await _wait_to_hedge(runners, hedge):
            runners.enter()
            tasks.start_soon(runners.run, attempt)
        await runners.wait()
        tasks.cancel_scope.cancel()
    return runners.result()


async def _wait_to_hedge(runners: Race, hedge: Hedge) -> bool:
    """Return True once a second attempt is to begin, False if none is."""
    look_at_ms = hedge.from_ms
    while True:
        with anyio.move_on_after(max(look_at_ms - monotonic_ms(), 0) / 1000):
            await runners.wait()
        if runners.is_settled:
            return False
        if await _is_allowed(runners, hedge):
            return not runners.is_settled
        look_at_ms = monotonic_ms() + ASK_AGAIN_MS
        if look_at_ms >= hedge.until_ms:
            return False


async def _is_allowed(runners: Race, hedge: Hedge) -> bool:
    """Ask for leave, unless the race is settled first: an answer does not wait."""
    is_allowed = False
    async with anyio.create_task_group() as tasks:

        async def ask() -> None:
            nonlocal is_allowed
            is_allowed = await hedge.is_allowed()
            tasks.cancel_scope.cancel()

        tasks.start_soon(ask)
        await runners.wait()
        tasks.cancel_scope.cancel()
    return is_allowed
