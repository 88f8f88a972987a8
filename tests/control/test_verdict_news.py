"""Ejections are told at once, what only moves a share from time to time."""

import unittest

from cinderway._ids import DataHall
from cinderway.catalog import CATALOG, VerdictBatch, VerdictLine
from cinderway.control._verdict_news import SHARE_UPDATE_PERIOD_MS, VerdictThrottle

SUVA, NADI = DataHall("suva"), DataHall("nadi")


def batch(share=1.0, *, is_ejected=False):
    return VerdictBatch([VerdictLine("s", "i-1", is_ejected, share, "slow", 0.0)], [])


class VerdictThrottleTests(unittest.TestCase):
    def setUp(self):
        self.news = VerdictThrottle()
        self.news.update({SUVA: batch(0.5)}, 0)

    def told(self, hall=SUVA):
        frame = self.news.get_frame(hall)
        return CATALOG.decode(frame, peer="x").message if frame else None

    def test_the_first_batch_is_told(self):
        self.assertEqual(self.told(), batch(0.5))

    def test_a_share_that_moves_waits(self):
        self.news.update({SUVA: batch(0.6)}, SHARE_UPDATE_PERIOD_MS - 1)
        self.assertEqual(self.told(), batch(0.5))
        self.news.update({SUVA: batch(0.7)}, SHARE_UPDATE_PERIOD_MS)
        self.assertEqual(self.told(), batch(0.7))

    def test_an_ejection_does_not_wait_and_neither_does_its_end(self):
        self.news.update({SUVA: batch(0.0, is_ejected=True)}, 1)
        self.assertEqual(self.told(), batch(0.0, is_ejected=True))
        self.news.update({SUVA: batch(0.1)}, 2)
        self.assertEqual(self.told(), batch(0.1))

    def test_a_hall_of_which_nothing_is_judged_is_told_nothing(self):
        self.assertIsNone(self.told(NADI))
        self.news.update({NADI: batch()}, 1)
        self.assertIsNone(self.told(SUVA))
