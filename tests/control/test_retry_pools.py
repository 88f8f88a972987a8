import unittest

from cinderway._ids import ServiceName
from cinderway.control._retry_pools import RetryPools
from cinderway.limits._retry_pool import WINDOW_MS

LOOKUP, SUBMIT = ServiceName("lookup"), ServiceName("submit")


class RetryPoolsTests(unittest.TestCase):
    def test_services_do_not_share_a_pool(self):
        pools = RetryPools(percent=100, extra_per_entry=4)
        pools.earn(LOOKUP, 1, entries=1, now_ms=0)
        self.assertFalse(pools.take(SUBMIT, entries=1, now_ms=0))
        self.assertTrue(pools.take(LOOKUP, entries=1, now_ms=0))
        self.assertFalse(pools.take(LOOKUP, entries=1, now_ms=0))

    def test_each_entry_adds_its_extra_retries(self):
        pools = RetryPools(percent=100, extra_per_entry=4)
        pools.earn(LOOKUP, 100, entries=3, now_ms=0)
        granted = [pools.take(LOOKUP, entries=3, now_ms=0) for _ in range(8)]
        # Half of the extra ones of three entries may be saved up.
        self.assertEqual(granted, [True] * 6 + [False] * 2)

    def test_without_requests_the_rest_comes_back_over_the_window(self):
        pools = RetryPools(percent=0, extra_per_entry=4)
        self.assertFalse(pools.take(LOOKUP, entries=1, now_ms=0))
        self.assertTrue(pools.take(LOOKUP, entries=1, now_ms=WINDOW_MS))
        self.assertTrue(pools.take(LOOKUP, entries=1, now_ms=WINDOW_MS))
        self.assertFalse(pools.take(LOOKUP, entries=1, now_ms=WINDOW_MS))
