"""Whatever the order of answers, slow connections and listings: rests are kept."""

import unittest
from dataclasses import dataclass

import anyio
from hypothesis import given, settings, strategies as st

from cinderway._clock import monotonic_ms
from cinderway.experiment._virtual_time import run_in_virtual_time

from ._model_servers import ANSWERS_AFTER_S, OK, turned_away
from .test_pushback import LEAVING, UNDER_WAY_MS, World

NAMES = ("one", "two", "three")
LENGTH_MS = 6_000
# A request chosen before a server spoke may be on its way for as long.
SLOWEST_CONNECT_MS = 900


@dataclass(frozen=True)
class Step:
    """A request after a pause, over a connection that takes its time."""

    pause_ms: int
    connect_ms: int
    # What the server will say to it: nothing, for how long to rest, or that it leaves.
    rest_ms: int
    leaves: bool
    is_listed_anew: bool


STEPS = st.lists(
    st.builds(
        Step,
        pause_ms=st.integers(0, 300),
        connect_ms=st.sampled_from([0, 1, 200, 600, SLOWEST_CONNECT_MS]),
        rest_ms=st.sampled_from([0, 0, 0, 700, 3_000]),
        leaves=st.integers(0, 9).map(lambda draw: draw == 0),
        is_listed_anew=st.integers(0, 9).map(lambda draw: draw == 0),
    ),
    max_size=30,
)


class _Played(World):
    """Plays steps; notes when servers asked for what, by their own clock."""

    def __init__(self):
        super().__init__(self._answer_of, names=NAMES)
        self.said = []
        self.next_step = None

    def _answer_of(self, name):
        step = self.next_step
        if step.leaves:
            self.said.append((name, monotonic_ms(), 10 * LENGTH_MS))
            return OK, LEAVING
        if step.rest_ms:
            self.said.append((name, monotonic_ms(), step.rest_ms))
            return turned_away(b"%.3f" % (step.rest_ms / 1000))
        return OK, []

    async def run(self, steps):
        async with anyio.create_task_group() as tasks:
            for step in steps:
                await anyio.sleep(step.pause_ms / 1000)
                self.next_step = step
                if step.is_listed_anew:
                    self.refresh(is_there=False)
                    self.refresh()
                self.connections.connect_ms = step.connect_ms
                tasks.start_soon(self.ask)
        return self

    def broken(self):
        """Return the arrivals in a time in which the server wanted none."""
        return [
            (name, at_ms - said_at_ms)
            for name, said_at_ms, for_ms in self.said
            for at_ms in self.connections.arrivals_at(name)
            if UNDER_WAY_MS < at_ms - said_at_ms < for_ms
        ]


class AnyOrderTests(unittest.TestCase):
    @settings(deadline=None)
    @given(STEPS)
    def test_no_request_reaches_a_server_that_wants_none(self, steps):
        async def play():
            return await _Played().run(steps)

        self.assertEqual(run_in_virtual_time(play).broken(), [])

    def test_the_word_is_known_well_before_requests_on_the_way_count(self):
        self.assertLess(ANSWERS_AFTER_S * 1000, UNDER_WAY_MS)
