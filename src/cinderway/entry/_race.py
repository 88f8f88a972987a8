"""Two attempts at one repeatable request: the first good answer wins."""

from collections.abc import Awaitable, Callable

import anyio

from cinderway._errors import CinderwayError
from cinderway.entry._outcomes import outcome_of_attempt
from cinderway.entry._relay import WholeAnswer
from cinderway.ledger import Resolution

SERVER_ERROR = 500

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


async def race(
    attempt: AttemptRunner,
    hedge_after_ms: float,
    may_hedge: Callable[[], Awaitable[bool]],
) -> WholeAnswer:
    """Attempt, and once more beside it if there is no answer after a while."""
    runners = Race()
    async with anyio.create_task_group() as tasks:
        runners.enter()
        tasks.start_soon(runners.run, attempt)
        with anyio.move_on_after(hedge_after_ms / 1000):
            await runners.wait()
        if not runners.is_settled and await may_hedge():
            runners.enter()
            tasks.start_soon(runners.run, attempt)
        await runners.wait()
        tasks.cancel_scope.cancel()
    return runners.result()
