"""How rate limits of servers, and the entries that divide them, are distributed."""

import unittest
from unittest.mock import patch

import anyio

from cinderway._ids import Address, DataHall, EntryName, ServerName
from cinderway.catalog import CATALOG, AnnounceReplica, CatalogMachine, encode_command
from cinderway.control import _limit_gossip
from cinderway.control._entry_groups import (
    CHECK_PERIOD_S,
    RETENTION_MS,
    STARTUP_DELAY_S,
    EntryGroups,
)
from cinderway.control._limit_gossip import LimitGossip
from cinderway.experiment._virtual_time import run_in_virtual_time
from cinderway.pushback import ServerLimit, ServerLimits

ADDRESSES = ("10.1.0.1:7100", "10.1.0.2:7100", "10.2.0.1:7100")
OWN, *OTHERS = ADDRESSES
SERVER = ServerName("i-1")


def build_limits(rate_per_s, ago_ms=0):
    return ServerLimits([ServerLimit(SERVER, rate_per_s, ago_ms)])


def build_machine():
    found = CatalogMachine()
    for index, address in enumerate(ADDRESSES, 1):
        own = AnnounceReplica(Address(address), DataHall("suva"), Address("x:1"))
        found.apply(index, encode_command(own))
    return found


class RecordingCalls:
    """Records the rates sent to each replica."""

    def __init__(self):
        self.sent = []

    async def call(self, address, message, timeout_s):
        self.sent.append((address, message.lines[0].rate_per_s))


class RecordingFollower:
    """An entry that follows; records the messages queued for it."""

    def __init__(self, name="e1"):
        self.entry = EntryName(name)
        self.messages = []

    def queue_frames(self, frames):
        self.messages += [CATALOG.decode(f, peer="x").message for f in frames]

    @property
    def rates(self):
        return [message.lines[0].rate_per_s for message in self.messages]


class LimitGossipTests(unittest.TestCase):
    def setUp(self):
        self.calls, self.entry = RecordingCalls(), RecordingFollower()
        self.gossip = LimitGossip(
            OWN, build_machine(), self.calls, lambda: {self.entry}
        )

    def play(self, *steps, for_s=1.0):
        """Run one step every 10 ms, and then forward updates for a while."""

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.gossip.run)
                for step in steps:
                    step()
                    await anyio.sleep(0.01)
                await anyio.sleep(for_s)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(run)

    def test_limits_from_an_entry_go_to_entries_and_replicas(self):
        self.play(lambda: self.gossip.receive_entry_limits(build_limits(1.9)))
        self.assertEqual(self.entry.rates, [1.9])
        self.assertEqual(sorted(self.calls.sent), [(a, 1.9) for a in OTHERS])

    def test_limits_from_another_replica_go_to_entries_only(self):
        self.play(lambda: self.gossip.receive_replica_limits(build_limits(1.9)))
        self.assertEqual(self.entry.rates, [1.9])
        self.assertEqual(self.calls.sent, [])

    def test_a_limit_is_forwarded_only_if_it_has_changed(self):
        steps = [
            lambda r=r: self.gossip.receive_replica_limits(build_limits(r))
            for r in (1.9, 1.9, 1.95, 0.4)
        ]
        self.play(*steps)
        self.assertEqual(self.entry.rates, [1.9, 0.4])

    def test_the_end_of_a_limit_is_forwarded_and_an_older_limit_after_it_is_not(self):
        self.play(
            lambda: self.gossip.receive_replica_limits(build_limits(1.9)),
            lambda: self.gossip.receive_replica_limits(build_limits(None)),
            lambda: self.gossip.receive_replica_limits(build_limits(1.9, ago_ms=5_000)),
        )
        self.assertEqual(self.entry.rates, [1.9, None])

    def test_recent_limits_are_resent_for_replicas_that_were_partitioned(self):
        with patch.object(_limit_gossip, "RESEND_PERIOD_S", 0.5):
            self.play(
                lambda: self.gossip.receive_entry_limits(build_limits(1.9)), for_s=1.2
            )
        self.assertEqual(len(self.calls.sent), 3 * len(OTHERS))

    def test_an_entry_that_begins_to_follow_is_sent_all_known_limits(self):
        known = []
        self.play(
            lambda: self.gossip.receive_replica_limits(build_limits(1.9)),
            lambda: known.append(self.gossip.limits()),
        )
        self.assertEqual(known[0].lines[0].rate_per_s, 1.9)


class EntryGroupsTests(unittest.TestCase):
    def play(self, *steps):
        """Set the followers of each step and let the given seconds pass after it."""
        followers: set[RecordingFollower] = set()

        async def run():
            groups = EntryGroups(OWN, build_machine(), lambda: followers)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(groups.run)
                for step, after_s in steps:
                    followers.clear()
                    followers.update(step)
                    await anyio.sleep(after_s)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(run)

    def sent_lists(self, follower):
        return [message.entries for message in follower.messages]

    def test_entries_are_sent_the_list_of_entries_and_of_replicas(self):
        one, two = RecordingFollower("e1"), RecordingFollower("e2")
        self.play(({one, two}, STARTUP_DELAY_S + CHECK_PERIOD_S / 2))
        group = one.messages[0].group
        self.assertEqual(group.entries, {"e1", "e2"})
        self.assertEqual((group.name, group.groups), (OWN, set(ADDRESSES)))

    def test_a_replica_that_has_just_started_waits_for_its_entries(self):
        one, two = RecordingFollower("e1"), RecordingFollower("e2")
        self.play(({one}, STARTUP_DELAY_S / 2), ({one, two}, STARTUP_DELAY_S))
        self.assertEqual(self.sent_lists(one)[0], ["e1", "e2"])

    def test_an_unchanged_list_is_sent_once(self):
        one = RecordingFollower("e1")
        self.play(({one}, STARTUP_DELAY_S + 10 * CHECK_PERIOD_S))
        self.assertEqual(self.sent_lists(one), [["e1"]])

    def test_an_entry_that_restarts_does_not_change_the_list_of_the_others(self):
        one, two, again = (
            RecordingFollower("e1"),
            RecordingFollower("e2"),
            RecordingFollower("e2"),
        )
        settled_s = STARTUP_DELAY_S + 2 * CHECK_PERIOD_S
        self.play(({one, two}, settled_s), ({one}, 5.0), ({one, again}, 5.0))
        self.assertEqual(self.sent_lists(one), [["e1", "e2"]])
        self.assertEqual(self.sent_lists(again), [["e1", "e2"]])

    def test_a_disconnected_entry_is_removed_from_the_list_after_a_while(self):
        one, two = RecordingFollower("e1"), RecordingFollower("e2")
        gone_s = RETENTION_MS / 1000 + 2 * CHECK_PERIOD_S
        self.play(({one, two}, STARTUP_DELAY_S + CHECK_PERIOD_S), ({one}, gone_s))
        self.assertEqual(self.sent_lists(one), [["e1", "e2"], ["e1"]])
