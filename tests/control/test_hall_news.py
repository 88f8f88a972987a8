"""What entries know of servers' loads is shared by all replicas of their hall."""

import unittest
from unittest.mock import patch

import anyio

from cinderway._ids import Address, DataHall
from cinderway.catalog import (
    CATALOG,
    NO_LOAD,
    AnnounceReplica,
    CatalogMachine,
    ServerLoad,
    ServerLoads,
    SuspectServers,
    encode_command,
)
from cinderway.control import _hall_news
from cinderway.control._hall_news import (
    MAX_SENDS_PER_S,
    MIN_BATCH_PERIOD_S,
    HallGossip,
    batch_period_s,
)
from cinderway.judgement import FADES_MS

HALLS = {"10.1.0.1:7100": "suva", "10.1.0.2:7100": "suva", "10.2.0.1:7100": "nadi"}
LOADS = [ServerLoad("i-1", 0.5)]


def suspects(left_ms):
    return SuspectServers(["i-1"], [left_ms])


def replica(address):
    return AnnounceReplica(Address(address), DataHall(HALLS[address]), Address("x:1"))


class Calls:
    """Keeps what is told to which replica."""

    def __init__(self):
        self.told = []

    async def call(self, address, message, timeout_s):
        self.told.append((address, message))


class Follower:
    """An entry that follows; keeps what it is told."""

    def __init__(self, hall, peers_address=""):
        self.data_hall = DataHall(hall)
        self.peers_address = Address(peers_address)
        self.loads = []
        self.suspects = []
        self.tellings = 0
        self.hall_entries = []

    def tell_hall_entries(self, entries):
        self.hall_entries.append(entries.addresses)

    def tell_news(self, frames):
        self.tellings += 1
        for frame in frames:
            match CATALOG.decode(frame, peer="x").message:
                case ServerLoads(servers=loads):
                    self.loads.extend(loads)
                case SuspectServers() as suspects:
                    self.suspects.append(suspects)


