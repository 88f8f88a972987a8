"""Model backend servers: slots, a queue, service times and bursts of failures."""

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
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# A request that a burst fails with an error or a reset fails before any work is done.
BURST_FAILURE_DELAY_MS = 1.0
# Bursts and the pauses between them last 0.5 to 1.5 times their mean, uniformly.
MIN_DURATION_FACTOR = 0.5


@dataclass
class ServerAnswer:
    """The head of a model server's answer."""

    status: int
    headers: list[tuple[bytes, bytes]]

    @property
    def is_success(self) -> bool:
        """Whether the request was served."""
        return self.status == OK


@dataclass(frozen=True)
class Work:
    """The work of a request: its mean, and the deviation of its logarithm."""

    mean_ms: float
    spread: float

    def draw_ms(self, rng: random.Random) -> float:
        """Draw the log-normally distributed work of one request."""
        log_mean = math.log(self.mean_ms) - self.spread**2 / 2
        return rng.lognormvariate(log_mean, self.spread)


class RunAbortedError(Exception):
    """The server closed the connection before it answered."""


@dataclass
class ModelServer:
    """One backend server.

    `arrivals` counts the requests that it received, `running` those that hold a slot
    now. `poison_arrivals_ms` are the times at which poison requests arrived, and
    `ended_at_ms` those at which one crashed the server. Faults change `slowed` (a
    factor of the service time), `is_dark` (the server does not respond), `busy_share`
    and `limit_per_s`.
    """

    name: ServerName
    address: Address
    data_hall: DataHall
    service: ModelService
    rng: random.Random
    running: int = 0
    slowed: float = 1.0
    is_dark: bool = False
    # The share of requests that it rejects although it has free capacity.
    busy_share: float = 0.0
    # The rate limit that its answers advertise now.
    limit_per_s: float | None = None
    # The last limit that it advertised, and when it first advertised one.
    advertised_limit_per_s: float | None = None
    limit_advertised_at_ms: int = 0
    arrivals_ms: list[int] = field(default_factory=list)
    arrivals: int = 0
    rejected: int = 0
    ended_at_ms: list[int] = field(default_factory=list)
    poison_arrivals_ms: list[int] = field(default_factory=list)
    _restarts_at_ms: float = 0.0
    # Set when the current process crashes; each process has its own event.
    _process_ended: anyio.Event = field(default_factory=anyio.Event)
    _queue: deque[anyio.Event] = field(default_factory=deque)
    _burst_from_ms: float = 0.0
    _burst_until_ms: float = 0.0

    def __post_init__(self):
        close = self.service.idle_close
        self._closes_idle = close is not None and self.rng.random() < close.share
        bursts = self.service.bursts
        if bursts is not None:
            # The first burst may have begun before the experiment does.
            from_ms = self.rng.random() * bursts.every_ms - bursts.length_ms
            self._burst_from_ms = monotonic_ms() + from_ms
            self._burst_until_ms = self._burst_from_ms + self._draw_duration_ms(
                bursts.length_ms
            )

    @property
    def is_down(self) -> bool:
        """Whether its process has crashed and has not restarted yet."""
        return monotonic_ms() < self._restarts_at_ms

    def draw_idle_close_ms(self) -> float:
        """Return after which idle time it closes a connection."""
        if not self._closes_idle:
            return math.inf
        close = self.service.idle_close
        return self.rng.lognormvariate(math.log(close.after_ms), close.spread)

    async def run(
        self,
        deadline_ms: int,
        work: Work | None = None,
        poison: PoisonRequest | None = None,
    ) -> ServerAnswer:
        """Run a request that may crash the server.

        The call is cancelled when the entry closes the connection. Raises
        RunAbortedError if the server is down, crashes in the meantime or resets the
        connection.
        """
        if self.is_down:
            raise RunAbortedError
        process_ended = self._process_ended
        answer: ServerAnswer | None = None
        async with anyio.create_task_group() as tasks:

            async def give_answer() -> None:
                nonlocal answer
                # Suppressed here, since the task group would wrap it in an
                # ExceptionGroup; it is raised again below.
                with suppress(RunAbortedError):
                    answer = await self._answer_or_crash(deadline_ms, work, poison)
                tasks.cancel_scope.cancel()

            tasks.start_soon(give_answer)
            await process_ended.wait()
            tasks.cancel_scope.cancel()
        if answer is None:
            raise RunAbortedError
        return answer

    async def _answer_or_crash(
        self, deadline_ms: int, work: Work | None, poison: PoisonRequest | None
    ) -> ServerAnswer:
        if poison is None:
            return await self.answer(deadline_ms, work)
        self._record_arrival()
        self.poison_arrivals_ms.append(monotonic_ms())
        if not await self._acquire_slot(deadline_ms):
            return self._reject()
        try:
            await anyio.sleep(poison.ends_after_ms / 1000)
            self._crash(poison.down_ms)
            await anyio.sleep_forever()
        finally:
            self._release_slot()

    def _crash(self, down_ms: int) -> None:
        self.ended_at_ms.append(monotonic_ms())
        self._restarts_at_ms = monotonic_ms() + down_ms
        self._process_ended.set()
        self._process_ended = anyio.Event()

    async def answer(self, deadline_ms: int, work: Work | None = None) -> ServerAnswer:
        """Run an ordinary request, one that cannot crash the server.

        `work` replaces the service's own work. Raises RunAbortedError if the server
        resets the connection in a burst.
        """
        self._record_arrival()
        failure = self._choose_failure()
        if failure is BurstFailure.ERROR:
            await anyio.sleep(BURST_FAILURE_DELAY_MS / 1000)
            return self._build_answer(INTERNAL_SERVER_ERROR)
        if failure is BurstFailure.RESET:
            await anyio.sleep(BURST_FAILURE_DELAY_MS / 1000)
            raise RunAbortedError
        if failure is BurstFailure.BUSY or self._is_busy():
            return self._reject()
        if not await self._acquire_slot(deadline_ms):
            return self._reject()
        try:
            work_ms = math.inf if failure else self._draw_work_ms(work)
            remaining_ms = max(deadline_ms - monotonic_ms(), 0)
            await anyio.sleep(min(work_ms, remaining_ms) / 1000)
        finally:
            self._release_slot()
        if work_ms > remaining_ms:
            return self._build_answer(GATEWAY_TIMEOUT)
        is_error = self.rng.random() < self.service.error_share
        return self._build_answer(INTERNAL_SERVER_ERROR if is_error else OK)

    def _record_arrival(self) -> None:
        self.arrivals += 1
        self.arrivals_ms.append(monotonic_ms())

    async def _acquire_slot(self, deadline_ms: int) -> bool:
        """Acquire a slot, waiting in the queue if necessary.

        False if the queue is full or the deadline passes first.
        """
        if self.running < self.service.slots:
            self.running += 1
            return True
        if len(self._queue) >= self.service.queue:
            return False
        slot_granted = anyio.Event()
        self._queue.append(slot_granted)
        try:
            with anyio.move_on_after(max(deadline_ms - monotonic_ms(), 0) / 1000):
                await slot_granted.wait()
        except BaseException:
            self._leave_queue(slot_granted)
            raise
        if not slot_granted.is_set():
            self._leave_queue(slot_granted)
        return slot_granted.is_set()

    def _leave_queue(self, slot_granted: anyio.Event) -> None:
        if slot_granted.is_set():
            self._release_slot()
        else:
            self._queue.remove(slot_granted)

    def _release_slot(self) -> None:
        """Release a slot, or hand it over to the first request in the queue."""
        if self._queue:
            self._queue.popleft().set()
        else:
            self.running -= 1

    def _choose_failure(self) -> BurstFailure | None:
        bursts = self.service.bursts
        if bursts is None:
            return None
        now_ms = monotonic_ms()
        while now_ms >= self._burst_until_ms:
            pause_ms = self._draw_duration_ms(bursts.every_ms - bursts.length_ms)
            self._burst_from_ms = self._burst_until_ms + pause_ms
            self._burst_until_ms = self._burst_from_ms + self._draw_duration_ms(
                bursts.length_ms
            )
        fails = now_ms >= self._burst_from_ms and self.rng.random() < bursts.fail_share
        return bursts.failure if fails else None

    def _draw_duration_ms(self, mean_ms: float) -> float:
        return mean_ms * (MIN_DURATION_FACTOR + self.rng.random())

    def _draw_work_ms(self, work: Work | None) -> float:
        if work is None:
            work = Work(self.service.work_ms, self.service.work_spread)
        return work.draw_ms(self.rng) * self.slowed

    def _is_busy(self) -> bool:
        return bool(self.busy_share) and self.rng.random() < self.busy_share

    def _reject(self) -> ServerAnswer:
        self.rejected += 1
        rest_ms = self.service.rest_ms
        retry_after = [(RETRY_AFTER, b"%.3f" % (rest_ms / 1000))] if rest_ms else []
        return self._build_answer(
            SERVICE_UNAVAILABLE, (OUTCOME_HEADER, NOT_RUN), *retry_after
        )

    def _build_answer(self, status: int, *headers: tuple[bytes, bytes]) -> ServerAnswer:
        load = f"{self.running},{len(self._queue)},{self.service.slots}"
        all_headers = [(LOAD_HEADER, load.encode()), *headers]
        if self.service.keep_alive_s:
            timeout = b"timeout=%d" % self.service.keep_alive_s
            all_headers.append((b"keep-alive", timeout))
        if self.limit_per_s is not None:
            if self.advertised_limit_per_s is None:
                self.limit_advertised_at_ms = monotonic_ms()
            self.advertised_limit_per_s = self.limit_per_s
            all_headers.append((LIMIT_HEADER, b"%f" % self.limit_per_s))
        return ServerAnswer(status, all_headers)
