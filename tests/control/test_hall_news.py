"""What entries know of servers' loads is shared by all replicas of their hall."""

import unittest
from unittest.mock import patch

import anyio

from cinderway._ids import Address, DataHall
from cinderway.catalog import (
    AnnounceReplica,
    CatalogMachine,
    ServerLoad,
    ServerLoads,
    SuspectServers,
    encode_command,
)
from cinderway.control import _hall_news
from cinderway.control._hall_news import HallNews
from cinderway.judgement import FADES_MS

HALLS = {"10.1.0.1:7100": "suva", "10.1.0.2:7100": "suva", "10.2.0.1:7100": "nadi"}
LOADS = [ServerLoad("i-1", 0.5)]


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
        self.hall_entries = []

    def tell_hall_entries(self, entries):
        self.hall_entries.append(entries.addresses)

    def tell_loads(self, loads):
        self.loads.extend(loads)


class SharedLoadsTests(unittest.TestCase):
    def setUp(self):
        machine = CatalogMachine()
        for index, address in enumerate(HALLS, 1):
            machine.apply(index, encode_command(replica(address)))
        self.calls = Calls()
        own = replica("10.1.0.1:7100")
        self.home, self.far = Follower("suva"), Follower("nadi")
        self.news = HallNews(own, machine, self.calls, {self.home, self.far})

    async def share(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.news.run)
            self.news.take_loads(LOADS)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    def test_entries_and_replicas_of_the_own_hall_are_told(self):
        anyio.run(self.share)
        self.assertEqual(self.home.loads, LOADS)
        self.assertEqual(self.calls.told, [("10.1.0.2:7100", ServerLoads(LOADS))])

    def test_nothing_crosses_halls(self):
        anyio.run(self.share)
        self.assertEqual(self.far.loads, [])

    def test_what_another_replica_tells_goes_to_entries_only(self):
        self.news.tell_loads(LOADS)
        self.assertEqual(self.home.loads, LOADS)
        self.assertEqual(self.calls.told, [])

    def test_what_one_hall_alone_misses_other_halls_avoid_for_a_moment_only(self):
        async def tell():
            async with anyio.create_task_group() as tasks:
                self.news._tasks = tasks
                told = SuspectServers(["i-1", "i-2"], [8 * FADES_MS, 100])
                self.news.tell_replicas_of_suspects(told)

        anyio.run(tell)
        told = SuspectServers(["i-1", "i-2"], [FADES_MS, 100])
        self.assertEqual([message for _, message in self.calls.told], [told, told])

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

        with patch.object(_hall_news, "HALL_ENTRIES_PAUSE_S", 0.001):
            anyio.run(restart)
        self.assertEqual(first.hall_entries, [["10.1.0.9:7101"]])
        self.assertEqual(again.hall_entries, [["10.1.0.9:7101"]])
        self.assertEqual(self.far.hall_entries, [])
