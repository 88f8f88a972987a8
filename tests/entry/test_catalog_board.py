"""How the entries of a hall share what they know of servers' loads."""

import dataclasses
import json
import random
import unittest

from cinderway._clock import monotonic_ms, monotonic_source
from cinderway._ids import Address, DataHall, EntryName, ServerName, ServiceName
from cinderway.catalog import (
    NO_LOAD,
    CatalogMachine,
    InstallSheet,
    Register,
    RegisteredServer,
    ServerLoad,
    ServerLoads,
    ServerStatus,
    SuspectServers,
    encode_command,
)
from cinderway.entry._blackboard import Blackboard
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.servers._backends import BackendConnections
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._permit import UNLIMITED
from cinderway.entry.servers._slots import WantedSlot
from cinderway.judgement import FADES_MS, UNDER_WAY_MS, EvidenceLog
from cinderway.routing import USUAL_PENALTIES, Penalties

SERVICE = ServiceName("lookup")
SUVA = DataHall("suva")


def catalog(servers):
    machine = CatalogMachine()
    content = {"version": 1, "routes": [], "services": [{"name": SERVICE}]}
    commands = [InstallSheet(json.dumps(content).encode())]
    commands += [
        Register(
            RegisteredServer(
                ServerName(name),
                SERVICE,
                Address(f"10.0.0.{number}:80"),
                SUVA,
                4,
                ServerStatus.ACTIVE,
            )
        )
        for number, name in enumerate(servers)
    ]
    for index, command in enumerate(commands, 1):
        machine.apply(index, encode_command(command))
    return machine


class SharedLoadTests(unittest.TestCase):
    def setUp(self):
        board = Blackboard(EntryName("e1"), SUVA, random.Random(1))
        self.state = CatalogBoard(board, EvidenceLog(), lone_retry_percent=5)
        self.state.install(catalog(["a", "b"]).update_since(0), now_ms=0)
        self.servers = board.services[SERVICE].servers
        self.dispatcher = Dispatcher(board, BackendConnections(), EvidenceLog())

    def hear(self, **loads):
        told = [ServerLoad(ServerName(name), load) for name, load in loads.items()]
        message = ServerLoads(told)
        self.state.hear_loads(message, monotonic_ms())

    def choice(self, penalties=USUAL_PENALTIES):
        service = self.state.board.services[SERVICE]
        # A fresh look each time: nothing is noted as sent.
        wanted = WantedSlot(
            monotonic_ms() + 60_000,
            exclude=set(),
            penalties=penalties,
            objective_at_ms=None,
            permit=UNLIMITED,
        )
        return self.dispatcher.slots._free_server(service, wanted, monotonic_ms()).name

    def test_what_another_entry_knows_decides_where_this_one_sends(self):
        self.hear(a=1.5, b=0.5)
        self.assertEqual({self.choice() for _ in range(20)}, {"b"})
        self.hear(a=0.25, b=2.0)
        self.assertEqual({self.choice() for _ in range(20)}, {"a"})

    def test_another_halls_servers_are_not_taken_for_empty(self):
        far = self.servers["b"]
        far.row = dataclasses.replace(far.row, data_hall=DataHall("nadi"))
        # Full, but hardly fuller than the other hall's is by what its entries say.
        others = ServerLoads([ServerLoad("b", NO_LOAD, in_flight=3)])
        self.state.hear_fleet_loads(others, monotonic_ms())
        self.hear(a=1.25)
        self.assertEqual(self.choice(Penalties(other_hall=0.7)), "a")
        self.hear(a=2.0)
        self.assertEqual(self.choice(Penalties(other_hall=0.7)), "b")

    def test_a_request_that_is_sent_counts_at_once_for_the_others(self):
        self.hear(a=0.5, b=2.0)
        server = self.servers["a"]
        self.dispatcher.notes.send(server, server.load_known_at_ms)
        now_ms = server.load_known_at_ms
        told = self.state.take_loads(now_ms)
        self.assertEqual(told.servers, [ServerLoad("a", 0.75, in_flight=1)])
        self.assertEqual(self.state.take_loads(now_ms).servers, [])

    def test_nothing_is_made_up_of_servers_that_tell_no_load(self):
        self.dispatcher.notes.send(self.servers["a"], monotonic_ms())
        told = self.state.take_loads(monotonic_ms())
        self.assertEqual(told.servers, [ServerLoad("a", NO_LOAD, in_flight=1)])
        self.assertEqual(self.servers["a"].known_load, 0)

    def test_what_the_fleet_has_under_way_counts_though_its_last_load_has_faded(self):
        hanging = ServerLoads([ServerLoad("a", 1.0, in_flight=4)])
        self.state.hear_fleet_loads(hanging, monotonic_ms())
        long_after_ms = monotonic_ms() + 60_000
        self.assertEqual(self.servers["a"].load_at(long_after_ms), 1)
        self.assertEqual({self.choice() for _ in range(20)}, {"b"})

    def test_requests_under_way_here_count_although_the_replica_missed_them(self):
        server = self.servers["a"]
        for _ in range(2):
            self.dispatcher.notes.send(server, monotonic_ms())
        told = ServerLoads([ServerLoad("a", NO_LOAD, in_flight=1)])
        self.state.hear_fleet_loads(told, monotonic_ms())
        self.assertEqual(server.fleet_in_flight, 2)
        server.end_request()
        server.end_request()
        self.assertEqual((server.in_flight, server.fleet_in_flight), (0, 0))

    def test_the_next_replica_is_told_of_all_that_is_under_way(self):
        self.dispatcher.notes.send(self.servers["a"], monotonic_ms())
        self.state.take_loads(monotonic_ms())
        others = ServerLoads([ServerLoad("a", NO_LOAD, 4), ServerLoad("b", NO_LOAD, 4)])
        self.state.hear_fleet_loads(others, monotonic_ms())
        self.state.follow_anew()
        told = self.state.take_loads(monotonic_ms())
        self.assertEqual(told.servers, [ServerLoad("a", NO_LOAD, in_flight=1)])
        self.assertEqual(self.servers["b"].fleet_in_flight, 0)

    def test_loads_of_servers_that_are_not_known_here_are_passed_over(self):
        self.hear(unknown=1.0, a=0.5)
        self.assertEqual(self.servers["a"].known_load, 0.5)


