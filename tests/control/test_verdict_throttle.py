"""Ejections are sent at once, changes of shares periodically."""

import unittest

from cinderway._ids import DataHall
from cinderway.catalog import CATALOG, VerdictBatch, VerdictLine
from cinderway.control._verdict_throttle import SHARE_UPDATE_PERIOD_MS, VerdictThrottle

SUVA, NADI = DataHall("suva"), DataHall("nadi")


def batch(share=1.0, *, is_ejected=False):
    return VerdictBatch([VerdictLine("s", "i-1", is_ejected, share, "slow", 0.0)], [])


class VerdictThrottleTests(unittest.TestCase):
    def setUp(self):
        self.throttle = VerdictThrottle()
        self.throttle.update({SUVA: batch(0.5)}, 0)

    def sent_batch(self, hall=SUVA):
        frame = self.throttle.get_frame(hall)
        return CATALOG.decode(frame, peer="x").message if frame else None

    def test_the_first_batch_is_sent(self):
        self.assertEqual(self.sent_batch(), batch(0.5))

    def test_a_changed_share_is_sent_after_the_period(self):
        self.throttle.update({SUVA: batch(0.6)}, SHARE_UPDATE_PERIOD_MS - 1)
        self.assertEqual(self.sent_batch(), batch(0.5))
        self.throttle.update({SUVA: batch(0.7)}, SHARE_UPDATE_PERIOD_MS)
        self.assertEqual(self.sent_batch(), batch(0.7))

    def test_an_ejection_and_its_end_are_sent_at_once(self):
        self.throttle.update({SUVA: batch(0.0, is_ejected=True)}, 1)
        self.assertEqual(self.sent_batch(), batch(0.0, is_ejected=True))
        self.throttle.update({SUVA: batch(0.1)}, 2)
        self.assertEqual(self.sent_batch(), batch(0.1))

    def test_a_hall_without_verdicts_is_sent_nothing(self):
        self.assertIsNone(self.sent_batch(NADI))
        self.throttle.update({NADI: batch()}, 1)
        self.assertIsNone(self.sent_batch(SUVA))
