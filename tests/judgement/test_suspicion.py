import unittest

from cinderway.judgement import Suspicions
from cinderway.judgement._suspicion import (
    CONTINUED_MS,
    CONTINUES_MS,
    FIRST_MS,
)


class SuspicionTests(unittest.TestCase):
    def setUp(self):
        self.suspicions = Suspicions()

    def fail(self, now_ms):
        return self.suspicions.note_failure("s", now_ms)

    def test_one_failure_makes_a_server_suspect_for_a_moment(self):
        self.assertEqual(self.fail(100), 100 + FIRST_MS)

    def test_failures_of_requests_under_way_do_not_prolong_it(self):
        until_ms = self.fail(0)
        self.assertIsNone(self.fail(until_ms - 1))

    def test_a_failure_soon_after_it_ended_continues_it_for_a_burst(self):
        until_ms = self.fail(0)
        self.assertEqual(self.fail(until_ms), until_ms + CONTINUED_MS)

    def test_a_failure_long_after_it_ended_begins_anew(self):
        now_ms = self.fail(0) + CONTINUES_MS
        self.assertEqual(self.fail(now_ms), now_ms + FIRST_MS)

    def test_old_suspicions_are_forgotten(self):
        until_ms = self.fail(0)
        self.suspicions.forget_old(until_ms + CONTINUES_MS)
        self.assertEqual(self.suspicions, Suspicions())
