"""Compares callers' results under difficult loads with and without a mechanism.

Each test simulates the same seeds twice, with one mechanism of the proxy enabled and
disabled. It fails if disabling the mechanism does not make the results clearly worse.
"""

import unittest
from dataclasses import replace
from unittest.mock import patch

from msgspec.structs import replace as replace_field

from cinderway._ids import DataHall
from cinderway.catalog import RouteKind
from cinderway.control import _hall_gossip
from cinderway.entry._blackboard import ServerState
from cinderway.entry.callers import _route_policies
from cinderway.entry.servers import _slots
from cinderway.experiment import Outcome, by_route, play
from cinderway.experiment._declaration import Fault, FaultKind
from cinderway.routing import _choose

from ._declared import HANGING_BURSTS, USERS_BURSTS, experiment, route, service

SEEDS = (1, 2, 3, 4)
NO_SAMPLE = 1_000
NEVER_S = 1_000_000


def result_of(declared, seeds=SEEDS):
    return by_route([play(declared, seed) for seed in seeds])[0]


def missed_share(result):
    return 1 - result.share(Outcome.IN_TIME)


def failed_share(declared):
    return result_of(declared).share(Outcome.FAILED)


class ManyEntriesTests(unittest.TestCase):
    """Sixty entries with two requests a second each; loads reach them 50 ms late."""

    declared = experiment(
        halls=[DataHall("suva")],
        entries_a_hall=60,
        length_ms=12_000,
        services=[service(servers_a_hall=18, work_ms=320, bursts=USERS_BURSTS)],
        routes=[route(per_s=80)],
    )

    def test_entries_do_not_all_choose_the_server_with_the_least_reported_load(self):
        peak = replace_field(self.declared, routes=[route(per_s=110)])
        with_sample = missed_share(result_of(peak))
        with patch.object(_choose, "SAMPLE_SIZE", NO_SAMPLE):
            without = missed_share(result_of(peak))
        self.assertLess(with_sample, 0.9 * without)

    def test_run_once_requests_avoid_servers_that_have_just_failed(self):
        with_penalty = failed_share(self.declared)
        weak_penalty = replace(_route_policies.ONCE_PENALTIES, suspect=2.0)
        with patch.object(_route_policies, "ONCE_PENALTIES", weak_penalty):
            without = failed_share(self.declared)
        self.assertLess(with_penalty, 0.9 * without)


class HangingServersTests(unittest.TestCase):
    """Requests hang in bursts under load; they hold slots but report no load."""

    declared = experiment(
        halls=[DataHall("suva"), DataHall("nadi")],
        entries_a_hall=8,
        length_ms=15_000,
        services=[
            service(servers_a_hall=5, slots=2, work_ms=160, bursts=HANGING_BURSTS)
        ],
        routes=[route(per_s=40, objective_ms=600, timeout_ms=1_250, deadline_ms=2_500)],
    )

    def test_hanging_requests_count_as_load_after_the_reported_load_has_decayed(self):
        with_in_flight = result_of(self.declared)
        with patch.object(ServerState, "load_at", ServerState.reported_load_at):
            without = result_of(self.declared)
        self.assertLess(missed_share(with_in_flight), 0.9 * missed_share(without))


class FewServersAHallTests(unittest.TestCase):
    """Only three servers a hall, hanging in bursts: requests must go to other halls."""

    # With only nine servers a single burst has a large effect, so use more seeds.
    seeds = range(20, 28)
    declared = experiment(
        halls=[DataHall("suva"), DataHall("nadi"), DataHall("lautoka")],
        entries_a_hall=6,
        length_ms=12_000,
        services=[
            service(servers_a_hall=3, slots=2, work_ms=210, bursts=HANGING_BURSTS)
        ],
        routes=[
            route(
                kind=RouteKind.REPEATABLE,
                per_s=34,
                objective_ms=600,
                timeout_ms=1_000,
                deadline_ms=2_000,
            )
        ],
    )

    def test_halls_that_share_their_requests_in_flight_choose_better(self):
        shared = missed_share(result_of(self.declared, self.seeds))
        with patch.object(_hall_gossip, "CROSS_HALL_PERIOD_S", NEVER_S):
            unshared = missed_share(result_of(self.declared, self.seeds))
        self.assertLess(shared, 0.9 * unshared)


class OverloadTests(unittest.TestCase):
    """Load of 1.5 times the capacity of the servers, which queue the excess."""

    seeds = SEEDS[:2]
    declared = experiment(
        halls=[DataHall("suva"), DataHall("nadi")],
        entries_a_hall=8,
        length_ms=14_000,
        services=[service(servers_a_hall=4, queue=12)],
        routes=[
            route(
                kind=RouteKind.REPEATABLE,
                per_s=50,
                objective_ms=1_400,
                timeout_ms=3_000,
                deadline_ms=7_000,
            )
        ],
        faults=[Fault(FaultKind.SURGE, at_ms=3_000, for_ms=8_000, factor=2.4)],
    )

    def test_requests_that_would_only_lengthen_queues_are_rejected_at_once(self):
        with_refusals = missed_share(result_of(self.declared, self.seeds))
        with patch.object(_slots, "is_queue_too_long", return_value=False):
            without = missed_share(result_of(self.declared, self.seeds))
        self.assertLess(with_refusals, 0.85 * without)


class SmallRetryBudgetTests(unittest.TestCase):
    """Servers of a busy service fail in bursts while the retry budget is small."""

    declared = experiment(
        halls=[DataHall("suva")],
        entries_a_hall=30,
        length_ms=12_000,
        services=[service(servers_a_hall=10, work_ms=410, bursts=USERS_BURSTS)],
        routes=[route(name="account-lookup", kind=RouteKind.REPEATABLE, per_s=34)],
        retry_burst=0.5,
    )

    def test_first_attempts_avoid_servers_that_have_just_failed(self):
        with_penalty = failed_share(self.declared)
        weak_penalty = replace(_route_policies.REPEATABLE_PENALTIES, suspect=1.5)
        with patch.object(_route_policies, "REPEATABLE_PENALTIES", weak_penalty):
            without = failed_share(self.declared)
        self.assertLess(with_penalty, 0.9 * without)
