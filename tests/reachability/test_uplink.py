"""Detection of the loss of all paths to backend servers."""

import unittest

from cinderway._ids import Address, ServiceName
from cinderway.reachability import Uplink, Uplinks, UplinkState

LOOKUP, SUBMIT = ServiceName("lookup"), ServiceName("submit")
A, B, C = (Address(f"10.0.0.{n}:80") for n in range(3))


class DetectionTests(unittest.TestCase):
    def setUp(self):
        self.changes = []
        self.uplink = Uplink(
            LOOKUP, on_change=lambda change: self.changes.append(change.after)
        )

    def fail(self, *servers):
        for server in servers:
            self.uplink.record_unreachable(server)

    def test_several_servers_in_a_row_cut_an_entry_off(self):
        self.fail(A, B)
        self.assertIs(self.uplink.state, UplinkState.IN_DOUBT)
        self.fail(C)
        self.assertTrue(self.uplink.is_cut_off)
        self.assertEqual(self.changes, [UplinkState.IN_DOUBT, UplinkState.CUT_OFF])

    def test_one_server_that_failed_never_does(self):
        self.fail(A, A, A, A)
        self.assertIs(self.uplink.state, UplinkState.IN_DOUBT)

    def test_a_connection_in_between_starts_the_count_anew(self):
        self.fail(A, B)
        self.uplink.record_connected(5)
        self.fail(C)
        self.assertIs(self.uplink.state, UplinkState.IN_DOUBT)

    def test_one_connection_ends_it(self):
        self.fail(A, B, C)
        self.uplink.record_connected(5)
        self.assertIs(self.uplink.state, UplinkState.CONNECTED)

    def test_with_fewer_servers_all_of_them_must_fail(self):
        self.uplink.server_count = lambda: 2
        self.fail(A)
        self.assertFalse(self.uplink.is_cut_off)
        self.fail(B)
        self.assertTrue(self.uplink.is_cut_off)


class ServicesTests(unittest.TestCase):
    def test_services_are_told_apart(self):
        uplinks = Uplinks()
        for server in (A, B, C):
            uplinks.of(LOOKUP).record_unreachable(server)
        uplinks.of(SUBMIT).record_connected(5)
        cut_off = uplinks.find_in_state(UplinkState.CUT_OFF)
        self.assertEqual([uplink.service for uplink in cut_off], [LOOKUP])
        uplinks.keep_only([SUBMIT])
        self.assertEqual(uplinks.find_in_state(UplinkState.CUT_OFF), [])


class DeferralTests(unittest.TestCase):
    """A failure counts against a server only if the entry reaches others."""

    def setUp(self):
        self.recorded = []
        self.uplink = Uplink(LOOKUP)

    def defer(self, name):
        self.uplink.defer(lambda: self.recorded.append(name))

    def test_a_failure_is_recorded_once_another_server_is_reached(self):
        self.defer("silent")
        self.assertEqual(self.recorded, [])
        self.uplink.record_connected(5)
        self.assertEqual(self.recorded, ["silent"])

    def test_a_late_server_is_recorded_at_once_unless_connections_fail(self):
        self.uplink.record_silence(lambda: self.recorded.append("late"))
        self.assertEqual(self.recorded, ["late"])
        self.assertIs(self.uplink.state, UplinkState.IN_DOUBT)
        self.uplink.record_unreachable(A)
        self.uplink.record_silence(lambda: self.recorded.append("late too"))
        self.assertEqual(self.recorded, ["late"])

    def test_an_answer_settles_a_doubt_unless_connections_fail(self):
        self.defer("silent")
        self.uplink.record_answer()
        self.assertEqual(self.recorded, ["silent"])
        self.uplink.record_unreachable(A)
        self.defer("unreachable")
        self.uplink.record_answer()
        self.assertEqual(self.recorded, ["silent"])

    def test_failures_before_and_during_a_cut_are_dropped(self):
        self.defer("before")
        for server in (A, B, C):
            self.uplink.record_unreachable(server)
        self.defer("during")
        self.uplink.record_connected(5)
        self.assertEqual(self.recorded, [])
