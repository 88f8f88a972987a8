"""How the entries of a data hall share loads and rejections of backend servers."""

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
from cinderway.entry.servers._slots import SlotRequirements
from cinderway.judgement import IN_FLIGHT_MS, SUSPICION_MS, EvidenceLog
from cinderway.routing import DEFAULT_PENALTIES, Penalties

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

    def report_loads(self, **loads):
        reported = [ServerLoad(ServerName(name), load) for name, load in loads.items()]
        message = ServerLoads(reported)
        self.state.receive_loads(message, monotonic_ms())

    def choice(self, penalties=DEFAULT_PENALTIES):
        service = self.state.board.services[SERVICE]
        # Chooses anew each time: no request is counted as sent.
        wanted = SlotRequirements(
            monotonic_ms() + 60_000,
            exclude=set(),
            penalties=penalties,
            objective_at_ms=None,
            permit=UNLIMITED,
        )
        return self.dispatcher.slots._find_server(service, wanted, monotonic_ms()).name

    def test_loads_reported_by_another_entry_decide_the_choice_of_server(self):
        self.report_loads(a=1.5, b=0.5)
        self.assertEqual({self.choice() for _ in range(20)}, {"b"})
        self.report_loads(a=0.25, b=2.0)
        self.assertEqual({self.choice() for _ in range(20)}, {"a"})

    def test_servers_of_another_hall_are_not_considered_idle(self):
        far = self.servers["b"]
        far.row = dataclasses.replace(far.row, data_hall=DataHall("nadi"))
        # Full, but hardly fuller than the other hall's server by its entries' reports.
        others = ServerLoads([ServerLoad("b", NO_LOAD, in_flight=3)])
        self.state.receive_fleet_loads(others, monotonic_ms())
        self.report_loads(a=1.25)
        self.assertEqual(self.choice(Penalties(other_hall=0.7)), "a")
        self.report_loads(a=2.0)
        self.assertEqual(self.choice(Penalties(other_hall=0.7)), "b")

    def test_a_sent_request_is_reported_to_other_entries_at_once(self):
        self.report_loads(a=0.5, b=2.0)
        server = self.servers["a"]
        self.dispatcher.recorder.record_sent(server, server.load_known_at_ms)
        now_ms = server.load_known_at_ms
        reported = self.state.pop_loads(now_ms)
        self.assertEqual(reported.servers, [ServerLoad("a", 0.75, in_flight=1)])
        self.assertEqual(self.state.pop_loads(now_ms).servers, [])

    def test_no_load_is_reported_for_servers_that_report_none(self):
        self.dispatcher.recorder.record_sent(self.servers["a"], monotonic_ms())
        reported = self.state.pop_loads(monotonic_ms())
        self.assertEqual(reported.servers, [ServerLoad("a", NO_LOAD, in_flight=1)])
        self.assertEqual(self.servers["a"].known_load, 0)

    def test_requests_in_flight_of_the_fleet_count_after_the_load_has_decayed(
        self,
    ):
        hanging = ServerLoads([ServerLoad("a", 1.0, in_flight=4)])
        self.state.receive_fleet_loads(hanging, monotonic_ms())
        long_after_ms = monotonic_ms() + 60_000
        self.assertEqual(self.servers["a"].load_at(long_after_ms), 1)
        self.assertEqual({self.choice() for _ in range(20)}, {"b"})

    def test_requests_in_flight_here_count_if_the_replica_does_not_know_them(self):
        server = self.servers["a"]
        for _ in range(2):
            self.dispatcher.recorder.record_sent(server, monotonic_ms())
        reported = ServerLoads([ServerLoad("a", NO_LOAD, in_flight=1)])
        self.state.receive_fleet_loads(reported, monotonic_ms())
        self.assertEqual(server.fleet_in_flight, 2)
        server.end_request()
        server.end_request()
        self.assertEqual((server.in_flight, server.fleet_in_flight), (0, 0))

    def test_all_requests_in_flight_are_reported_to_the_next_replica(self):
        self.dispatcher.recorder.record_sent(self.servers["a"], monotonic_ms())
        self.state.pop_loads(monotonic_ms())
        others = ServerLoads([ServerLoad("a", NO_LOAD, 4), ServerLoad("b", NO_LOAD, 4)])
        self.state.receive_fleet_loads(others, monotonic_ms())
        self.state.reset_for_new_replica()
        reported = self.state.pop_loads(monotonic_ms())
        self.assertEqual(reported.servers, [ServerLoad("a", NO_LOAD, in_flight=1)])
        self.assertEqual(self.servers["b"].fleet_in_flight, 0)

    def test_loads_of_unknown_servers_are_ignored(self):
        self.report_loads(unknown=1.0, a=0.5)
        self.assertEqual(self.servers["a"].known_load, 0.5)


class RejectionTests(unittest.TestCase):
    """Under overload servers reject requests all the time, at each entry.

    Guards against one report to the data hall for each rejected request.
    """

    def setUp(self):
        # The clock does not advance.
        self.enterContext(monotonic_source(lambda: 1_000_000_000_000))
        board = Blackboard(EntryName("e1"), SUVA, random.Random(1))
        self.state = CatalogBoard(board, EvidenceLog(), lone_retry_percent=5)
        self.state.install(catalog(["a", "b"]).update_since(0), now_ms=0)

    def reported(self):
        return self.state.pop_rejecting_servers(monotonic_ms()).servers

    def test_a_server_that_rejects_many_requests_is_reported_once(self):
        for _ in range(50):
            self.state.board.on_rejection(ServerName("a"))
        self.assertEqual(self.reported(), ["a"])
        self.state.board.on_rejection(ServerName("a"))
        self.assertEqual(self.reported(), [])
        self.assertFalse(self.state.has_rejections.is_set())

    def test_a_server_that_another_entry_has_just_reported_is_not_reported_again(self):
        self.state.receive_message(
            SuspectServers(["a"], [SUSPICION_MS]), monotonic_ms()
        )
        self.state.board.on_rejection(ServerName("a"))
        self.assertEqual(self.reported(), [])

    def test_a_server_that_another_entry_reported_earlier_is_reported_again(self):
        left_ms = SUSPICION_MS - IN_FLIGHT_MS
        self.state.receive_message(SuspectServers(["a"], [left_ms]), monotonic_ms())
        self.state.board.on_rejection(ServerName("a"))
        self.assertEqual(self.reported(), ["a"])


class LoadsChangedTests(unittest.TestCase):
    def test_a_waiter_is_woken_although_another_task_collected_no_loads_meanwhile(self):
        board = Blackboard(EntryName("e1"), SUVA, random.Random(1))
        state = CatalogBoard(board, EvidenceLog(), lone_retry_percent=5)
        awaited = state.loads_changed
        state.pop_loads(monotonic_ms())
        board.on_load_change(ServerName("a"))
        self.assertTrue(awaited.is_set())
