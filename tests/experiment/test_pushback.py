"""Entries tell their whole data hall about servers that reject requests.

The tests guard against each entry finding out about such servers by itself, again and
again. A server that rejects requests reports little load, so load balancing prefers it.
When six of nineteen servers rejected requests, they received 548 of 733 requests in
nine seconds, and 352 of 515 payouts were refused, while the other thirteen servers had
capacity for three times the load. What one entry learns from such a server, all entries
of the hall have to act on.
"""

import unittest
from unittest.mock import patch

from msgspec.structs import replace

from cinderway._ids import DataHall
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.experiment import Outcome, by_route, play
from cinderway.experiment._declaration import BurstFailure

from ._declared import BUSY_SERVERS, USERS_BURSTS, experiment, route, service

SEEDS = (1, 2)


def declared(rest_ms, **given):
    fields = {
        "halls": [DataHall("zrh")],
        "entries_a_hall": 12,
        "length_ms": 8_000,
        "services": [service(servers_a_hall=10, slots=4, rest_ms=rest_ms)],
        "routes": [route(per_s=40, server_limit=2)],
        "faults": [BUSY_SERVERS],
    }
    return experiment(**(fields | given))


def refused_share(experiment):
    plays = [play(experiment, seed) for seed in SEEDS]
    return by_route(plays)[0].share(Outcome.REFUSED)


class BusyServersTests(unittest.TestCase):
    def assert_sharing_reduces_refusals(self, experiment):
        with_sharing = refused_share(experiment)
        with patch.object(CatalogBoard, "_record_rejection"):
            without = refused_share(experiment)
        self.assertLess(with_sharing, 0.5 * without)

    def test_the_hall_avoids_servers_that_send_retry_after(self):
        self.assert_sharing_reduces_refusals(declared(rest_ms=3_000))

    def test_the_hall_avoids_servers_that_reject_requests_without_retry_after(self):
        self.assert_sharing_reduces_refusals(declared(rest_ms=0))


class ModelTests(unittest.TestCase):
    def test_rejections_in_a_burst_are_not_failures(self):
        bursts = replace(USERS_BURSTS, failure=BurstFailure.BUSY)
        busy = service(servers_a_hall=4, rest_ms=1_000, bursts=bursts)
        play_result = play(declared(0, services=[busy], faults=[]), SEEDS[0])
        self.assertGreater(play_result.rejected, 0)
        self.assertEqual(by_route([play_result])[0].share(Outcome.FAILED), 0)
