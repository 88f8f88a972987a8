"""The work of requests without their wait in a server's queue, learnt from answers.

A request that finds a server with a load above 1 waits for others first. The answer
times of a class therefore say how long the queues are; how long the class occupies a
slot is what remains after the expected wait.
"""

from dataclasses import dataclass, field

from cinderway._ids import RouteName

# Weight of the newest answer in the moving averages, once there are enough of them.
GAIN = 0.05
# With fewer answers of a route, the work of the service stands for it.
MIN_ANSWERS = 4


@dataclass(frozen=True)
class WorkTime:
    """How long a request occupies a slot, and each request of the queue before it.

    `queued_ms` is None if both are the service's usual time, queues included.
    """

    own_ms: float
    queued_ms: float | None = None


@dataclass
class _Mean:
    """A moving average that starts as a plain mean."""

    value_ms: float = 0.0
    count: int = 0

    def add(self, sample_ms: float) -> None:
        self.count += 1
        self.value_ms += (sample_ms - self.value_ms) * max(GAIN, 1 / self.count)


@dataclass
class WorkTimes:
    """The mean work of a service's requests and of each of its routes."""

    _service: _Mean = field(default_factory=_Mean)
    _routes: dict[RouteName, _Mean] = field(default_factory=dict)

    def record(self, route: RouteName, answer_ms: float, load: float) -> None:
        """Record an answer of a server that had this load, the request included."""
        queued = max(load, 1.0)
        self._service.add(answer_ms / queued)
        wait_ms = (queued - 1) * self._service.value_ms
        own = self._routes.setdefault(route, _Mean())
        own.add(max(answer_ms - wait_ms, 0.0))

    def service_ms(self) -> float | None:
        """Return the mean work of all requests; None with too few answers."""
        return self._service.value_ms if self._service.count >= MIN_ANSWERS else None

    def route_ms(self, route: RouteName) -> float | None:
        """Return the mean work of a route, or else of the service, if known."""
        own = self._routes.get(route)
        if own is None or own.count < MIN_ANSWERS:
            return self.service_ms()
        return own.value_ms

    def forget(self, route: RouteName) -> None:
        """Forget a route that is no longer requested."""
        self._routes.pop(route, None)
