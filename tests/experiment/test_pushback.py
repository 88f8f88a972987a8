"""Servers that turn requests away have nothing to do, and look emptiest of all.

Six of nineteen servers turned their requests away. Each entry found that out by itself,
again and again, and the load that these servers told drew everybody to them: they got
548 of 733 arrivals in nine seconds, and 352 of 515 payouts were refused, while the
other thirteen had room for three times the work. What one entry is told by such a
server the hall has to avoid.
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
    def assert_telling_pays(self, experiment):
        with_telling = refused_share(experiment)
        with patch.object(CatalogBoard, "_record_rejection"):
            without = refused_share(experiment)
        self.assertLess(with_telling, 0.5 * without)

    def test_the_hall_avoids_servers_that_ask_for_rest(self):
        self.assert_telling_pays(declared(rest_ms=3_000))

    def test_the_hall_avoids_servers_that_turn_requests_away_without_a_word(self):
        self.assert_telling_pays(declared(rest_ms=0))


class ModelTests(unittest.TestCase):
    def test_a_burst_in_which_servers_ask_for_rest_fails_no_run(self):
        bursts = replace(USERS_BURSTS, failure=BurstFailure.BUSY)
        busy = service(servers_a_hall=4, rest_ms=1_000, bursts=bursts)
        played = play(declared(0, services=[busy], faults=[]), SEEDS[0])
        self.assertGreater(played.turned_away, 0)
        self.assertEqual(by_route([played])[0].share(Outcome.FAILED), 0)
