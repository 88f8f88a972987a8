"""The operators' port: /metrics, /healthz and /readyz, separate from callers' port."""

from collections.abc import Callable

import anyio
from aioprometheus import Counter, Gauge, Histogram, Registry, render
from anyio.abc import TaskStatus

from cinderway._http_server import serve_http
from cinderway._ids import Address
from cinderway.wire import traffic

METRIC_PREFIX = "cinderway_"
# The range from a fast look-up to the full deadline of a caller.
BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 1.5, 2.5, 4.0, 6.0)
OK = 200
UNAVAILABLE = 503
NOT_FOUND = 404

Gauges = Callable[[], dict[str, float]]


class Metrics:
    """The process's metrics; each is registered when it is first used."""

    def __init__(self):
        self.registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, labels: dict[str, str], amount: float = 1) -> None:
        """Increase a counter by `amount`."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(
                METRIC_PREFIX + name, name.replace("_", " "), registry=self.registry
            )
            self._counters[name] = counter
        counter.add(labels, amount)

    def observe(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Record a value in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                METRIC_PREFIX + name,
                name.replace("_", " "),
                registry=self.registry,
                buckets=BUCKETS_S,
            )
            self._histograms[name] = histogram
        histogram.add(labels, value)

    def set_gauge(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Set a gauge to a value."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                METRIC_PREFIX + name, name.replace("_", " "), registry=self.registry
            )
            self._gauges[name] = gauge
        gauge.set(labels, value)


async def serve_operators(
    address: Address,
    gauges: Gauges,
    is_ready: Callable[[], bool],
    metrics: Metrics | None = None,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve metrics, liveness and readiness until cancelled."""
    metrics = metrics or Metrics()

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        match scope["path"]:
            case "/metrics":
                for name, value in {**gauges(), **_read_traffic_gauges()}.items():
                    metrics.set_gauge(name, value, {})
                body, headers = render(metrics.registry, [])
                await _respond(send, OK, body, headers.get("Content-Type", ""))
            case "/healthz":
                await _respond(send, OK, b"alive\n")
            case "/readyz" if is_ready():
                await _respond(send, OK, b"ready\n")
            case "/readyz":
                await _respond(send, UNAVAILABLE, b"not ready\n")
            case _:
                await _respond(send, NOT_FOUND, b"not found\n")

    await serve_http(address, app, task_status=task_status)


def _read_traffic_gauges() -> dict[str, float]:
    return {
        "wire_sent_bytes": float(traffic.sent_bytes),
        "wire_received_bytes": float(traffic.received_bytes),
    }


async def _respond(
    send, status: int, body: bytes, content_type: str = "text/plain"
) -> None:
    headers = [(b"content-type", content_type.encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
