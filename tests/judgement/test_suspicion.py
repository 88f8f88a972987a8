import unittest

from cinderway.judgement import FailureKind, Suspicions, suspicion_left
from cinderway.judgement._suspicion import IN_FLIGHT_MS, SUSPICION_MS


class SuspicionTests(unittest.TestCase):
    def setUp(self):
        self.suspicions = Suspicions()

    def fail(self, now_ms):
        return self.suspicions.record_alarm("s", FailureKind.ERROR, now_ms)

    def overdue(self, now_ms):
        return self.suspicions.record_alarm("s", FailureKind.OVERDUE, now_ms)

    def unreachable(self, now_ms):
        return self.suspicions.record_alarm("s", FailureKind.UNREACHABLE, now_ms)

    def test_one_failure_makes_a_server_suspect_for_a_bursts_length(self):
        self.assertEqual(self.fail(100), 100 + SUSPICION_MS)

    def test_suspicion_fades_from_one_to_nothing(self):
        until_ms = self.fail(0)
        left = [suspicion_left(until_ms, ms) for ms in range(0, until_ms + 100, 100)]
        self.assertEqual((left[0], left[-1]), (1.0, 0.0))
        self.assertEqual(left, sorted(left, reverse=True))
        self.assertAlmostEqual(suspicion_left(until_ms, until_ms // 2), 0.5)

    def test_failures_of_requests_in_flight_do_not_renew_it(self):
        self.fail(0)
        self.assertIsNone(self.fail(IN_FLIGHT_MS - 1))

    def test_a_later_failure_renews_it_fully(self):
        self.fail(0)
        self.assertEqual(self.fail(IN_FLIGHT_MS), IN_FLIGHT_MS + SUSPICION_MS)

    def test_a_failure_long_after_it_ended_begins_anew(self):
        now_ms = self.fail(0) + 10_000
        self.assertEqual(self.fail(now_ms), now_ms + SUSPICION_MS)

    def test_expired_suspicions_are_dropped(self):
        until_ms = self.fail(0)
        self.suspicions.drop_expired(until_ms - 1)
        self.assertNotEqual(self.suspicions, Suspicions())
        self.suspicions.drop_expired(until_ms)
        self.assertEqual(self.suspicions, Suspicions())

    def test_late_answer_ends_a_suspicion_due_to_an_overdue_request(self):
        self.overdue(0)
        self.assertTrue(self.suspicions.record_late_answer("s"))
        self.assertEqual(self.suspicions, Suspicions())

    def test_late_answer_does_not_end_a_suspicion_due_to_a_failed_request(self):
        self.overdue(0)
        self.fail(10)
        self.assertFalse(self.suspicions.record_late_answer("s"))

    def test_late_answer_does_not_end_a_suspicion_that_began_with_a_failure(self):
        self.fail(0)
        self.overdue(IN_FLIGHT_MS)
        self.assertFalse(self.suspicions.record_late_answer("s"))

    def test_late_answer_ends_a_suspicion_that_began_after_a_failures_expired(self):
        until_ms = self.fail(0)
        self.overdue(until_ms)
        self.assertTrue(self.suspicions.record_late_answer("s"))

    def test_repeatedly_unreachable_server_is_avoided_for_longer_each_time(self):
        now_ms, lengths = 0, []
        for _ in range(6):
            until_ms = self.unreachable(now_ms)
            lengths.append((until_ms - now_ms) // SUSPICION_MS)
            now_ms = until_ms
        self.assertEqual(lengths, [1, 2, 4, 8, 8, 8])

    def test_good_answer_resets_the_time_for_an_unreachable_server(self):
        now_ms = self.unreachable(0)
        self.suspicions.record_good("s")
        self.assertEqual(self.unreachable(now_ms), now_ms + SUSPICION_MS)

    def test_simultaneous_connection_failures_count_as_one(self):
        until_ms = self.unreachable(0)
        self.unreachable(1)
        self.assertEqual(self.unreachable(until_ms), until_ms + 2 * SUSPICION_MS)
