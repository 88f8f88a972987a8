import unittest

from cinderway.judgement import Bad, Suspicions, suspicion_left
from cinderway.judgement._suspicion import FADES_MS, UNDER_WAY_MS


class SuspicionTests(unittest.TestCase):
    def setUp(self):
        self.suspicions = Suspicions()

    def fail(self, now_ms):
        return self.suspicions.note_alarm("s", Bad.ERROR, now_ms)

    def late(self, now_ms):
        return self.suspicions.note_alarm("s", Bad.OVERDUE, now_ms)

    def miss(self, now_ms):
        return self.suspicions.note_alarm("s", Bad.UNREACHABLE, now_ms)

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
        self.late(0)
        self.assertTrue(self.suspicions.note_late_answer("s"))
        self.assertEqual(self.suspicions, Suspicions())

    def test_late_answer_does_not_excuse_a_failed_request(self):
        self.late(0)
        self.fail(10)
        self.assertFalse(self.suspicions.note_late_answer("s"))

    def test_request_overdue_after_a_failure_is_no_milder(self):
        self.fail(0)
        self.late(UNDER_WAY_MS)
        self.assertFalse(self.suspicions.note_late_answer("s"))

    def test_lateness_long_after_a_failure_stands_alone(self):
        until_ms = self.fail(0)
        self.late(until_ms)
        self.assertTrue(self.suspicions.note_late_answer("s"))

    def test_a_server_out_of_reach_each_time_is_avoided_for_longer_and_longer(self):
        now_ms, lengths = 0, []
        for _ in range(6):
            until_ms = self.miss(now_ms)
            lengths.append((until_ms - now_ms) // FADES_MS)
            now_ms = until_ms
        self.assertEqual(lengths, [1, 2, 4, 8, 8, 8])

    def test_a_good_answer_ends_that(self):
        now_ms = self.miss(0)
        self.suspicions.note_good("s")
        self.assertEqual(self.miss(now_ms), now_ms + FADES_MS)

    def test_several_who_miss_it_at_once_count_as_one(self):
        until_ms = self.miss(0)
        self.miss(1)
        self.assertEqual(self.miss(until_ms), until_ms + 2 * FADES_MS)
