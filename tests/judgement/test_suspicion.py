import unittest

from cinderway.judgement import Suspicions, suspicion_left
from cinderway.judgement._suspicion import FADES_MS, UNDER_WAY_MS


class SuspicionTests(unittest.TestCase):
    def setUp(self):
        self.suspicions = Suspicions()

    def fail(self, now_ms):
        return self.suspicions.note_failure("s", now_ms)

    def test_one_failure_makes_a_server_suspect_for_a_bursts_length(self):
        self.assertEqual(self.fail(100), 100 + FADES_MS)

    def test_suspicion_fades_from_one_to_nothing(self):
        until_ms = self.fail(0)
        left = [suspicion_left(until_ms, ms) for ms in range(0, until_ms + 100, 100)]
        self.assertEqual((left[0], left[-1]), (1.0, 0.0))
        self.assertEqual(left, sorted(left, reverse=True))
        self.assertAlmostEqual(suspicion_left(until_ms, until_ms // 2), 0.5)

    def test_failures_of_requests_under_way_do_not_renew_it(self):
        self.fail(0)
        self.assertIsNone(self.fail(UNDER_WAY_MS - 1))

    def test_a_later_failure_renews_it_whole(self):
        self.fail(0)
        self.assertEqual(self.fail(UNDER_WAY_MS), UNDER_WAY_MS + FADES_MS)

    def test_a_failure_long_after_it_ended_begins_anew(self):
        now_ms = self.fail(0) + 10_000
        self.assertEqual(self.fail(now_ms), now_ms + FADES_MS)

    def test_old_suspicions_are_forgotten(self):
        until_ms = self.fail(0)
        self.suspicions.forget_old(until_ms - 1)
        self.assertNotEqual(self.suspicions, Suspicions())
        self.suspicions.forget_old(until_ms)
        self.assertEqual(self.suspicions, Suspicions())

    def test_late_answer_ends_the_suspicion_that_lateness_raised(self):
        self.suspicions.note_failure("s", 0, is_overdue=True)
        self.assertTrue(self.suspicions.note_late_answer("s"))
        self.assertEqual(self.suspicions, Suspicions())

    def test_late_answer_does_not_excuse_a_failed_request(self):
        self.suspicions.note_failure("s", 0, is_overdue=True)
        self.fail(10)
        self.assertFalse(self.suspicions.note_late_answer("s"))

    def test_request_overdue_after_a_failure_is_no_milder(self):
        self.fail(0)
        self.suspicions.note_failure("s", UNDER_WAY_MS, is_overdue=True)
        self.assertFalse(self.suspicions.note_late_answer("s"))

    def test_lateness_long_after_a_failure_stands_alone(self):
        until_ms = self.fail(0)
        self.suspicions.note_failure("s", until_ms, is_overdue=True)
        self.assertTrue(self.suspicions.note_late_answer("s"))
