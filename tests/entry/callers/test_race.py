import unittest

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.entry.callers._race import Hedge, race
from cinderway.entry.callers._relay import WholeAnswer


def failure(step):
    return CinderwayError(ErrorCode.BACKEND_FAILED, "failed", step=step)


def answer(status):
    return WholeAnswer(status, [], b"")


def run_race(*results, is_hedged=True):
    """Race attempts that end with the given results; errors in reverse order."""
    remaining = list(results)

    async def attempt():
        result = remaining.pop(0)
        if isinstance(result, Exception):
            # The last one ends first: the reported error must not depend on the order.
            await anyio.sleep(0.01 * len(remaining))
            raise result
        return result

    async def may_hedge():
        return is_hedged

    async def start():
        now_ms = monotonic_ms()
        return await race(attempt, Hedge(now_ms, now_ms, may_hedge))

    return anyio.run(start)


class RaceTests(unittest.TestCase):
    def test_a_good_answer_wins(self):
        self.assertEqual(run_race(answer(200)).status, 200)

    def test_a_single_failed_attempt_raises_its_error(self):
        for step in (Step.AWAIT_ANSWER, Step.CONNECT):
            with self.assertRaises(CinderwayError) as caught:
                run_race(failure(step), is_hedged=False)
            self.assertIs(caught.exception.step, step)

    def test_the_error_of_an_attempt_that_may_have_run_is_the_one_raised(self):
        for steps in (
            (Step.AWAIT_ANSWER, Step.CONNECT),
            (Step.CONNECT, Step.AWAIT_ANSWER),
        ):
            with self.assertRaises(CinderwayError) as caught:
                run_race(failure(steps[0]), failure(steps[1]))
            self.assertIs(caught.exception.step, Step.AWAIT_ANSWER)

    def test_an_answer_does_not_wait_for_permission_to_hedge(self):
        """Guards against delaying an answer until the replica replies about a hedge."""

        async def attempt():
            await anyio.sleep(0.01)
            return answer(200)

        async def start():
            now_ms = monotonic_ms()
            hedge = Hedge(now_ms, now_ms + 60_000, anyio.sleep_forever)
            with anyio.fail_after(20):
                return await race(attempt, hedge)

        self.assertEqual(anyio.run(start).status, 200)

    def test_a_hedge_that_is_refused_at_first_is_asked_for_again(self):
        refusals = [False, False, True]
        begun = []

        async def attempt():
            begun.append(True)
            if len(begun) == 1:
                await anyio.sleep_forever()
            return answer(200)

        async def may_hedge():
            return refusals.pop(0)

        async def start():
            now_ms = monotonic_ms()
            return await race(attempt, Hedge(now_ms, now_ms + 60_000, may_hedge))

        self.assertEqual(anyio.run(start).status, 200)
        self.assertEqual((len(begun), refusals), (2, []))

    def test_a_refused_hedge_is_not_asked_for_again_after_its_time(self):
        asked = []

        async def attempt():
            await anyio.sleep(0.3)
            return answer(200)

        async def may_hedge():
            asked.append(True)
            return False

        async def start():
            now_ms = monotonic_ms()
            return await race(attempt, Hedge(now_ms, now_ms, may_hedge))

        self.assertEqual(anyio.run(start).status, 200)
        self.assertEqual(asked, [True])
