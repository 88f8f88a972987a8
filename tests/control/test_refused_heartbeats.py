import unittest

from cinderway._ids import ServerName
from cinderway.control._refused_heartbeats import (
    MAX_REMEMBERED_SERVERS,
    RefusedHeartbeats,
)


class RefusedHeartbeatsTests(unittest.TestCase):
    def setUp(self):
        self.refused = RefusedHeartbeats()

    def test_a_reason_is_new_once_for_each_server(self):
        for server in ("i-1", "i-2"):
            self.assertTrue(self.refused.record_refusal(ServerName(server), "no slots"))
            self.assertFalse(
                self.refused.record_refusal(ServerName(server), "no slots")
            )
        self.assertEqual(self.refused.count, 4)

    def test_a_different_reason_is_new(self):
        self.refused.record_refusal(ServerName("i-1"), "no slots")
        self.assertTrue(self.refused.record_refusal(ServerName("i-1"), "no address"))

    def test_the_number_of_remembered_servers_is_bounded(self):
        for number in range(3 * MAX_REMEMBERED_SERVERS):
            self.refused.record_refusal(ServerName(f"i-{number}"), "no slots")
        self.assertEqual(len(self.refused._last_reasons), MAX_REMEMBERED_SERVERS)
