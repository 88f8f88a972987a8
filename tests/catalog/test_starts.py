"""A backend server restarts with the same id.

Guards against taking the heartbeats of the new start for late ones of the finished
start, which happened when the registry treated an id as a single start: a server that
crashed and came back with its id got no requests any more, or got them at its old
address.
"""

import unittest
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from hypothesis import given, strategies as st

from cinderway._ids import Address, DataHall, ServerName, ServiceName
from cinderway.catalog import (
    CatalogMachine,
    CatalogMirror,
    Deregister,
    Register,
    RegisteredServer,
    Reinstate,
    ServerStatus,
    decode_command,
)
from tests.catalog.test_machine import Catalog

ACTIVE, LEAVING = ServerStatus.ACTIVE, ServerStatus.LEAVING


def build_start(server_id, started_at_ms, status=ACTIVE, address=None, slots=3):
    """Return one start of a server as its heartbeat describes it."""
    return RegisteredServer(
        ServerName(server_id),
        ServiceName("lookup"),
        Address(f"10.0.0.{address or server_id}:80"),
        DataHall("suva"),
        slots,
        status,
        started_at_ms=started_at_ms,
    )


class StartTestCase(unittest.TestCase):
    def setUp(self):
        self.catalog = Catalog()

    def apply(self, *commands):
        for command in commands:
            self.catalog.apply(command)

    @property
    def registry(self):
        return self.catalog.machine.registry

    def registered(self):
        """Return the id, start time and status of each registered server."""
        return {
            (server.reported_id, server.started_at_ms, server.status)
            for server in self.registry.servers.values()
        }


class RestartTests(StartTestCase):
    def test_a_server_that_left_is_active_after_a_restart(self):
        self.apply(
            Register(build_start("1", 100)),
            Deregister("1"),
            Register(build_start("1", 200)),
        )
        self.assertEqual(self.registered(), {("1", 200, ACTIVE)})

    def test_a_server_that_crashed_while_leaving_is_active_after_a_restart(self):
        self.apply(
            Register(build_start("1", 100)),
            Register(build_start("1", 100, LEAVING)),
            Register(build_start("1", 200)),
        )
        self.assertEqual(self.registered(), {("1", 200, ACTIVE)})

    def test_a_restart_at_another_address_is_registered_there(self):
        self.apply(
            Register(build_start("1", 100)), Register(build_start("1", 200, address=7))
        )
        (server,) = self.registry.servers.values()
        self.assertEqual(server.address, "10.0.0.7:80")

    def test_each_start_has_its_own_name_and_keeps_the_reported_id(self):
        self.apply(Register(build_start("1", 100)))
        (first,) = self.registry.servers
        self.apply(Register(build_start("1", 200)))
        (second,) = self.registry.servers
        self.assertEqual(first, "1")
        self.assertNotEqual(second, first)
        self.assertEqual(self.registry.servers[second].reported_id, "1")

    def test_mirrors_replace_the_earlier_start_by_the_later_one(self):
        mirror = CatalogMirror()
        self.apply(Register(build_start("1", 100)))
        mirror.install(self.catalog.machine.update_since(0))
        self.apply(Register(build_start("1", 200)))
        mirror.install(self.catalog.machine.update_since(mirror.revision))
        self.assertEqual([s.started_at_ms for s in mirror.servers.values()], [200])

    def test_a_generated_name_is_unique(self):
        self.apply(Register(build_start("1~2", 50, address=9)))
        self.apply(Register(build_start("1", 100)), Register(build_start("1", 200)))
        self.assertEqual({s[0] for s in self.registered()}, {"1", "1~2"})

    def test_an_unknown_start_that_left_takes_no_other_servers_name(self):
        self.apply(Register(build_start("1~2", 50, address=9)))
        self.apply(Register(build_start("1", 100)), Deregister("1", started_at_ms=200))
        self.assertEqual(self.registered(), {("1~2", 50, ACTIVE)})


class LateCommandTests(StartTestCase):
    def test_a_heartbeat_of_an_earlier_start_changes_nothing(self):
        self.apply(
            Register(build_start("1", 200)), Register(build_start("1", 100, LEAVING))
        )
        self.assertEqual(self.registered(), {("1", 200, ACTIVE)})

    def test_deregistration_of_an_earlier_start_keeps_the_later_one(self):
        self.apply(Register(build_start("1", 200)), Deregister("1", started_at_ms=100))
        self.assertEqual(self.registered(), {("1", 200, ACTIVE)})

    def test_a_late_heartbeat_does_not_bring_back_a_start_that_left(self):
        self.apply(
            Register(build_start("1", 100)),
            Deregister("1", started_at_ms=100),
            Register(build_start("1", 100)),
        )
        self.assertEqual(self.registered(), set())

    def test_a_start_that_left_before_it_registered_stays_out(self):
        self.apply(
            Register(build_start("1", 100)),
            Deregister("1", started_at_ms=200),
            Register(build_start("1", 200)),
        )
        self.assertEqual(self.registered(), set())

    def test_a_late_heartbeat_from_the_previous_server_displaces_nobody(self):
        self.apply(
            Register(build_start("2", 200, address=1)),
            Register(build_start("1", 100, address=1)),
        )
        self.assertEqual(self.registered(), {("2", 200, ACTIVE)})

    def test_a_server_replaced_by_a_later_start_is_not_reinstated(self):
        self.apply(
            Register(build_start("1", 100)),
            Register(build_start("2", 200, address=1)),
            Reinstate(build_start("1", 100)),
        )
        self.assertEqual(self.registered(), {("2", 200, ACTIVE)})


