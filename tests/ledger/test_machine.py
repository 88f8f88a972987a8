"""Of all attempts on one name, a second is granted only if the first did not run."""

import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from cinderway.ledger import (
    Claim,
    ClaimName,
    Finish,
    LedgerMachine,
    Resolution,
    Ruling,
    Settle,
    StoredAnswer,
)
from cinderway.ledger._conversation import Abandon
from cinderway.ledger._machine import TOMBSTONE_RETENTION_MS, Command

NAME = ClaimName("payouts", "ana", "key-1")
RUN_MS = 1_000
RETENTION_MS = 60_000


class Driver:
    """A machine with a clock; each call commits one command."""

    def __init__(self):
        self.machine = LedgerMachine()
        self.now_ms = 0

    def commit(self, **request):
        command = Command(self.now_ms, **request)
        return self.machine.apply(1, command.encode())

    def claim(self, attempt, fingerprint=b"f", name=NAME):
        claim = Claim(name, fingerprint, attempt, "entry", RUN_MS, RETENTION_MS)
        return self.commit(claim=claim).ruling

    def finish(self, attempt, resolution, answer=None):
        self.commit(finish=Finish(NAME, attempt, resolution, answer or StoredAnswer()))

    def abandon(self, attempt):
        self.commit(abandon=Abandon(NAME, attempt))

    def settle(self, resolution):
        self.commit(settle=Settle(NAME, resolution))


class ClaimTest(unittest.TestCase):
    def setUp(self):
        self.driver = Driver()

    def test_second_attempt_is_answered_that_the_first_is_running(self):
        self.assertIs(self.driver.claim("a"), Ruling.GRANTED)
        self.assertIs(self.driver.claim("b"), Ruling.RUNNING)

    def test_same_claim_sent_again_is_granted_again(self):
        self.driver.claim("a")
        self.assertIs(self.driver.claim("a"), Ruling.GRANTED)

    def test_resend_after_the_run_gets_the_stored_answer(self):
        self.driver.claim("a")
        kept = StoredAnswer(True, 201, [], b"paid")
        self.driver.finish("a", Resolution.RAN, kept)
        self.assertIs(self.driver.claim("b"), Ruling.RAN)
        ruling = self.driver.machine.get_ruling(NAME, 0)
        self.assertEqual(ruling.answer, kept)

    def test_same_key_with_another_body_is_refused(self):
        self.driver.claim("a")
        self.assertIs(self.driver.claim("b", b"other"), Ruling.KEY_REUSED)

    def test_claim_that_arrives_after_its_attempt_was_abandoned_is_refused(self):
        self.driver.abandon("a")
        self.assertIs(self.driver.claim("a"), Ruling.ATTEMPT_ABANDONED)
        self.assertIs(self.driver.claim("b"), Ruling.GRANTED)

    def test_abandoning_a_granted_claim_lets_the_next_attempt_run(self):
        self.driver.claim("a")
        self.driver.abandon("a")
        self.assertIs(self.driver.claim("b"), Ruling.GRANTED)

    def test_late_copy_of_a_claim_that_did_not_run_does_not_block_the_name(self):
        self.driver.claim("a")
        self.driver.finish("a", Resolution.NOT_RUN)
        self.assertIs(self.driver.claim("a"), Ruling.ATTEMPT_ABANDONED)
        self.assertIs(self.driver.claim("b"), Ruling.GRANTED)

    def test_claim_whose_entry_died_becomes_in_doubt_until_an_operator_settles_it(self):
        self.driver.claim("a")
        self.driver.now_ms = RUN_MS
        self.assertIs(self.driver.claim("b"), Ruling.IN_DOUBT)
        self.assertEqual(len(self.driver.machine.find_claims_in_doubt(RUN_MS, 10)), 1)
        self.driver.settle(Resolution.NOT_RUN)
        self.assertIs(self.driver.claim("b"), Ruling.GRANTED)

    def test_claim_in_doubt_is_never_removed(self):
        self.driver.claim("a")
        self.driver.now_ms = 100 * (RETENTION_MS + TOMBSTONE_RETENTION_MS)
        self.assertIs(self.driver.claim("b"), Ruling.IN_DOUBT)

    def test_running_claim_cannot_be_settled(self):
        self.driver.claim("a")
        self.driver.settle(Resolution.NOT_RUN)
        self.assertIs(self.driver.claim("b"), Ruling.RUNNING)

    def test_recorded_run_is_removed_after_its_retention(self):
        self.driver.claim("a")
        self.driver.finish("a", Resolution.RAN)
        self.driver.now_ms = RUN_MS + RETENTION_MS
        self.driver.claim("b", name=ClaimName("payouts", "ana", "other"))
        self.assertEqual(len(self.driver.machine), 1)

    def test_snapshot_shows_the_state_when_it_was_started(self):
        self.driver.claim("a")
        encode = self.driver.machine.capture_snapshot()
        self.driver.finish("a", Resolution.RAN)
        restored = LedgerMachine()
        restored.restore(encode())
        self.assertIs(restored.get_ruling(NAME, 0).ruling, Ruling.RUNNING)

    def test_time_never_goes_back(self):
        self.driver.claim("a")
        self.driver.now_ms = RUN_MS
        self.driver.claim("b")
        self.driver.now_ms = 0
        self.assertIs(self.driver.claim("c"), Ruling.IN_DOUBT)


