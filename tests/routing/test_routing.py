import random
import unittest

from hypothesis import given, strategies as st

from cinderway.routing import (
    LOAD_FADES_MS,
    Candidate,
    Penalties,
    RouteTable,
    choose,
    faded_load,
    own_subset,
)
from cinderway.table import ServiceRow


def service(name, routes, run_once=()):
    return ServiceRow(
        name=name, routes=frozenset(routes), run_once_routes=frozenset(run_once)
    )


def candidate(
    name, hall="suva", in_flight=0, weight=100, share=1.0, load=0.0, suspicion=0.0
):
    return Candidate(name, hall, weight, 4, in_flight, load, share, suspicion)


class RouteTest(unittest.TestCase):
    def setUp(self):
        services = [
            service("lookup", ["/lookup"]),
            service("payouts", ["/lookup/payouts"], ["POST:/lookup/payouts"]),
        ]
        self.routes = RouteTable(services)

    def name_of(self, path, method="GET"):
        match = self.routes.match(method, path)
        return match.service.name if match else None

    def test_longest_prefix_wins(self):
        self.assertEqual(self.name_of("/lookup/payouts/7"), "payouts")
        self.assertEqual(self.name_of("/lookup/accounts/7"), "lookup")

    def test_prefix_matches_whole_segments_only(self):
        self.assertIsNone(self.name_of("/lookups"))
        self.assertEqual(self.name_of("/lookup/payoutsx"), "lookup")

    def test_run_once_depends_on_the_method(self):
        self.assertTrue(self.routes.match("POST", "/lookup/payouts/7").is_run_once)
        self.assertFalse(self.routes.match("GET", "/lookup/payouts/7").is_run_once)


class ChooseTest(unittest.TestCase):
    def choose(self, *candidates, exclude=()):
        chosen = choose(candidates, "suva", random.Random(1), exclude)
        return chosen.name if chosen else None

    def test_least_loaded_server_is_chosen(self):
        self.assertEqual(self.choose(candidate("a", in_flight=2), candidate("b")), "b")

    def test_own_hall_goes_before_another_at_equal_load(self):
        self.assertEqual(self.choose(candidate("a", "nadi"), candidate("b")), "b")

    def test_loaded_own_hall_gives_way_to_an_idle_one_elsewhere(self):
        loaded = candidate("b", in_flight=3)
        self.assertEqual(self.choose(candidate("a", "nadi"), loaded), "a")

    def test_server_on_trial_gets_less(self):
        self.assertEqual(self.choose(candidate("a", share=0.1), candidate("b")), "b")

    def test_a_suspect_gets_work_only_where_the_others_are_much_fuller(self):
        suspect = candidate("a", suspicion=1.0)
        self.assertEqual(self.choose(suspect, candidate("b", load=1.0)), "b")
        self.assertEqual(self.choose(suspect, candidate("b", load=2.0)), "a")

    def test_a_suspicion_that_fades_counts_for_less(self):
        full = candidate("b", load=1.0)
        self.assertEqual(self.choose(candidate("a", suspicion=0.9), full), "b")
        self.assertEqual(self.choose(candidate("a", suspicion=0.1), full), "a")

    def test_a_request_that_cannot_be_sent_again_waits_longer_for_another(self):
        servers = (candidate("a", suspicion=1.0), candidate("b", load=1.75))
        rng = random.Random(1)
        self.assertEqual(choose(servers, "suva", rng).name, "a")
        chosen = choose(servers, "suva", rng, penalties=Penalties(suspect=2.0))
        self.assertEqual(chosen.name, "b")

    def test_a_large_answer_crosses_halls_only_from_a_much_fuller_server(self):
        servers = (candidate("a", "nadi"), candidate("b", load=1.5))
        rng = random.Random(1)
        small, large = Penalties(other_hall=0.7), Penalties(other_hall=2.0)
        self.assertEqual(choose(servers, "suva", rng, penalties=small).name, "a")
        self.assertEqual(choose(servers, "suva", rng, penalties=large).name, "b")

    def test_excluded_server_is_not_chosen(self):
        self.assertIsNone(self.choose(candidate("a"), exclude={"a"}))


class LoadTest(unittest.TestCase):
    @given(st.floats(0, 10), st.integers(-50, 5_000), st.integers(0, 1_000))
    def test_a_known_load_only_ever_fades_and_is_gone_in_the_end(
        self, load, age_ms, later_ms
    ):
        first, second = faded_load(load, age_ms), faded_load(load, age_ms + later_ms)
        self.assertLessEqual(second, first)
        self.assertTrue(0 <= first <= load)
        self.assertEqual(faded_load(load, LOAD_FADES_MS), 0)


class SubsetTest(unittest.TestCase):
    @given(st.integers(1, 30), st.integers(2, 40))
    def test_server_that_goes_moves_only_its_own_share(self, size, count):
        servers = [f"s{n}" for n in range(count)]
        before = own_subset("e1", servers, size)
        after = own_subset("e1", servers[1:], size)
        self.assertEqual(before - {"s0"} <= after, True)
        self.assertLessEqual(len(after - before), 1)
