"""Choice of the entry that relays a request."""

import random
import unittest

from cinderway._ids import Address
from cinderway.reachability import PeerFailure, RelayPeers

NEAR, NEAR2, FAR = (Address(f"10.0.0.{n}:7") for n in range(3))


class ChoiceTests(unittest.TestCase):
    def setUp(self):
        self.peers = RelayPeers([NEAR, NEAR2], [FAR])

    def choose(self, tried=(), now_ms=0):
        return self.peers.choose(tried, now_ms, random.Random(1))

    def test_the_own_hall_comes_first_then_the_others(self):
        self.assertIn(self.choose(), (NEAR, NEAR2))
        self.assertEqual(self.choose({NEAR}), NEAR2)
        self.assertEqual(self.choose({NEAR, NEAR2}), FAR)
        self.assertIsNone(self.choose({NEAR, NEAR2, FAR}))

    def test_an_entry_that_is_cut_off_too_is_asked_again_later(self):
        for peer in (NEAR, NEAR2, FAR):
            self.peers.record_failure(peer, PeerFailure.CUT_OFF, 0)
        self.assertFalse(self.peers.has_usable(999))
        self.assertTrue(self.peers.has_usable(1_000))

    def test_the_entry_with_fewer_requests_is_used(self):
        self.peers.record_begin(NEAR)
        self.assertEqual(self.choose(), NEAR2)
        self.peers.record_end(NEAR)
        self.peers.record_begin(NEAR2)
        self.assertEqual(self.choose(), NEAR)
