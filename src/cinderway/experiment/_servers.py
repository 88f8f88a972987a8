"""Model backend servers: slots, a queue, work that takes time, bursts of failures."""

import math
import random
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, DataHall, ServerName
from cinderway.entry.servers._messages import (
    LIMIT_HEADER,
    LOAD_HEADER,
    NOT_RUN,
    OUTCOME_HEADER,
)
from cinderway.experiment._declaration import (
    BurstFailure,
    ModelService,
    PoisonRequest,
)
from cinderway.pushback import RETRY_AFTER

OK = 200
FAILED = 500
REFUSED = 503
TIMED_OUT = 504
# A request that fails in a burst fails before any work is done.
FAILS_AFTER_MS = 1.0
# Bursts and the pauses between them are half as long to one and a half times as long.
LEAST_PART = 0.5


@dataclass
class ServerAnswer:
    """What a model server sends back."""

    status: int
    headers: list[tuple[bytes, bytes]]

    @property
    def is_good(self) -> bool:
        """Whether it is what the caller asked for."""
        return self.status == OK


class RunBrokenError(Exception):
    """The server's side of the connection ended before there was an answer."""


@dataclass
class ModelServer:
    """One backend server; `arrivals` counts the requests that it got.

    `ended_at_ms` are the times at which a poison request ended it, and
    `poison_arrivals_ms` those at which one came.
    """

    name: ServerName
    address: Address
    data_hall: DataHall
    service: ModelService
    rng: random.Random
    running: int = 0
    slowed: float = 1.0
    is_dark: bool = False
    # Of its requests, what it turns away though it has room.
    busy_share: float = 0.0
    # What it names in its answers now.
    limit_per_s: float | None = None
    # The last limit that it named, and since when it has named any.
    limit_named_per_s: float | None = None
    limit_named_at_ms: int = 0
    arrivals_ms: list[int] = field(default_factory=list)
    arrivals: int = 0
    turned_away: int = 0
    ended_at_ms: list[int] = field(default_factory=list)
    poison_arrivals_ms: list[int] = field(default_factory=list)
    _back_at_ms: float = 0.0
    # Set when the process that runs now ends.
    _ended: anyio.Event = field(default_factory=anyio.Event)
    _waiting: deque[anyio.Event] = field(default_factory=deque)
    _burst_from_ms: float = 0.0
    _burst_until_ms: float = 0.0

    def __post_init__(self):
        bursts = self.service.bursts
        if bursts is not None:
            # Some are in the middle of a burst when the experiment begins.
            from_ms = self.rng.random() * bursts.every_ms - bursts.length_ms
            self._burst_from_ms = monotonic_ms() + from_ms
            self._burst_until_ms = self._burst_from_ms + self._part(bursts.length_ms)

    @property
    def is_down(self) -> bool:
        """Whether its process has ended and is not back yet."""
        return monotonic_ms() < self._back_at_ms

    async def run(
        self, deadline_ms: int, poison: PoisonRequest | None = None
    ) -> ServerAnswer:
        """Run one request, which may end the server; a caller that leaves cancels it.

        Raises RunBrokenError if the server ends meanwhile.
        """
        if self.is_down:
            raise RunBrokenError
        process = self._ended
        answer: ServerAnswer | None = None
        async with anyio.create_task_group() as tasks:

            async def give_answer() -> None:
                nonlocal answer
                # Raised in the task it would end the group with a group of errors.
                with suppress(RunBrokenError):
                    answer = await self._answer_or_end(deadline_ms, poison)
                tasks.cancel_scope.cancel()

            tasks.start_soon(give_answer)
            await process.wait()
            tasks.cancel_scope.cancel()
        if answer is None:
            raise RunBrokenError
        return answer

    async def _answer_or_end(
        self, deadline_ms: int, poison: PoisonRequest | None
    ) -> ServerAnswer:
        if poison is None:
            return await self.answer(deadline_ms)
        self._note_arrival()
        self.poison_arrivals_ms.append(monotonic_ms())
        if not await self._take_slot(deadline_ms):
            return self._turned_away()
        try:
            await anyio.sleep(poison.ends_after_ms / 1000)
            self._end(poison.down_ms)
            await anyio.sleep_forever()
        finally:
            self._free_slot()

    def _end(self, down_ms: int) -> None:
        self.ended_at_ms.append(monotonic_ms())
        self._back_at_ms = monotonic_ms() + down_ms
        self._ended.set()
        self._ended = anyio.Event()

    async def answer(self, deadline_ms: int) -> ServerAnswer:
        """Run one request that harms nothing.

        Raises RunBrokenError if the server resets the connection in a burst.
        """
        self._note_arrival()
        failure = self._failure_now()
        if failure is BurstFailure.ERROR:
            await anyio.sleep(FAILS_AFTER_MS / 1000)
            return self._answer(FAILED)
        if failure is BurstFailure.RESET:
            await anyio.sleep(FAILS_AFTER_MS / 1000)
            raise RunBrokenError
        if failure is BurstFailure.BUSY or self._is_busy():
            return self._turned_away()
        if not await self._take_slot(deadline_ms):
            return self._turned_away()
        try:
            work_ms = math.inf if failure else self._work_ms()
            left_ms = max(deadline_ms - monotonic_ms(), 0)
            await anyio.sleep(min(work_ms, left_ms) / 1000)
        finally:
            self._free_slot()
        if work_ms > left_ms:
            return self._answer(TIMED_OUT)
        is_error = self.rng.random() < self.service.error_share
        return self._answer(FAILED if is_error else OK)

    def _note_arrival(self) -> None:
        self.arrivals += 1
        self.arrivals_ms.append(monotonic_ms())

    async def _take_slot(self, deadline_ms: int) -> bool:
        """Take a slot, after a while in the queue; False if there is none in time."""
        if self.running < self.service.slots:
            self.running += 1
            return True
        if len(self._waiting) >= self.service.queue:
            return False
        turn = anyio.Event()
        self._waiting.append(turn)
        try:
            with anyio.move_on_after(max(deadline_ms - monotonic_ms(), 0) / 1000):
                await turn.wait()
        except BaseException:
            self._leave_queue(turn)
            raise
        if not turn.is_set():
            self._leave_queue(turn)
        return turn.is_set()

    def _leave_queue(self, turn: anyio.Event) -> None:
        if turn.is_set():
            self._free_slot()
        else:
            self._waiting.remove(turn)

    def _free_slot(self) -> None:
        """Give a slot back, or on to the first that waits."""
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self.running -= 1

    def _failure_now(self) -> BurstFailure | None:
        bursts = self.service.bursts
        if bursts is None:
            return None
        now_ms = monotonic_ms()
        while now_ms >= self._burst_until_ms:
            pause_ms = self._part(bursts.every_ms - bursts.length_ms)
            self._burst_from_ms = self._burst_until_ms + pause_ms
            self._burst_until_ms = self._burst_from_ms + self._part(bursts.length_ms)
        is_bad = now_ms >= self._burst_from_ms and self.rng.random() < bursts.fail_share
        return bursts.failure if is_bad else None

    def _part(self, mean_ms: float) -> float:
        return mean_ms * (LEAST_PART + self.rng.random())

    def _work_ms(self) -> float:
        spread = self.service.work_spread
        middle = math.log(self.service.work_ms) - spread**2 / 2
        return self.rng.lognormvariate(middle, spread) * self.slowed

    def _is_busy(self) -> bool:
        return bool(self.busy_share) and self.rng.random() < self.busy_share

    def _turned_away(self) -> ServerAnswer:
        self.turned_away += 1
        rest_ms = self.service.rest_ms
        asked = [(RETRY_AFTER, b"%.3f" % (rest_ms / 1000))] if rest_ms else []
        return self._answer(REFUSED, (OUTCOME_HEADER, NOT_RUN), *asked)

    def _answer(self, status: int, *headers: tuple[bytes, bytes]) -> ServerAnswer:
        busy = f"{self.running},{len(self._waiting)},{self.service.slots}"
        told = [(LOAD_HEADER, busy.encode()), *headers]
        if self.limit_per_s is not None:
            if self.limit_named_per_s is None:
                self.limit_named_at_ms = monotonic_ms()
            self.limit_named_per_s = self.limit_per_s
            told.append((LIMIT_HEADER, b"%f" % self.limit_per_s))
        return ServerAnswer(status, told)
