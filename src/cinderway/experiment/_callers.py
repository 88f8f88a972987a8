"""Model callers: what they ask, when, and what became of it."""

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import DataHall
from cinderway.entry.servers._messages import ATTEMPT_HEADER, DEADLINE_HEADER
from cinderway.experiment._declaration import Experiment, ModelRoute
from cinderway.experiment._entries import ModelEntry
from cinderway.experiment._halls import HOST

OK = 200
REFUSED = 503
# Of requests that no other is the same as.
_numbers = itertools.count()


class Outcome(Enum):
    """What a caller got."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True)
class Result:
    """One request, from its first try to its end, in the experiment's time."""

    route: str
    data_hall: DataHall
    asked_at_ms: int
    took_ms: int
    outcome: Outcome
    tries: int = 1


class _Answer:
    """What the entry sends back, by ASGI messages."""

    def __init__(self):
        self.status = 0
        self.retry_after_ms = 0.0

    async def send(self, message: dict) -> None:
        if message["type"] != "http.response.start":
            return
        self.status = message["status"]
        for name, value in message["headers"]:
            if name == b"retry-after":
                self.retry_after_ms = float(value) * 1000


class _Caller:
    """One try's connection to an entry."""

    def __init__(self):
        self._is_read = False
        self.left = anyio.Event()

    async def receive(self) -> dict:
        if not self._is_read:
            self._is_read = True
            return {"type": "http.request", "body": b"", "more_body": False}
        await self.left.wait()
        return {"type": "http.disconnect"}


async def ask(
    experiment: Experiment,
    route: ModelRoute,
    entries: list[ModelEntry],
    hall: DataHall,
    rng: random.Random,
    path: str | None = None,
) -> Result:
    """Ask once, come back where that is worth it; return what came of it.

    Where no entry is there, the caller waits in vain. `path` is that of a request which
    is not one of the route's usual ones.
    """
    path = path or _drawn_path(route, rng)
    asked_at_ms = monotonic_ms()
    give_up_at_ms = asked_at_ms + route.deadline_ms
    tries = 0
    while True:
        tries += 1
        if not entries:
            await anyio.sleep(route.deadline_ms / 1000)
            answer = _Answer()
            break
        entry = rng.choice(entries)
        answer = await _try(experiment, route, path, entry, give_up_at_ms, rng)
        back_at_ms = monotonic_ms() + answer.retry_after_ms
        may_return = answer.status == REFUSED and tries <= route.retries
        if not may_return or back_at_ms >= give_up_at_ms:
            break
        await anyio.sleep(answer.retry_after_ms / 1000)
    took_ms = monotonic_ms() - asked_at_ms
    outcome = _outcome(answer.status, took_ms, route)
    return Result(route.name, hall, asked_at_ms, took_ms, outcome, tries)


async def _try(
    experiment: Experiment,
    route: ModelRoute,
    path: str,
    entry: ModelEntry,
    give_up_at_ms: int,
    rng: random.Random,
) -> _Answer:
    answer, caller = _Answer(), _Caller()
    way_s = experiment.caller_ms / 1000
    left_ms = give_up_at_ms - monotonic_ms()
    with anyio.move_on_after(left_ms / 1000):
        await anyio.sleep(way_s)
        scope = _scope_of(route, path, left_ms, rng)
        await entry.serve(scope, caller.receive, answer.send)
        if entry.is_dark:
            await anyio.sleep_forever()
        await anyio.sleep(way_s)
    caller.left.set()
    return answer


def _drawn_path(route: ModelRoute, rng: random.Random) -> str:
    """Return a request's path: one of the route's few, or one of its own."""
    number = rng.randrange(route.distinct) if route.distinct else next(_numbers)
    return f"/{route.name}/{number:x}/{route.answer_bytes}"


def _scope_of(route: ModelRoute, path: str, left_ms: int, rng: random.Random) -> dict:
    headers = [
        (b"host", HOST.encode()),
        (ATTEMPT_HEADER, b"%016x" % rng.getrandbits(64)),
        (DEADLINE_HEADER, b"%d" % left_ms),
    ]
    return {
        "type": "http",
        "method": "POST" if route.kind.value == "once" else "GET",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": headers,
    }


def _outcome(status: int, took_ms: int, route: ModelRoute) -> Outcome:
    if status == OK:
        return Outcome.IN_TIME if took_ms <= route.objective_ms else Outcome.LATE
    return Outcome.REFUSED if status == REFUSED else Outcome.FAILED


def arrivals(
    per_s: float, experiment: Experiment, phase: float, rng: random.Random
) -> Iterator[tuple[float, float]]:
    """Yield pauses between requests in ms, and each one's place in the wave.

    The place is from 0 to 1: the share of requests at their peak that are sent.
    """
    peak_per_ms = per_s * (1 + experiment.swing) / 1000
    at_ms = 0.0
    while True:
        pause_ms = rng.expovariate(peak_per_ms)
        at_ms += pause_ms
        turn = at_ms / experiment.swing_every_ms + phase
        level = 1 + experiment.swing * math.sin(2 * math.pi * turn)
        yield pause_ms, level / (1 + experiment.swing)
