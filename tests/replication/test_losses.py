"""Groups after random series of losses that a deployment has to survive.

This guards against a group that ends up without a quorum although no more was lost at
once than is tolerated: a replica that was only silent without a vote, a replaced one
that is still counted.
"""

import random
import unittest

from cinderway.control._catalog_daemon import TIMING
from cinderway.replication._core import Timing
from tests.replication.losses import Kind, Losses, Scope
from tests.replication.virtual_group import Group, Setup

RECOVERY_MS = 15_000
FORMATION_MS = 10_000
MOST_EVENTS = 10
LONGEST_GAP_MS = 5_000


def run_series(setup, catch_up_ms, seed, scope=Scope.COUNTED, kinds=tuple(Kind)):
    """Play one series of losses; return what was done. Raises AssertionError."""
    group = Group(setup, seed)
    rng = random.Random(seed)
    losses = Losses(group, rng, catch_up_ms, kinds)
    try:
        _play(group, losses, rng, scope)
    except AssertionError as error:
        raise AssertionError(f"seed {seed}: {error}; {losses.log}") from error
    return losses.log


def _play(group, losses, rng, scope):
    assert group.run_until(lambda: _is_whole(group, losses), FORMATION_MS), "not formed"
    group.run_for(losses.catch_up_ms)
    for _ in range(rng.randrange(1, MOST_EVENTS)):
        losses.draw()
        is_short = rng.random() < 0.3
        group.run_for(rng.randrange(300 if is_short else LONGEST_GAP_MS))
    back_at_ms = losses.end(scope)
    acknowledged_index = group.acknowledged_index
    has_recovered = group.run_until(
        lambda: (
            (group.read_at_ms or 0) > back_at_ms
            and group.acknowledged_index > acknowledged_index
        ),
        RECOVERY_MS,
    )
    assert has_recovered, "no quorum"
    assert group.run_until(lambda: _is_whole(group, losses), RECOVERY_MS), (
        f"voters are not those that are present: {_find_voters(group)}"
    )


def _is_whole(group, losses):
    """Whether the replicas that are present are the voters."""
    present = {machine.replica_id for machine in losses.present()}
    return _find_voters(group) == present


def _find_voters(group):
    leader = group.find_leader()
    return leader.core.membership.voters if leader else None


class LossesTest(unittest.TestCase):
    """Seeded series for several sizes, tolerances and timings."""

    def check(self, setup, seeds, catch_up_ms=4_000, **options):
        for seed in seeds:
            with self.subTest(seed=seed):
                run_series(setup, catch_up_ms, seed, **options)

    def test_five_machines_of_which_two_may_be_lost(self):
        self.check(Setup(5, 2, TIMING), range(40))

    def test_five_machines_that_are_replaced_in_series(self):
        kinds = (Kind.REPLACE, Kind.REPLACE_PLANNED)
        self.check(Setup(5, 2, TIMING), range(25), kinds=kinds)

    def test_five_machines_that_are_replaced_and_frozen(self):
        kinds = (Kind.REPLACE, Kind.REPLACE_PLANNED, Kind.FREEZE)
        self.check(Setup(5, 2, TIMING), range(25), kinds=kinds)

    def test_three_machines_of_which_one_may_be_lost(self):
        self.check(Setup(3, 1, TIMING), range(30))

    def test_seven_machines_of_which_three_may_be_lost(self):
        self.check(Setup(7, 3, TIMING), range(12), catch_up_ms=6_000)

    def test_more_machines_than_the_losses_need(self):
        self.check(Setup(5, 1, TIMING), range(12))
        self.check(Setup(6, 2, Timing()), range(12))

    def test_short_timeouts_and_slow_disks(self):
        self.check(Setup(5, 2, Timing(), sync_ms=20, delay_ms=8), range(20))

    def test_machines_that_are_silent_while_disks_are_lost(self):
        self.check(Setup(5, 2, TIMING), range(20), scope=Scope.OVERLAPPING)

    def test_a_silent_machine_beside_a_replaced_one_and_two_lost_disks(self):
        """The silent one is removed as if it were the one that is gone."""
        seeds = (30088, 30132, 30141)
        self.check(Setup(5, 2, TIMING), seeds, scope=Scope.OVERLAPPING)

    def test_a_machine_that_goes_without_notice_just_before_disks_are_lost(self):
        """Nobody can know yet that it went, and a silent one has lost its vote."""
        seeds = (30309, 90278, 110015, 110193, 110585, 110769, 110844, 110980)
        self.check(Setup(5, 2, TIMING), seeds, scope=Scope.OVERLAPPING)
        kinds = (Kind.REPLACE_PLANNED, Kind.KILL, Kind.LOSE_DISK)
        self.check(Setup(5, 2, TIMING), (5070,), scope=Scope.OVERLAPPING, kinds=kinds)
        self.check(
            Setup(7, 3, TIMING), (20187,), catch_up_ms=6_000, scope=Scope.OVERLAPPING
        )

    def test_three_machines_a_silent_one_beside_a_replaced_one_and_a_lost_disk(self):
        """One of three voters is left, as the silent one has lost its vote."""
        seeds = (20134, 20351, 20477)
        self.check(Setup(3, 1, TIMING), seeds, scope=Scope.OVERLAPPING)
