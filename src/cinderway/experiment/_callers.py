"""Model callers: the requests that they send, when, and with which outcome."""

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import DataHall, EntryName
from cinderway.entry.servers._messages import ATTEMPT_HEADER, DEADLINE_HEADER
from cinderway.experiment._declaration import Experiment, ModelRoute
from cinderway.experiment._entries import ModelEntry
from cinderway.experiment._halls import HOST

OK = 200
SERVICE_UNAVAILABLE = 503
# Gives each request of a route without `distinct` a path of its own.
_request_numbers = itertools.count()


class Outcome(Enum):
    """How a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True)
class RequestResult:
    """One request, from its first attempt to its end, in virtual time.

    `entry` got its first attempt, if any entry was alive.
    """

    route: str
    data_hall: DataHall
    sent_at_ms: int
    latency_ms: int
    outcome: Outcome
    attempt_count: int = 1
    entry: EntryName | None = None


class _ResponseRecorder:
    """Records the status and the Retry-After header of an entry's ASGI response."""

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


class _CallerConnection:
    """ASGI's receiving side of one attempt: an empty body, then the disconnect."""

    def __init__(self):
        self._is_read = False
        self.disconnected = anyio.Event()

    async def receive(self) -> dict:
        if not self._is_read:
            self._is_read = True
            return {"type": "http.request", "body": b"", "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}


async def send_request(
    experiment: Experiment,
    route: ModelRoute,
    entries: list[ModelEntry],
    hall: DataHall,
    rng: random.Random,
    path: str | None = None,
) -> RequestResult:
    """Send a request, retry it while allowed, and return its result.

    A refused request is retried after the time in the answer's Retry-After header, or
    at once without one, if the route has retries left and the caller's deadline has not
    passed by then. If no entry is alive, the caller waits until its deadline. `path`
    replaces the path that is otherwise drawn for the route.
    """
    path = path or _choose_path(route, rng)
    sent_at_ms = monotonic_ms()
    deadline_at_ms = sent_at_ms + route.deadline_ms
    attempt_count = 0
    first_entry: EntryName | None = None
    while True:
        attempt_count += 1
        if not entries:
            await anyio.sleep(route.deadline_ms / 1000)
            answer = _ResponseRecorder()
            break
        entry = rng.choice(entries)
        first_entry = first_entry or entry.name
        answer = await _send_attempt(
            experiment, route, path, entry, deadline_at_ms, rng
        )
        retry_at_ms = monotonic_ms() + answer.retry_after_ms
        may_retry = (
            answer.status == SERVICE_UNAVAILABLE and attempt_count <= route.retries
        )
        if not may_retry or retry_at_ms >= deadline_at_ms:
            break
        await anyio.sleep(answer.retry_after_ms / 1000)
    latency_ms = monotonic_ms() - sent_at_ms
    outcome = _classify(answer.status, latency_ms, route)
    return RequestResult(
        route.name, hall, sent_at_ms, latency_ms, outcome, attempt_count, first_entry
    )


async def _send_attempt(
    experiment: Experiment,
    route: ModelRoute,
    path: str,
    entry: ModelEntry,
    deadline_at_ms: int,
    rng: random.Random,
) -> _ResponseRecorder:
    answer, caller = _ResponseRecorder(), _CallerConnection()
    one_way_s = experiment.caller_ms / 1000
    remaining_ms = deadline_at_ms - monotonic_ms()
    with anyio.move_on_after(remaining_ms / 1000):
        await anyio.sleep(one_way_s)
        scope = _build_scope(route, path, remaining_ms, rng)
        await entry.serve(scope, caller.receive, answer.send)
        if entry.is_dark:
            await anyio.sleep_forever()
        await anyio.sleep(one_way_s)
    caller.disconnected.set()
    return answer


def _choose_path(route: ModelRoute, rng: random.Random) -> str:
    """Return one of the route's `distinct` paths, or a unique one if that is 0."""
    number = rng.randrange(route.distinct) if route.distinct else next(_request_numbers)
    return f"/{route.name}/{number:x}/{route.answer_bytes}"


def _build_scope(
    route: ModelRoute, path: str, remaining_ms: int, rng: random.Random
) -> dict:
    headers = [
        (b"host", HOST.encode()),
        (ATTEMPT_HEADER, b"%016x" % rng.getrandbits(64)),
        (DEADLINE_HEADER, b"%d" % remaining_ms),
    ]
    return {
        "type": "http",
        "method": "GET" if route.kind.is_repeatable else "POST",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": headers,
    }


def _classify(status: int, latency_ms: int, route: ModelRoute) -> Outcome:
    if status == OK:
        return Outcome.IN_TIME if latency_ms <= route.objective_ms else Outcome.LATE
    return Outcome.REFUSED if status == SERVICE_UNAVAILABLE else Outcome.FAILED


def generate_arrivals(
    per_s: float, experiment: Experiment, phase: float, rng: random.Random
) -> Iterator[tuple[float, float]]:
    """Yield the pause before each candidate request in ms, and its peak ratio.

    Candidates arrive as a Poisson process at the load's peak rate. The peak ratio, up
    to 1, is the current rate of the sinusoidal load divided by that peak: the
    probability with which the candidate is to be sent.
    """
    peak_per_ms = per_s * (1 + experiment.swing) / 1000
    at_ms = 0.0
    while True:
        pause_ms = rng.expovariate(peak_per_ms)
        at_ms += pause_ms
        cycles = at_ms / experiment.swing_every_ms + phase
        load_factor = 1 + experiment.swing * math.sin(2 * math.pi * cycles)
        yield pause_ms, load_factor / (1 + experiment.swing)
