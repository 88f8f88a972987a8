"""How loads and suspects of servers are sent to entries and replicas."""

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
from cinderway.control import _hall_gossip
from cinderway.control._hall_gossip import (
    MAX_SENDS_PER_S,
    MIN_BATCH_PERIOD_S,
    HallGossip,
    batch_period_s,
)
from cinderway.judgement import SUSPICION_MS

HALLS = {"10.1.0.1:7100": "suva", "10.1.0.2:7100": "suva", "10.2.0.1:7100": "nadi"}
LOADS = [ServerLoad("i-1", 0.5)]


def suspects(left_ms):
    return SuspectServers(["i-1"], [left_ms])


def replica(address):
    return AnnounceReplica(Address(address), DataHall(HALLS[address]), Address("x:1"))


class RecordingCalls:
    """Records the messages sent to each replica."""

    def __init__(self):
        self.sent = []

    async def call(self, address, message, timeout_s):
        self.sent.append((address, message))


class RecordingFollower:
    """An entry that follows; records the messages queued for it."""

    def __init__(self, hall, peers_address=""):
        self.data_hall = DataHall(hall)
        self.peers_address = Address(peers_address)
        self.loads = []
        self.suspects = []
        self.batches = 0
        self.hall_entries = []

    def queue_hall_entries(self, entries):
        self.hall_entries.append(entries.addresses)

    def queue_frames(self, frames):
        self.batches += 1
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
        self.calls = RecordingCalls()
        own = replica("10.1.0.1:7100")
        self.local, self.remote = RecordingFollower("suva"), RecordingFollower("nadi")
        self.gossip = HallGossip(own, machine, self.calls, {self.local, self.remote})

    def receive_entry_loads(self, loads, entry="e1"):
        self.gossip.receive_entry_loads(entry, loads)

    def receive_replica_loads(self, loads, replica="r2"):
        self.gossip.receive_replica_loads(replica, loads)

    def share(self, *receipts):
        """Receive updates at the same moment, and send them."""

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.gossip.run)
                for receive, message in receipts:
                    receive(message)
                await anyio.wait_all_tasks_blocked()
                tasks.cancel_scope.cancel()

        # The clock stands still, so the remaining time of a suspicion stays the same.
        with patch.object(_hall_gossip, "monotonic_ms", lambda: 0):
            anyio.run(run)

    def test_loads_are_sent_to_entries_and_replicas_of_the_own_hall(self):
        self.share((self.receive_entry_loads, LOADS))
        self.assertEqual(self.local.loads, LOADS)
        self.assertEqual(self.calls.sent, [("10.1.0.2:7100", ServerLoads(LOADS))])

    def test_loads_are_not_sent_to_entries_of_other_halls(self):
        self.share((self.receive_entry_loads, LOADS))
        self.assertEqual(self.remote.loads, [])

    def test_updates_from_another_replica_go_to_entries_only(self):
        self.share(
            (self.receive_replica_loads, LOADS),
            (self.gossip.receive_replica_suspects, suspects(9)),
        )
        self.assertEqual(self.local.loads, LOADS)
        self.assertEqual(self.remote.suspects, [suspects(9)])
        self.assertEqual(self.calls.sent, [])

    def test_only_the_newest_load_of_each_server_is_sent(self):
        newest = [ServerLoad("i-1", 0.75), ServerLoad("i-2", 1.0)]
        first = [ServerLoad("i-1", 0.25), newest[1]]
        self.share(
            (self.receive_entry_loads, first), (self.receive_entry_loads, newest[:1])
        )
        self.assertEqual(self.local.loads, newest)

    def test_the_newest_good_answer_of_each_server_is_sent(self):
        # Servers need not report a load, and the reports of two entries are merged.
        answered = [ServerLoad("i-1", NO_LOAD, good_age_ms=40)]
        for first, second in ((LOADS, answered), (answered, LOADS)):
            with self.subTest(first=first):
                self.local.loads = []
                self.share(
                    (self.receive_entry_loads, first),
                    (self.receive_entry_loads, second),
                )
                merged = ServerLoad("i-1", 0.5, good_age_ms=40)
                self.assertEqual(self.local.loads, [merged])

    def test_entries_are_sent_the_requests_in_flight_of_the_whole_fleet(self):
        def receive(loads):
            self.receive_entry_loads(loads, "e1")
            self.receive_entry_loads([ServerLoad("i-1", 0.5, 2)], "e2")
            self.receive_replica_loads([ServerLoad("i-1", NO_LOAD, 4)])

        self.share((receive, [ServerLoad("i-1", 0.25, 1)]))
        self.assertEqual(self.local.loads, [ServerLoad("i-1", 0.5, 7)])

    def test_replicas_of_the_hall_are_sent_the_requests_in_flight_of_its_entries(self):
        def receive(loads):
            self.receive_entry_loads(loads, "e1")
            self.receive_replica_loads([ServerLoad("i-1", 0.75, 4)])

        self.share((receive, [ServerLoad("i-1", 0.25, 1)]))
        message = ServerLoads([ServerLoad("i-1", 0.25, 1)])
        self.assertEqual(self.calls.sent, [("10.1.0.2:7100", message)])

    def test_the_requests_in_flight_of_a_disconnected_entry_are_removed(self):
        def receive(loads):
            self.receive_entry_loads(loads, "e1")
            self.receive_entry_loads([ServerLoad("i-1", 0.5, 2)], "e2")
            self.gossip.remove_source("e1")

        self.share((receive, [ServerLoad("i-1", 0.25, 5), ServerLoad("i-2", 0.25, 5)]))
        message = [ServerLoad("i-1", 0.5, 2), ServerLoad("i-2", 0.25, 0)]
        self.assertEqual(self.local.loads, message)

    def test_other_halls_are_sent_the_requests_in_flight_periodically(self):
        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.gossip.run)
                self.receive_entry_loads([ServerLoad("i-1", 0.25, 3)])
                with anyio.fail_after(20):
                    while len(self.calls.sent) < 2:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        with patch.object(_hall_gossip, "CROSS_HALL_PERIOD_S", 0.01):
            anyio.run(run)
        message = ServerLoads([ServerLoad("i-1", NO_LOAD, 3)])
        self.assertIn(("10.2.0.1:7100", message), self.calls.sent)

    def test_the_end_of_a_suspicion_replaces_its_unsent_beginning(self):
        self.share(
            (self.gossip.receive_entry_suspects, suspects(900)),
            (self.gossip.receive_entry_suspects, suspects(0)),
        )
        self.assertEqual(self.local.suspects, [suspects(0)])
        self.assertEqual(self.remote.suspects, [suspects(0)])

    def test_simultaneous_failures_are_sent_as_one_batch(self):
        """In a big hall dozens of servers fail each second, each seen by one entry."""
        many = [SuspectServers([f"i-{index}"], [SUSPICION_MS]) for index in range(50)]
        self.share(*((self.gossip.receive_entry_suspects, message) for message in many))
        self.assertEqual(self.local.batches, 1)
        self.assertEqual(len(self.local.suspects[0].servers), 50)
        self.assertEqual(len(self.calls.sent), 2)

    def test_long_suspicions_are_shortened_for_other_halls(self):
        message = SuspectServers(["i-1", "i-2"], [8 * SUSPICION_MS, 100])
        self.share((self.gossip.receive_entry_suspects, message))
        message = SuspectServers(["i-1", "i-2"], [SUSPICION_MS, 100])
        self.assertEqual(
            [message for _, message in self.calls.sent], [message, message]
        )

    def test_the_rate_of_sends_does_not_grow_with_the_number_of_entries(self):
        self.assertEqual(batch_period_s(1), MIN_BATCH_PERIOD_S)
        for followers in (60, 200, 1_100):
            per_s = followers / batch_period_s(followers)
            self.assertAlmostEqual(per_s, MAX_SENDS_PER_S)

    def test_a_new_suspect_is_sent_without_waiting_for_the_batch_period(self):
        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.gossip.run)
                self.gossip.receive_entry_loads("e1", LOADS)
                await anyio.wait_all_tasks_blocked()
                self.gossip.receive_entry_loads("e1", LOADS)
                await anyio.sleep(0)
                self.gossip.receive_entry_suspects(suspects(900))
                with anyio.fail_after(20):
                    while self.local.batches < 2:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        with patch.object(_hall_gossip, "MIN_BATCH_PERIOD_S", 1_000_000):
            anyio.run(run)
        self.assertEqual(self.local.loads, LOADS + LOADS)
        self.assertEqual(len(self.local.suspects), 1)

    def test_a_restarted_entry_is_sent_its_halls_entries_again(self):
        first, again = (RecordingFollower("suva", "10.1.0.9:7101") for _ in range(2))
        self.gossip.followers = {first, self.remote}

        async def restart():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.gossip.run)
                with anyio.fail_after(20):
                    while not first.hall_entries:
                        await anyio.sleep(0.001)
                    self.gossip.followers = {again, self.remote}
                    while not again.hall_entries:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        with patch.object(_hall_gossip, "HALL_ENTRIES_PERIOD_S", 0.001):
            anyio.run(restart)
        self.assertEqual(first.hall_entries, [["10.1.0.9:7101"]])
        self.assertEqual(again.hall_entries, [["10.1.0.9:7101"]])
        # It is told of entries that relay requests, and of none to gossip with.
        self.assertEqual(sum(self.remote.hall_entries, []), [])
