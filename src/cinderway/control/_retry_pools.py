"""The retry budgets of all services, shared by the entries that follow one replica.

Does no I/O; the time is passed in.
"""

from dataclasses import dataclass, field

from cinderway._ids import ServiceName
from cinderway.limits import RetryPool


@dataclass
class RetryPools:
    """One pool for each service, created on first use.

    `percent` is the number of retries allowed per 100 first requests of a service;
    `extra_per_entry` is the number of additional retries that each entry adds to every
    pool.
    """

    percent: int
    extra_per_entry: float
    _pools: dict[ServiceName, RetryPool] = field(default_factory=dict)

    def record_requests(
        self, service: ServiceName, requests: int, entries: int, now_ms: int
    ) -> None:
        """Credit first requests of a service to its pool."""
        self._get_pool(service, entries, now_ms).credit(requests, now_ms)

    def acquire_retry(
        self,
        service: ServiceName,
        entries: int,
        now_ms: int,
        *,
        after_failure: bool = True,
    ) -> bool:
        """Consume one retry; return False if none is left."""
        pool = self._get_pool(service, entries, now_ms)
        return pool.consume(now_ms, after_failure=after_failure)

    def _get_pool(self, service: ServiceName, entries: int, now_ms: int) -> RetryPool:
        pool = self._pools.get(service)
        if pool is None:
            pool = RetryPool(self.percent, 0.0, now_ms)
            self._pools[service] = pool
        pool.extra = self.extra_per_entry * entries
        return pool
