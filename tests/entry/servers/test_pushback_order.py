"""Pushback is respected in any order of responses, slow connects and listings."""

import unittest
from dataclasses import dataclass

import anyio
from hypothesis import given, settings, strategies as st

from cinderway._clock import monotonic_ms
from cinderway.experiment._virtual_time import run_in_virtual_time

from ._model_servers import ANSWER_DELAY_S, OK, build_shed_answer
from .test_pushback import IN_FLIGHT_MS, LEAVING, World

NAMES = ("one", "two", "three")
LENGTH_MS = 6_000
# The longest time between choosing a server and writing the request.
SLOWEST_CONNECT_MS = 900


@dataclass(frozen=True)
class Step:
    """A request after a pause, with a delay for its connection."""

    pause_ms: int
    connect_ms: int
    # The pushback in the response: a backoff unless 0, or leaving.
    backoff_ms: int
    is_leaving: bool
    is_listed_again: bool


STEPS = st.lists(
    st.builds(
        Step,
        pause_ms=st.integers(0, 300),
        connect_ms=st.sampled_from([0, 1, 200, 600, SLOWEST_CONNECT_MS]),
        backoff_ms=st.sampled_from([0, 0, 0, 700, 3_000]),
        is_leaving=st.integers(0, 9).map(lambda draw: draw == 0),
        is_listed_again=st.integers(0, 9).map(lambda draw: draw == 0),
    ),
    max_size=30,
)


class _ScriptedWorld(World):
    """Runs steps; records the pushback of servers by their own clock."""

    def __init__(self):
        super().__init__(self._answer_of, names=NAMES)
        self.pushback_log = []
        self.next_step = None

    def _answer_of(self, name):
        step = self.next_step
        if step.is_leaving:
            self.pushback_log.append((name, monotonic_ms(), 10 * LENGTH_MS))
            return OK, LEAVING
        if step.backoff_ms:
            self.pushback_log.append((name, monotonic_ms(), step.backoff_ms))
            return build_shed_answer(b"%.3f" % (step.backoff_ms / 1000))
        return OK, []

    async def run(self, steps):
        async with anyio.create_task_group() as tasks:
            for step in steps:
                await anyio.sleep(step.pause_ms / 1000)
                self.next_step = step
                if step.is_listed_again:
                    self.refresh(is_there=False)
                    self.refresh()
                self.connections.connect_ms = step.connect_ms
                tasks.start_soon(self.ask)
        return self

    def find_violations(self):
        """Return the arrivals at servers during their backoff or leaving."""
        return [
            (name, at_ms - received_at_ms)
            for name, received_at_ms, for_ms in self.pushback_log
            for at_ms in self.connections.arrivals_at(name)
            if IN_FLIGHT_MS < at_ms - received_at_ms < for_ms
        ]


class AnyOrderTests(unittest.TestCase):
    @settings(deadline=None)
    @given(STEPS)
    def test_no_request_reaches_a_server_during_its_pushback(self, steps):
        async def play():
            return await _ScriptedWorld().run(steps)

        self.assertEqual(run_in_virtual_time(play).find_violations(), [])

    def test_responses_arrive_well_before_the_in_flight_allowance_ends(self):
        self.assertLess(ANSWER_DELAY_S * 1000, IN_FLIGHT_MS)
