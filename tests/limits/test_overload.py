import unittest

from hypothesis import given, strategies as st

from cinderway.limits import compute_expected_latency_ms, is_queue_too_long

USUAL_MS = 300


class OverloadTests(unittest.TestCase):
    def is_queue_too_long(
        self, load, now_ms=0, objective_at_ms=1_400, deadline_ms=3_000
    ):
        return is_queue_too_long(load, USUAL_MS, now_ms, objective_at_ms, deadline_ms)

    def test_a_server_with_a_free_slot_has_its_usual_latency(self):
        self.assertEqual(compute_expected_latency_ms(0.4, USUAL_MS), USUAL_MS)

    def test_latency_grows_in_proportion_to_load_above_one(self):
        self.assertEqual(compute_expected_latency_ms(3.0, USUAL_MS), 3 * USUAL_MS)

    def test_a_queue_within_the_objective_is_accepted(self):
        self.assertFalse(self.is_queue_too_long(4.6))
        self.assertTrue(self.is_queue_too_long(4.7))

    def test_a_late_answer_is_better_than_none(self):
        self.assertFalse(self.is_queue_too_long(4.7, now_ms=1_200))
        self.assertTrue(self.is_queue_too_long(6.1, now_ms=1_200))

    @given(st.floats(0, 1), st.integers(0, 5_000), st.integers(0, 5_000))
    def test_a_free_slot_never_rejects_a_request(self, load, now_ms, until_ms):
        self.assertFalse(is_queue_too_long(load, USUAL_MS, now_ms, until_ms, until_ms))
