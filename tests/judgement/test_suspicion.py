import unittest

from cinderway.judgement import Suspicions
from cinderway.judgement._suspicion import CONTINUES_MS, FIRST_MS, LONGEST_MS


class SuspicionTests(unittest.TestCase):
    def setUp(self):
        self.suspicions = Suspicions()

    def test_one_failure_makes_a_server_suspect_for_a_burst(self):
        self.assertEqual(self.suspicions.note_failure("s", 100), 100 + FIRST_MS)

    def test_failures_of_requests_under_way_do_not_prolong_it(self):
        until_ms = self.suspicions.note_failure("s", 0)
        self.assertEqual(self.suspicions.note_failure("s", until_ms - 1), until_ms)

    def test_a_failure_soon_after_it_ended_doubles_it_up_to_a_limit(self):
        now_ms, lengths_ms = 0, []
        for _ in range(5):
            until_ms = self.suspicions.note_failure("s", now_ms)
            lengths_ms.append(until_ms - now_ms)
            now_ms = until_ms + 1
        self.assertEqual(lengths_ms[:2], [FIRST_MS, 2 * FIRST_MS])
        self.assertEqual(lengths_ms[-1], LONGEST_MS)

    def test_a_failure_long_after_it_ended_begins_anew(self):
        until_ms = self.suspicions.note_failure("s", 0)
        now_ms = until_ms + CONTINUES_MS
        self.assertEqual(self.suspicions.note_failure("s", now_ms), now_ms + FIRST_MS)

    def test_only_suspicions_that_began_since_are_news(self):
        self.suspicions.note_failure("old", 0)
        self.suspicions.note_failure("new", 500)
        news = self.suspicions.began_since(400, 600)
        self.assertEqual(news, {"new": FIRST_MS - 100})
