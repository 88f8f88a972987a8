"""How long idle connections last before their servers close them. Pure.

Closing is a rate by idle age: the closes that were seen, divided by the time for which
connections of that age were idle. A server that closes early shows by closes that cost
nothing, since few of them meet a request.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

from cinderway._ids import Address, ServiceName

# Upper ends of the ranges of idle age. A server that closes after a fixed time shows
# in one or two of them, and younger connections stay in use.
AGE_ENDS_MS = (100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800, 25_600)
RANGE_COUNT = len(AGE_ENDS_MS) + 1
# Half of what was seen is forgotten after this time, so that a server that was changed
# is judged by its present connections within a few minutes.
CLOSES_HALF_LIFE_MS = 60_000
# Assumed for a service without observations: one close in 30 s of idle time, the time
# for which common servers keep connections. It weighs as much as half a close, so that
# a few observations outweigh it.
ASSUMED_CLOSES = 0.5
ASSUMED_IDLE_MS = 15_000
# A close that took a request with it counts as this many: it has cost what the others
# warn of.
LOSS_WEIGHT = 3.0
# Fading is applied in steps of this length, since rates are read with each choice of a
# server.
FADE_STEP_MS = 500
# Observations that nobody asked for during this time are dropped.
KEPT_FOR_MS = 10 * CLOSES_HALF_LIFE_MS


@dataclass
class _Observations:
    """Closes and idle time by range of idle age, which fade with time."""

    updated_at_ms: int
    closes: list[float] = field(default_factory=lambda: [0.0] * RANGE_COUNT)
    idle_ms: list[float] = field(default_factory=lambda: [0.0] * RANGE_COUNT)

    def fade(self, now_ms: int) -> None:
        """Let the observations lose weight for the time since the last step."""
        passed_ms = now_ms - self.updated_at_ms
        if passed_ms < FADE_STEP_MS:
            return
        share = 0.5 ** (passed_ms / CLOSES_HALF_LIFE_MS)
        self.updated_at_ms = now_ms
        self.closes = [count * share for count in self.closes]
        self.idle_ms = [time_ms * share for time_ms in self.idle_ms]

    def add_idle(self, until_age_ms: float) -> None:
        """Add the idle time of one connection, from age 0 on."""
        start_ms = 0.0
        for number, end_ms in enumerate((*AGE_ENDS_MS, float("inf"))):
            self.idle_ms[number] += max(min(until_age_ms, end_ms) - start_ms, 0.0)
            if until_age_ms <= end_ms:
                return
            start_ms = end_ms


@dataclass
class ConnectionLifetimes:
    """The idle connections of one entry to the servers of all services."""

    _services: dict[ServiceName, _Observations] = field(default_factory=dict)
    _servers: dict[Address, _Observations] = field(default_factory=dict)

    def record_idle(
        self, service: ServiceName, server: Address, age_ms: float, now_ms: int
    ) -> None:
        """Record that a connection was idle for `age_ms`, however that ended."""
        for observed in self._observations(service, server, now_ms):
            observed.add_idle(age_ms)

    def record_close(
        self,
        service: ServiceName,
        server: Address,
        age_ms: float,
        now_ms: int,
        weight: float = 1.0,
    ) -> None:
        """Record that a server closed a connection at this idle age."""
        number = bisect_left(AGE_ENDS_MS, age_ms)
        for observed in self._observations(service, server, now_ms):
            observed.closes[number] += weight

    def compute_close_rate(
        self, service: ServiceName, server: Address, age_ms: float, now_ms: int
    ) -> float:
        """Return the closes per ms to expect of a connection of this idle age.

        What the server itself showed counts more the more there is of it; the rest is
        what its service shows.
        """
        number = bisect_left(AGE_ENDS_MS, age_ms)
        rate = ASSUMED_CLOSES / ASSUMED_IDLE_MS
        for observed in (self._services.get(service), self._servers.get(server)):
            if observed is None:
                continue
            observed.fade(now_ms)
            closes = observed.closes[number] + rate * ASSUMED_IDLE_MS
            rate = closes / (observed.idle_ms[number] + ASSUMED_IDLE_MS)
        return rate

    def drop_old(self, now_ms: int) -> None:
        """Drop the observations that nobody asked for during a long time."""
        for table in (self._services, self._servers):
            for name in [
                name
                for name, observed in table.items()
                if now_ms - observed.updated_at_ms > KEPT_FOR_MS
            ]:
                del table[name]

    def _observations(
        self, service: ServiceName, server: Address, now_ms: int
    ) -> tuple[_Observations, _Observations]:
        found = (
            self._services.setdefault(service, _Observations(now_ms)),
            self._servers.setdefault(server, _Observations(now_ms)),
        )
        for observed in found:
            observed.fade(now_ms)
        return found
