import unittest

from cinderway._ids import ServiceName
from cinderway.control._retry_pools import RetryPools
from cinderway.limits._retry_pool import WINDOW_MS

LOOKUP, SUBMIT = ServiceName("lookup"), ServiceName("submit")


class RetryPoolsTests(unittest.TestCase):
    def test_services_do_not_share_a_pool(self):
        pools = RetryPools(percent=100, extra_per_entry=4)
        pools.record_requests(LOOKUP, 1, entries=1, now_ms=0)
        self.assertFalse(pools.acquire_retry(SUBMIT, entries=1, now_ms=0))
        self.assertTrue(pools.acquire_retry(LOOKUP, entries=1, now_ms=0))
        self.assertFalse(pools.acquire_retry(LOOKUP, entries=1, now_ms=0))

    def test_each_entry_adds_its_extra_retries(self):
        pools = RetryPools(percent=100, extra_per_entry=4)
        pools.record_requests(LOOKUP, 2, entries=3, now_ms=0)
        granted = [
            pools.acquire_retry(LOOKUP, entries=3, now_ms=WINDOW_MS - 1)
            for _ in "x" * 16
        ]
        # Two for the requests, and four for each of three entries, less the part that
        # the last millisecond of the window adds.
        self.assertEqual(granted, [True] * 13 + [False] * 3)

    def test_without_requests_the_extra_retries_accrue_over_the_window(self):
        pools = RetryPools(percent=0, extra_per_entry=4)
        self.assertFalse(pools.acquire_retry(LOOKUP, entries=1, now_ms=0))
        granted = [
            pools.acquire_retry(LOOKUP, entries=1, now_ms=WINDOW_MS) for _ in range(6)
        ]
        self.assertEqual(granted, [True] * 4 + [False] * 2)
