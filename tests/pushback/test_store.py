"""Storage and expiry of the pushback of each run of a server."""

import unittest

from hypothesis import given, strategies as st

from cinderway._ids import ServerName
from cinderway.pushback import (
    LEAVING_VALID_MS,
    MAXIMUM_TRACKED_SERVERS,
    PushbackHeaders,
    PushbackStore,
)

SERVER = ServerName("i-1")
BACKOFF = PushbackHeaders(backoff_ms=3_000)
LEAVING = PushbackHeaders(is_leaving=True)


def record(headers, now_ms=1_000, store=None):
    store = store or PushbackStore()
    store.record_headers(SERVER, store.of(SERVER), headers, now_ms)
    return store


class BackoffTests(unittest.TestCase):
    def test_a_backoff_lasts_for_the_requested_time_after_the_response(self):
        pushback = record(BACKOFF).of(SERVER)
        self.assertTrue(pushback.is_backing_off(1_000))
        self.assertTrue(pushback.is_backing_off(3_999))
        self.assertFalse(pushback.is_backing_off(4_000))

    @given(st.lists(st.tuples(st.integers(0, 5_000), st.integers(1, 5_000))))
    def test_a_later_shorter_backoff_does_not_shorten_an_earlier_one(self, backoffs):
        store, until_ms = PushbackStore(), 0
        for now_ms, backoff_ms in backoffs:
            record(PushbackHeaders(backoff_ms), now_ms, store)
            until_ms = max(until_ms, now_ms + backoff_ms)
        self.assertEqual(store.of(SERVER).backoff_until_ms, until_ms)

    def test_a_restarted_server_has_no_backoff(self):
        store = record(BACKOFF)
        self.assertFalse(
            store.of(ServerName("i-1 started again")).is_backing_off(1_001)
        )


class LeavingTests(unittest.TestCase):
    def test_leaving_is_valid_for_longer_than_a_shutdown_takes(self):
        self.assertTrue(record(LEAVING).of(SERVER).has_announced_leaving(1_800_000))

    def test_a_later_run_with_a_reused_name_is_not_excluded_for_ever(self):
        """The catalog forgets names of runs that ended long ago and may reuse them."""
        self.assertFalse(
            record(LEAVING).of(SERVER).has_announced_leaving(LEAVING_VALID_MS + 1_000)
        )

    def test_leaving_expires_sooner_where_servers_keep_their_names(self):
        pushback = record(LEAVING, store=PushbackStore(leaving_valid_ms=60_000)).of(
            SERVER
        )
        self.assertTrue(pushback.has_announced_leaving(60_999))
        self.assertFalse(pushback.has_announced_leaving(61_000))


class EvictionTests(unittest.TestCase):
    def test_servers_without_pushback_are_not_stored(self):
        store = PushbackStore()
        self.assertFalse(store.of(SERVER).is_backing_off(0))
        self.assertIsNot(store.of(SERVER), store.of(SERVER))

    def test_the_least_recently_updated_server_is_evicted(self):
        store = record(BACKOFF)
        for number in range(MAXIMUM_TRACKED_SERVERS):
            name = ServerName(f"other-{number}")
            store.record_headers(name, store.of(name), BACKOFF, 1_000)
        self.assertFalse(store.of(SERVER).is_backing_off(1_001))
        self.assertTrue(store.of(ServerName("other-0")).is_backing_off(1_001))
