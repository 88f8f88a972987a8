import unittest

from cinderway.judgement import doubt_left
from cinderway.judgement._doubt import UNTRIED_MS


class DoubtTests(unittest.TestCase):
    def test_none_just_after_a_good_answer(self):
        self.assertEqual(doubt_left(proven_at_ms=500, tried_at_ms=500, now_ms=500), 0.0)

    def test_grows_up_to_one_while_requests_go_there_unanswered(self):
        found = [doubt_left(0, now_ms, now_ms) for now_ms in range(0, 20_000, 100)]
        self.assertEqual(found, sorted(found))
        self.assertGreater(found[-1], 0.99)
        self.assertLessEqual(found[-1], 1.0)

    def test_ends_when_nobody_has_tried_the_server_for_long(self):
        self.assertGreater(doubt_left(0, 0, UNTRIED_MS - 1), 0.5)
        self.assertEqual(doubt_left(0, 0, UNTRIED_MS), 0.0)
