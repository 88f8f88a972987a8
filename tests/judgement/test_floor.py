import unittest

from hypothesis import given, strategies as st

from cinderway.judgement import Capacity, permitted_ejections

CAPACITIES = st.lists(
    st.builds(
        Capacity,
        server=st.uuids().map(str),
        slots=st.integers(1, 8),
        is_available=st.booleans(),
        is_condemned=st.booleans(),
        score=st.floats(0, 50),
    ),
    max_size=20,
)


def healthy_slots(servers, ejected):
    return sum(s.slots for s in servers if s.is_available and s.server not in ejected)


class FloorTest(unittest.TestCase):
    @given(CAPACITIES, st.integers(0, 100))
    def test_ejection_never_takes_healthy_capacity_below_the_floor(
        self, servers, floor_slots
    ):
        ejected = permitted_ejections(servers, floor_slots)
        reachable = min(floor_slots, healthy_slots(servers, frozenset()))
        self.assertGreaterEqual(healthy_slots(servers, ejected), reachable)

    @given(CAPACITIES, st.integers(0, 100))
    def test_only_condemned_servers_are_ejected_and_the_worst_stay_ejected(
        self, servers, floor_slots
    ):
        ejected = permitted_ejections(servers, floor_slots)
        condemned = {s.server for s in servers if s.is_condemned}
        self.assertLessEqual(ejected, condemned)
        out = [s.score for s in servers if s.server in ejected]
        back = [s.score for s in servers if s.server in condemned - ejected]
        if out and back:
            self.assertGreaterEqual(min(out), max(back))

    def test_server_is_reinstated_when_capacity_falls_for_another_reason(self):
        failing = Capacity("a", 4, True, True, 9.0)
        others = [Capacity(n, 4, True, False, 0.0) for n in "bc"]
        self.assertEqual(permitted_ejections([failing, *others], 8), {"a"})
        drained = Capacity("b", 4, False, False, 0.0)
        self.assertEqual(permitted_ejections([failing, drained, others[1]], 8), set())