class UnknownStartTests(StartTestCase):
    """Heartbeats without a start time count as sent by the newest known start.

    They can neither bring a server back nor change its address.
    """

    def test_without_a_start_time_a_server_that_left_stays_out(self):
        self.apply(
            Register(build_start("1", 100)),
            Deregister("1"),
            Register(build_start("1", 0)),
        )
        self.assertEqual(self.registered(), set())

    def test_without_a_start_time_a_server_can_only_leave(self):
        self.apply(
            Register(build_start("1", 100)), Register(build_start("1", 0, address=5))
        )
        self.assertEqual(self.registered(), {("1", 100, ACTIVE)})
        self.apply(Register(build_start("1", 0, LEAVING)))
        self.assertEqual(self.registered(), {("1", 100, LEAVING)})

    def test_a_start_time_reported_later_is_recorded(self):
        self.apply(Register(build_start("1", 0)), Register(build_start("1", 100)))
        self.assertEqual(list(self.registry.servers), ["1"])
        self.assertEqual(self.registered(), {("1", 100, ACTIVE)})

    def test_deregistration_without_a_start_time_removes_the_newest_start(self):
        self.apply(
            Register(build_start("1", 100)),
            Register(build_start("1", 200)),
            Deregister("1"),
        )
        self.assertEqual(self.registered(), set())
        self.assertTrue(self.registry.has_left("1", 200))


class EarlierBuildTests(StartTestCase):
    """Data written by earlier builds, which did not distinguish starts."""

    COMMAND = (
        b"\x82\xa4type\xa8register\xa6server\x88\xa9server_id\xa3i-1\xa7service\xa6lookup"
        b"\xa7address\xab10.0.0.1:80\xa9data_hall\xa4suva\xa5slots\x03\xa6status\xa6active"
        b"\xa8software\xa0\xa9warmup_ms\x00"
    )

    def test_commands_of_earlier_builds_are_decoded(self):
        server = decode_command(self.COMMAND).server
        self.assertEqual((server.server_id, server.started_at_ms), ("i-1", 0))

    def test_snapshots_of_earlier_builds_are_decoded(self):
        row = {
            "server_id": "i-1",
            "service": "lookup",
            "address": "10.0.0.1:80",
            "data_hall": "suva",
            "slots": 3,
            "status": "active",
            "software": "",
            "warmup_ms": 0,
        }
        state = {
            "revision": 7,
            "sheet_revision": 0,
            "sheet_body": b"",
            "servers": [row],
            "server_revisions": {"i-1": 7},
            "gone": [["i-2", 6]],
            "replicas": [],
            "displaced": [],
        }
        machine = CatalogMachine()
        machine.restore(msgspec.msgpack.encode(state))
        self.assertEqual(list(machine.registry.servers), ["i-1"])
        self.assertTrue(machine.registry.has_left("i-2"))


@dataclass
class ExpectedFleet:
    """The expected state: the newest start of each server, and the starts that left."""

    newest: dict[str, RegisteredServer]
    left: set[tuple[str, int]]

    @property
    def alive(self) -> set[tuple[str, int]]:
        starts = {(i, s.started_at_ms) for i, s in self.newest.items()}
        return starts - self.left


# Starts of a few ids in order of start time, each with a flag that tells whether it
# leaves. Each id has an address of its own.
histories = st.lists(
    st.tuples(st.sampled_from("123"), st.booleans()), min_size=1, max_size=8
)


def build_commands(history: Iterable[tuple[str, bool]]) -> tuple[list, ExpectedFleet]:
    """Return all commands that a history causes, and the expected state after it."""
    commands, expected = [], ExpectedFleet({}, set())
    for number, (server_id, leaves) in enumerate(history, 1):
        server = build_start(server_id, 100 * number, address=server_id)
        expected.newest[server_id] = server
        commands += [Register(server)] * 2
        if leaves:
            commands.append(Register(msgspec.structs.replace(server, status=LEAVING)))
            commands.append(Deregister(server_id, started_at_ms=100 * number))
            expected.left.add((server_id, 100 * number))
    return commands, expected


class AnyOrderTests(unittest.TestCase):
    @given(histories, st.randoms(use_true_random=False))
    def test_in_any_order_exactly_the_newest_live_starts_remain(self, history, rng):
        commands, expected = build_commands(history)
        rng.shuffle(commands)
        catalog, mirror = Catalog(), CatalogMirror()
        for command in commands:
            catalog.apply(command)
            mirror.install(catalog.machine.update_since(mirror.revision))
            self.assert_one_start_per_id(catalog)
        servers = catalog.machine.registry.servers
        registered = {(s.reported_id, s.started_at_ms) for s in servers.values()}
        self.assertEqual(registered, expected.alive)
        self.assertEqual(mirror.servers, servers)

    @given(histories, st.randoms(use_true_random=False), st.integers(0, 30))
    def test_a_replica_restored_from_a_snapshot_agrees(self, history, rng, cut):
        commands, _ = build_commands(history)
        rng.shuffle(commands)
        uninterrupted, restored = Catalog(), Catalog()
        for command in commands[:cut]:
            uninterrupted.apply(command)
        restored.machine.restore(uninterrupted.machine.capture_snapshot()())
        restored.index = uninterrupted.index
        for command in commands[cut:]:
            uninterrupted.apply(command)
            restored.apply(command)
        self.assertEqual(
            uninterrupted.machine.update_since(0), restored.machine.update_since(0)
        )

    def assert_one_start_per_id(self, catalog):
        ids = [s.reported_id for s in catalog.machine.registry.servers.values()]
        self.assertEqual(len(ids), len(set(ids)))
