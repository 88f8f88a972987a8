import math
import unittest

from cinderway.judgement import EvidenceLog, FailureKind, Pace
from cinderway.judgement._evidence import PIECE_BYTES, SLOW_FACTOR

KEY = ("maps", "m1")


class EvidenceTest(unittest.TestCase):
    def setUp(self):
        self.log = EvidenceLog()
        self.log.set_pace("maps", Pace.from_normal(50.0))
        self.attempt = self.log.start_attempt("maps", "m1", 0)

    def counts(self):
        return self.log.pop_counts()[KEY]

    def test_request_in_flight_for_too_long_counts_before_any_timeout(self):
        slow_after_ms = round(50.0 * SLOW_FACTOR)
        self.log.record_overdue(slow_after_ms - 1)
        self.assertEqual(self.log.pop_counts(), {})
        self.log.record_overdue(slow_after_ms)
        self.assertEqual(self.counts().bad, {FailureKind.OVERDUE: 1})

    def test_late_answer_is_not_counted_bad_twice(self):
        self.log.record_overdue(300)
        self.log.record_first_byte(self.attempt, 200, 400)
        counts = self.counts()
        self.assertEqual((counts.good, counts.bad_total), (0, 1))

    def test_download_is_judged_by_progress_and_not_by_length(self):
        self.log.record_first_byte(self.attempt, 200, 20)
        for piece in range(1, 50):
            self.log.record_overdue(20 + piece * 100)
            self.log.record_progress(self.attempt, PIECE_BYTES, 20 + piece * 100)
        counts = self.counts()
        self.assertEqual((counts.good, counts.bad_total), (50, 0))

    def test_stalled_download_is_overdue(self):
        self.log.record_first_byte(self.attempt, 200, 20)
        self.log.record_progress(self.attempt, PIECE_BYTES // 2, 100)
        self.log.record_overdue(400)
        self.assertEqual(self.counts().bad, {FailureKind.OVERDUE: 1})

    def test_caller_that_reads_slowly_does_not_make_the_server_look_slow(self):
        self.log.record_first_byte(self.attempt, 200, 20)
        self.log.exclude_blocked_time(self.attempt, 5_000)
        self.log.record_overdue(5_100)
        self.assertEqual(self.counts().bad_total, 0)

    def test_shed_request_is_no_observation(self):
        self.log.end_attempt(self.attempt)
        self.assertEqual(self.log.pop_counts(), {})

    def test_stuck_request_counts_three_times_at_most(self):
        for now_ms in range(0, 60_000, 100):
            self.log.record_overdue(now_ms)
        self.assertEqual(self.counts().bad_total, 3)

    def test_pace_is_estimated_from_the_objective_until_it_is_known(self):
        log = EvidenceLog()
        log.set_objectives({"maps": 600, "none": 0})
        self.assertEqual(log.pace("maps"), Pace.from_objective(600))
        self.assertEqual(log.pace("none"), EvidenceLog().pace("none"))

    def test_time_until_late_is_below_the_objective_even_at_full_load(self):
        self.log.set_objectives({"maps": 600})
        self.log.set_pace("maps", Pace(usual_ms=300, slow_ms=700, late_ms=900))
        late_ms = Pace.from_objective(600).late_ms
        self.assertEqual(self.log.late_after_ms("maps"), late_ms)
        self.assertLess(late_ms, 600)
        self.assertEqual(self.log.pace("maps").usual_ms, 300)

    def test_next_late_time_is_that_of_the_oldest_request(self):
        self.assertEqual(EvidenceLog().next_late_at_ms(), math.inf)
        self.log.start_attempt("maps", "m2", 40)
        self.assertEqual(self.log.next_late_at_ms(), self.log.late_after_ms("maps"))

    def test_late_answer_is_reported_at_once(self):
        servers = []
        self.log.on_late_answer = servers.append
        self.log.record_overdue(300)
        self.log.pop_counts()
        self.log.record_first_byte(self.attempt, 200, 400)
        self.assertEqual(servers, ["m1"])
        self.assertTrue(self.log.has_urgent_evidence)
        self.assertEqual(self.counts().late_answers, 1)

    def test_answer_times_are_reported_except_for_errors(self):
        self.log.record_first_byte(self.attempt, 200, 70)
        failing = self.log.start_attempt("maps", "m1", 0)
        self.log.record_first_byte(failing, 500, 5)
        self.assertEqual(self.counts().answer_times_ms, [70])
