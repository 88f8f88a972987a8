import unittest

from cinderway.judgement import Suspicions
from cinderway.judgement._suspicion import (
    CONTINUED_MS,
    CONTINUES_MS,
    ONCE_MS,
    REPEATABLE_MS,
)


class SuspicionTests(unittest.TestCase):
    def setUp(self):
        self.suspicions = Suspicions()

    def fail(self, now_ms, is_repeatable=False):
        return self.suspicions.note_failure("s", now_ms, is_repeatable=is_repeatable)

    def test_one_failure_makes_a_server_suspect_for_a_burst(self):
        self.assertEqual(self.fail(100), 100 + ONCE_MS)

    def test_it_is_shorter_where_a_failed_request_can_be_sent_again(self):
        self.assertEqual(self.fail(100, is_repeatable=True), 100 + REPEATABLE_MS)
        self.assertLess(REPEATABLE_MS, ONCE_MS)

    def test_failures_of_requests_under_way_do_not_prolong_it(self):
        until_ms = self.fail(0)
        self.assertIsNone(self.fail(until_ms - 1))

    def test_a_failure_soon_after_it_ended_continues_it(self):
        until_ms = self.fail(0)
        self.assertEqual(self.fail(until_ms), until_ms + CONTINUED_MS)

    def test_a_failure_long_after_it_ended_begins_anew(self):
        now_ms = self.fail(0) + CONTINUES_MS
        self.assertEqual(self.fail(now_ms), now_ms + ONCE_MS)

    def test_old_suspicions_are_forgotten(self):
        until_ms = self.fail(0)
        self.suspicions.forget_old(until_ms + CONTINUES_MS)
        self.assertEqual(self.suspicions, Suspicions())
