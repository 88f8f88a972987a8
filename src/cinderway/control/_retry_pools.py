"""The retry pools of all services, shared by the entries that follow one replica.

Pure: time is passed in.
"""

from dataclasses import dataclass, field

from cinderway._ids import ServiceName
from cinderway.limits import RetryPool


@dataclass
class RetryPools:
    """One pool for each service, made when it is first used.

    `percent` is the share of retries in each service's requests; `extra_per_entry` are
    the retries beyond it that each entry adds to every pool.
    """

    percent: int
    extra_per_entry: float
    _pools: dict[ServiceName, RetryPool] = field(default_factory=dict)

    def earn(
        self, service: ServiceName, requests: int, entries: int, now_ms: int
    ) -> None:
        """Note first requests of a service."""
        self._pool_of(service, entries, now_ms).earn(requests, now_ms)

    def take(
        self,
        service: ServiceName,
        entries: int,
        now_ms: int,
        *,
        after_failure: bool = True,
    ) -> bool:
        """Take one retry; False if there is none left."""
        pool = self._pool_of(service, entries, now_ms)
        return pool.take(now_ms, after_failure=after_failure)

    def _pool_of(self, service: ServiceName, entries: int, now_ms: int) -> RetryPool:
        pool = self._pools.get(service)
        if pool is None:
            pool = RetryPool(self.percent, 0.0, now_ms)
            self._pools[service] = pool
        pool.extra = self.extra_per_entry * entries
        return pool