class SharedLoadsTests(unittest.TestCase):
    def setUp(self):
        machine = CatalogMachine()
        for index, address in enumerate(HALLS, 1):
            machine.apply(index, encode_command(replica(address)))
        self.calls = Calls()
        own = replica("10.1.0.1:7100")
        self.home, self.far = Follower("suva"), Follower("nadi")
        self.news = HallGossip(own, machine, self.calls, {self.home, self.far})

    def take_loads(self, loads, entry="e1"):
        self.news.take_loads(entry, loads)

    def hear_loads(self, loads, replica="r2"):
        self.news.hear_loads(replica, loads)

    def share(self, *takes):
        """Take news in one moment, and tell it."""

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.news.run)
                for take, told in takes:
                    take(told)
                await anyio.wait_all_tasks_blocked()
                tasks.cancel_scope.cancel()

        # Time stands still, so that what is left of a suspicion is what was told.
        with patch.object(_hall_news, "monotonic_ms", lambda: 0):
            anyio.run(run)

    def test_entries_and_replicas_of_the_own_hall_are_told(self):
        self.share((self.take_loads, LOADS))
        self.assertEqual(self.home.loads, LOADS)
        self.assertEqual(self.calls.told, [("10.1.0.2:7100", ServerLoads(LOADS))])

    def test_nothing_crosses_halls(self):
        self.share((self.take_loads, LOADS))
        self.assertEqual(self.far.loads, [])

    def test_what_another_replica_tells_goes_to_entries_only(self):
        self.share((self.hear_loads, LOADS), (self.news.hear_suspects, suspects(9)))
        self.assertEqual(self.home.loads, LOADS)
        self.assertEqual(self.far.suspects, [suspects(9)])
        self.assertEqual(self.calls.told, [])

    def test_of_each_servers_loads_the_newest_is_sent(self):
        newest = [ServerLoad("i-1", 0.75), ServerLoad("i-2", 1.0)]
        first = [ServerLoad("i-1", 0.25), newest[1]]
        self.share((self.take_loads, first), (self.take_loads, newest[:1]))
        self.assertEqual(self.home.loads, newest)

    def test_entries_are_told_what_all_of_the_fleet_have_under_way(self):
        def take(loads):
            self.take_loads(loads, "e1")
            self.take_loads([ServerLoad("i-1", 0.5, 2)], "e2")
            self.hear_loads([ServerLoad("i-1", NO_LOAD, 4)])

        self.share((take, [ServerLoad("i-1", 0.25, 1)]))
        self.assertEqual(self.home.loads, [ServerLoad("i-1", 0.5, 7)])

    def test_replicas_of_the_hall_are_told_what_the_entries_here_have_under_way(self):
        def take(loads):
            self.take_loads(loads, "e1")
            self.hear_loads([ServerLoad("i-1", 0.75, 4)])

        self.share((take, [ServerLoad("i-1", 0.25, 1)]))
        told = ServerLoads([ServerLoad("i-1", 0.25, 1)])
        self.assertEqual(self.calls.told, [("10.1.0.2:7100", told)])

    def test_what_an_entry_had_under_way_goes_with_it(self):
        def take(loads):
            self.take_loads(loads, "e1")
            self.take_loads([ServerLoad("i-1", 0.5, 2)], "e2")
            self.news.forget("e1")

        self.share((take, [ServerLoad("i-1", 0.25, 5), ServerLoad("i-2", 0.25, 5)]))
        told = [ServerLoad("i-1", 0.5, 2), ServerLoad("i-2", 0.25, 0)]
        self.assertEqual(self.home.loads, told)

    def test_other_halls_are_told_from_time_to_time_what_is_under_way_here(self):
        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.news.run)
                self.take_loads([ServerLoad("i-1", 0.25, 3)])
                with anyio.fail_after(20):
                    while len(self.calls.told) < 2:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        with patch.object(_hall_news, "AFAR_PAUSE_S", 0.01):
            anyio.run(run)
        told = ServerLoads([ServerLoad("i-1", NO_LOAD, 3)])
        self.assertIn(("10.2.0.1:7100", told), self.calls.told)

    def test_a_suspicion_that_ends_is_told_in_place_of_its_begin(self):
        self.share(
            (self.news.take_suspects, suspects(900)),
            (self.news.take_suspects, suspects(0)),
        )
        self.assertEqual(self.home.suspects, [suspects(0)])
        self.assertEqual(self.far.suspects, [suspects(0)])

    def test_many_failures_of_one_moment_are_one_telling(self):
        """Dozens of servers of a large hall fail each second, each at another entry."""
        many = [SuspectServers([f"i-{index}"], [FADES_MS]) for index in range(50)]
        self.share(*((self.news.take_suspects, told) for told in many))
        self.assertEqual(self.home.tellings, 1)
        self.assertEqual(len(self.home.suspects[0].servers), 50)
        self.assertEqual(len(self.calls.told), 2)

    def test_what_one_hall_alone_misses_other_halls_avoid_for_a_moment_only(self):
        told = SuspectServers(["i-1", "i-2"], [8 * FADES_MS, 100])
        self.share((self.news.take_suspects, told))
        told = SuspectServers(["i-1", "i-2"], [FADES_MS, 100])
        self.assertEqual([message for _, message in self.calls.told], [told, told])

    def test_what_is_spent_on_news_does_not_grow_with_the_entries(self):
        self.assertEqual(batch_period_s(1), MIN_BATCH_PERIOD_S)
        for followers in (60, 200, 1_100):
            per_s = followers / batch_period_s(followers)
            self.assertAlmostEqual(per_s, MAX_SENDS_PER_S)

    def test_a_failure_is_told_before_loads_have_gathered(self):
        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.news.run)
                self.news.take_loads("e1", LOADS)
                await anyio.wait_all_tasks_blocked()
                self.news.take_loads("e1", LOADS)
                await anyio.sleep(0)
                self.news.take_suspects(suspects(900))
                with anyio.fail_after(20):
                    while self.home.tellings < 2:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        with patch.object(_hall_news, "MIN_BATCH_PERIOD_S", 1_000_000):
            anyio.run(run)
        self.assertEqual(self.home.loads, LOADS + LOADS)
        self.assertEqual(len(self.home.suspects), 1)

    def test_an_entry_that_was_restarted_hears_of_its_hall_again(self):
        first, again = (Follower("suva", "10.1.0.9:7101") for _ in range(2))
        self.news.followers = {first, self.far}

        async def restart():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.news.run)
                with anyio.fail_after(20):
                    while not first.hall_entries:
                        await anyio.sleep(0.001)
                    self.news.followers = {again, self.far}
                    while not again.hall_entries:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        with patch.object(_hall_news, "HALL_ENTRIES_PERIOD_S", 0.001):
            anyio.run(restart)
        self.assertEqual(first.hall_entries, [["10.1.0.9:7101"]])
        self.assertEqual(again.hall_entries, [["10.1.0.9:7101"]])
        self.assertEqual(self.far.hall_entries, [])
