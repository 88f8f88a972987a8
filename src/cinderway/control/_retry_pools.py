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
    # Has the additional retries of a service whose pool is not used yet.
    _unused: RetryPool = field(init=False)

    def __post_init__(self):
        self._unused = RetryPool(self.percent, 0.0, 0)

    def record_entries(self, entries: int, now_ms: int) -> None:
        """Record how many entries use the pools from now on."""
        extra = self.extra_per_entry * entries
        if extra == self._unused.extra:
            return
        for pool in (self._unused, *self._pools.values()):
            pool.change_extra(extra, now_ms)

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

    def compute_due_ms(self, service: ServiceName, now_ms: int) -> int:
        """Return how long a refused retry takes to come due; 0 if that is not known.

        The time is known only while the budget grows because entries have joined.
        """
        return self._pools[service].compute_due_ms(now_ms)

    def _get_pool(self, service: ServiceName, entries: int, now_ms: int) -> RetryPool:
        self.record_entries(entries, now_ms)
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = self._unused.build_unused(now_ms)
        return pool