class TurnedAwayTests(unittest.TestCase):
    """Under overload servers turn requests away all the time, at each entry."""

    def setUp(self):
        # Time stands still.
        self.enterContext(monotonic_source(lambda: 1_000_000_000_000))
        board = Blackboard(EntryName("e1"), SUVA, random.Random(1))
        self.state = CatalogBoard(board, EvidenceLog(), lone_retry_percent=5)
        self.state.install(catalog(["a", "b"]).update_since(0), now_ms=0)

    def told(self):
        return self.state.take_turned_away(monotonic_ms()).servers

    def test_the_hall_is_told_once_of_a_server_that_turns_many_away(self):
        for _ in range(50):
            self.state.board.on_turned_away(ServerName("a"))
        self.assertEqual(self.told(), ["a"])
        self.state.board.on_turned_away(ServerName("a"))
        self.assertEqual(self.told(), [])
        self.assertFalse(self.state.turned_away.is_set())

    def test_what_another_entry_has_just_told_is_not_told_again(self):
        self.state.hear(SuspectServers(["a"], [FADES_MS]), monotonic_ms())
        self.state.board.on_turned_away(ServerName("a"))
        self.assertEqual(self.told(), [])

    def test_after_a_while_it_is(self):
        left_ms = FADES_MS - UNDER_WAY_MS
        self.state.hear(SuspectServers(["a"], [left_ms]), monotonic_ms())
        self.state.board.on_turned_away(ServerName("a"))
        self.assertEqual(self.told(), ["a"])


class LoadsChangedTests(unittest.TestCase):
    def test_who_waits_for_loads_is_woken_though_others_took_none_meanwhile(self):
        board = Blackboard(EntryName("e1"), SUVA, random.Random(1))
        state = CatalogBoard(board, EvidenceLog(), lone_retry_percent=5)
        awaited = state.loads_changed
        state.take_loads(monotonic_ms())
        board.on_load(ServerName("a"))
        self.assertTrue(awaited.is_set())