class AttemptsModel(RuleBasedStateMachine):
    """Entries that claim, run, crash and resend, with a ledger that restarts.

    Every message may be lost, delayed or duplicated. `runs` counts the runs at the
    backend server: more than one would be, for instance, a payment made twice.
    """

    @initialize()
    def start(self):
        self.driver = Driver()
        self.attempts = 0
        self.sent = []
        self.granted = set()
        self.not_dispatchable = set()
        self.runs = 0

    @rule()
    def start_attempt(self):
        self.attempts += 1
        attempt = f"t{self.attempts}"
        self.sent.append(("claim", attempt, None))

    @rule(
        position=st.integers(0, 50), twice=st.booleans(), answer_arrives=st.booleans()
    )
    def deliver(self, position, twice, answer_arrives):
        if not self.sent:
            return
        sent = self.sent.pop(position % len(self.sent))
        if twice:
            self.sent.append(sent)
        kind, attempt, resolution = sent
        match kind:
            case "claim":
                ruling = self.driver.claim(attempt)
                if ruling is Ruling.GRANTED and answer_arrives:
                    self.granted.add(attempt)
            case "abandon":
                self.driver.abandon(attempt)
            case "finish":
                self.driver.finish(attempt, resolution)

    @rule(ran=st.booleans(), is_recorded=st.booleans())
    def dispatch(self, ran, is_recorded):
        ready = sorted(self.granted - self.not_dispatchable)
        if not ready:
            return
        attempt = ready[0]
        self.not_dispatchable.add(attempt)
        self.runs += ran
        resolution = Resolution.RAN if ran else Resolution.NOT_RUN
        if is_recorded:
            self.sent.append(("finish", attempt, resolution))
        assert self.runs <= 1, "a run-once request ran twice"

    @rule(number=st.integers(1, 50))
    def give_up(self, number):
        attempt = f"t{number}"
        if number <= self.attempts and attempt not in self.granted:
            self.not_dispatchable.add(attempt)
            self.sent.append(("abandon", attempt, None))

    @rule(ms=st.sampled_from([10, RUN_MS, RETENTION_MS // 2]))
    def pass_time(self, ms):
        """Advance by less than the retention in all; a removed claim may run again."""
        self.driver.now_ms = min(self.driver.now_ms + ms, RETENTION_MS // 2)

    @rule()
    def restart(self):
        snapshot = self.driver.machine.snapshot()
        self.driver.machine = LedgerMachine()
        self.driver.machine.restore(snapshot)


class AttemptsTest(unittest.TestCase):
    def test_request_never_runs_twice_with_lost_late_or_duplicate_messages(self):
        run_state_machine_as_test(
            AttemptsModel, settings=settings(max_examples=300, stateful_step_count=50)
        )
