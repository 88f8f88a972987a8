"""Who hears of the rates that servers name, and by whom these are divided."""

import unittest
from unittest.mock import patch

import anyio

from cinderway._ids import Address, DataHall, EntryName, ServerName
from cinderway.catalog import CATALOG, AnnounceReplica, CatalogMachine, encode_command
from cinderway.control import _limit_news
from cinderway.control._entry_groups import (
    CHECK_PERIOD_S,
    RETENTION_MS,
    STARTUP_DELAY_S,
    EntryGroups,
)
from cinderway.control._limit_news import LimitGossip
from cinderway.experiment._virtual_time import run_in_virtual_time
from cinderway.pushback import ServerLimit, ServerLimits

ADDRESSES = ("10.1.0.1:7100", "10.1.0.2:7100", "10.2.0.1:7100")
OWN, *OTHERS = ADDRESSES
SERVER = ServerName("i-1")


def limit(rate_per_s, ago_ms=0):
    return ServerLimits([ServerLimit(SERVER, rate_per_s, ago_ms)])


def machine():
    found = CatalogMachine()
    for index, address in enumerate(ADDRESSES, 1):
        own = AnnounceReplica(Address(address), DataHall("suva"), Address("x:1"))
        found.apply(index, encode_command(own))
    return found


class Calls:
    """Keeps what is told to which replica."""

    def __init__(self):
        self.told = []

    async def call(self, address, message, timeout_s):
        self.told.append((address, message.lines[0].rate_per_s))


class Follower:
    """An entry that follows; keeps the messages that it is told."""

    def __init__(self, name="e1"):
        self.entry = EntryName(name)
        self.messages = []

    def tell_news(self, frames):
        self.messages += [CATALOG.decode(f, peer="x").message for f in frames]

    @property
    def rates(self):
        return [message.lines[0].rate_per_s for message in self.messages]


class LimitGossipTests(unittest.TestCase):
    def setUp(self):
        self.calls, self.entry = Calls(), Follower()
        self.news = LimitGossip(OWN, machine(), self.calls, lambda: {self.entry})

    def play(self, *steps, for_s=1.0):
        """Take what is told, one step each 10 ms, and pass it on for a while."""

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.news.run)
                for step in steps:
                    step()
                    await anyio.sleep(0.01)
                await anyio.sleep(for_s)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(run)

    def test_what_an_entry_heard_goes_to_entries_and_replicas(self):
        self.play(lambda: self.news.take(limit(1.9)))
        self.assertEqual(self.entry.rates, [1.9])
        self.assertEqual(sorted(self.calls.told), [(a, 1.9) for a in OTHERS])

    def test_what_another_replica_tells_goes_to_entries_only(self):
        self.play(lambda: self.news.hear(limit(1.9)))
        self.assertEqual(self.entry.rates, [1.9])
        self.assertEqual(self.calls.told, [])

    def test_the_same_word_again_is_no_news_and_a_change_is(self):
        steps = [lambda r=r: self.news.hear(limit(r)) for r in (1.9, 1.9, 1.95, 0.4)]
        self.play(*steps)
        self.assertEqual(self.entry.rates, [1.9, 0.4])

    def test_an_end_is_told_and_an_older_word_after_it_is_not(self):
        self.play(
            lambda: self.news.hear(limit(1.9)),
            lambda: self.news.hear(limit(None)),
            lambda: self.news.hear(limit(1.9, ago_ms=5_000)),
        )
        self.assertEqual(self.entry.rates, [1.9, None])

    def test_a_replica_that_was_cut_off_is_told_again(self):
        with patch.object(_limit_news, "RESEND_PERIOD_S", 0.5):
            self.play(lambda: self.news.take(limit(1.9)), for_s=1.2)
        self.assertEqual(len(self.calls.told), 3 * len(OTHERS))

    def test_an_entry_that_begins_to_follow_is_told_what_is_known(self):
        known = []
        self.play(
            lambda: self.news.hear(limit(1.9)),
            lambda: known.append(self.news.limits()),
        )
        self.assertEqual(known[0].lines[0].rate_per_s, 1.9)


class EntryGroupsTests(unittest.TestCase):
    def play(self, *steps):
        """Look at followers that change after some seconds; return each list told."""
        followers: set[Follower] = set()

        async def run():
            groups = EntryGroups(OWN, machine(), lambda: followers)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(groups.run)
                for step, after_s in steps:
                    followers.clear()
                    followers.update(step)
                    await anyio.sleep(after_s)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(run)

    def told(self, follower):
        return [message.entries for message in follower.messages]

    def test_entries_are_told_of_each_other_and_of_the_replicas(self):
        one, two = Follower("e1"), Follower("e2")
        self.play(({one, two}, STARTUP_DELAY_S + CHECK_PERIOD_S / 2))
        group = one.messages[0].group
        self.assertEqual(group.entries, {"e1", "e2"})
        self.assertEqual((group.name, group.groups), (OWN, set(ADDRESSES)))

    def test_a_replica_that_has_just_started_waits_for_its_entries(self):
        one, two = Follower("e1"), Follower("e2")
        self.play(({one}, STARTUP_DELAY_S / 2), ({one, two}, STARTUP_DELAY_S))
        self.assertEqual(self.told(one)[0], ["e1", "e2"])

    def test_a_list_is_told_once(self):
        one = Follower("e1")
        self.play(({one}, STARTUP_DELAY_S + 10 * CHECK_PERIOD_S))
        self.assertEqual(self.told(one), [["e1"]])

    def test_an_entry_that_starts_again_changes_nothing_for_the_others(self):
        one, two, again = Follower("e1"), Follower("e2"), Follower("e2")
        settled_s = STARTUP_DELAY_S + 2 * CHECK_PERIOD_S
        self.play(({one, two}, settled_s), ({one}, 5.0), ({one, again}, 5.0))
        self.assertEqual(self.told(one), [["e1", "e2"]])
        self.assertEqual(self.told(again), [["e1", "e2"]])

    def test_an_entry_that_is_gone_gives_its_part_up_after_a_while(self):
        one, two = Follower("e1"), Follower("e2")
        gone_s = RETENTION_MS / 1000 + 2 * CHECK_PERIOD_S
        self.play(({one, two}, STARTUP_DELAY_S + CHECK_PERIOD_S), ({one}, gone_s))
        self.assertEqual(self.told(one), [["e1", "e2"], ["e1"]])
