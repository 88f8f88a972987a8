"""A backend server starts again under the id that it had.

Its id used to stand for one start. A server that crashed and came back under its id got
no work again, or got it at its old address: the registry took its heartbeats for late
ones of the start that was over.
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


def start(server_id, started_at_ms, status=ACTIVE, address=None, slots=3):
    """What one start of a server says of itself."""
    return RegisteredServer(
        ServerName(server_id),
        ServiceName("lookup"),
        Address(f"10.0.0.{address or server_id}:80"),
        DataHall("suva"),
        slots,
        status,
        started_at_ms=started_at_ms,
    )


class StartCase(unittest.TestCase):
    def setUp(self):
        self.catalog = Catalog()

    def apply(self, *commands):
        for command in commands:
            self.catalog.apply(command)

    @property
    def registry(self):
        return self.catalog.machine.registry

    def known(self):
        """Id, start and status of each server that is registered."""
        return {
            (server.told_id, server.started_at_ms, server.status)
            for server in self.registry.servers.values()
        }


class RestartTests(StartCase):
    def test_one_that_left_gets_work_again_when_it_starts_again(self):
        self.apply(
            Register(start("1", 100)), Deregister("1"), Register(start("1", 200))
        )
        self.assertEqual(self.known(), {("1", 200, ACTIVE)})

    def test_one_that_crashed_while_it_left_is_active_when_it_starts_again(self):
        self.apply(
            Register(start("1", 100)),
            Register(start("1", 100, LEAVING)),
            Register(start("1", 200)),
        )
        self.assertEqual(self.known(), {("1", 200, ACTIVE)})

    def test_one_that_starts_again_elsewhere_is_used_where_it_is_now(self):
        self.apply(Register(start("1", 100)), Register(start("1", 200, address=7)))
        (server,) = self.registry.servers.values()
        self.assertEqual(server.address, "10.0.0.7:80")

    def test_each_start_has_a_name_of_its_own_and_the_id_that_it_told(self):
        self.apply(Register(start("1", 100)))
        (first,) = self.registry.servers
        self.apply(Register(start("1", 200)))
        (second,) = self.registry.servers
        self.assertEqual(first, "1")
        self.assertNotEqual(second, first)
        self.assertEqual(self.registry.servers[second].told_id, "1")

    def test_entries_drop_the_earlier_start_and_get_the_later_one(self):
        mirror = CatalogMirror()
        self.apply(Register(start("1", 100)))
        mirror.install(self.catalog.machine.update_since(0))
        self.apply(Register(start("1", 200)))
        mirror.install(self.catalog.machine.update_since(mirror.revision))
        self.assertEqual([s.started_at_ms for s in mirror.servers.values()], [200])

    def test_a_name_is_not_given_twice(self):
        self.apply(Register(start("1~2", 50, address=9)))
        self.apply(Register(start("1", 100)), Register(start("1", 200)))
        self.assertEqual({s[0] for s in self.known()}, {"1", "1~2"})

    def test_a_start_that_left_unheard_takes_no_other_servers_name(self):
        self.apply(Register(start("1~2", 50, address=9)))
        self.apply(Register(start("1", 100)), Deregister("1", started_at_ms=200))
        self.assertEqual(self.known(), {("1~2", 50, ACTIVE)})


class LateWordTests(StartCase):
    def test_a_heartbeat_of_an_earlier_start_changes_nothing(self):
        self.apply(Register(start("1", 200)), Register(start("1", 100, LEAVING)))
        self.assertEqual(self.known(), {("1", 200, ACTIVE)})

    def test_an_earlier_start_that_leaves_takes_no_later_one_out(self):
        self.apply(Register(start("1", 200)), Deregister("1", started_at_ms=100))
        self.assertEqual(self.known(), {("1", 200, ACTIVE)})

    def test_a_start_that_left_is_not_brought_back_by_its_own_late_heartbeat(self):
        self.apply(
            Register(start("1", 100)),
            Deregister("1", started_at_ms=100),
            Register(start("1", 100)),
        )
        self.assertEqual(self.known(), set())

    def test_a_start_that_left_before_it_was_known_stays_out(self):
        self.apply(
            Register(start("1", 100)),
            Deregister("1", started_at_ms=200),
            Register(start("1", 200)),
        )
        self.assertEqual(self.known(), set())

    def test_a_late_word_of_the_former_server_at_an_address_displaces_nobody(self):
        self.apply(
            Register(start("2", 200, address=1)), Register(start("1", 100, address=1))
        )
        self.assertEqual(self.known(), {("2", 200, ACTIVE)})

    def test_a_server_displaced_by_a_later_start_at_its_address_is_out_for_good(self):
        self.apply(
            Register(start("1", 100)),
            Register(start("2", 200, address=1)),
            Reinstate(start("1", 100)),
        )
        self.assertEqual(self.known(), {("2", 200, ACTIVE)})


class UntoldStartTests(StartCase):
    """Heartbeats of writers that do not tell their start: the stricter reading."""

    def test_without_a_start_one_that_left_stays_out(self):
        self.apply(Register(start("1", 100)), Deregister("1"), Register(start("1", 0)))
        self.assertEqual(self.known(), set())

    def test_without_a_start_a_server_can_only_leave(self):
        self.apply(Register(start("1", 100)), Register(start("1", 0, address=5)))
        self.assertEqual(self.known(), {("1", 100, ACTIVE)})
        self.apply(Register(start("1", 0, LEAVING)))
        self.assertEqual(self.known(), {("1", 100, LEAVING)})

    def test_a_start_that_is_told_later_is_learned(self):
        self.apply(Register(start("1", 0)), Register(start("1", 100)))
        self.assertEqual(list(self.registry.servers), ["1"])
        self.assertEqual(self.known(), {("1", 100, ACTIVE)})

    def test_a_delete_without_a_start_takes_out_the_newest_one(self):
        self.apply(
            Register(start("1", 100)), Register(start("1", 200)), Deregister("1")
        )
        self.assertEqual(self.known(), set())
        self.assertTrue(self.registry.has_left("1", 200))


class EarlierBuildTests(StartCase):
    """State that was written before starts were told apart."""

    COMMAND = (
        b"\x82\xa4type\xa8register\xa6server\x88\xa9server_id\xa3i-1\xa7service\xa6lookup"
        b"\xa7address\xab10.0.0.1:80\xa9data_hall\xa4suva\xa5slots\x03\xa6status\xa6active"
        b"\xa8software\xa0\xa9warmup_ms\x00"
    )

    def test_its_commands_are_read(self):
        server = decode_command(self.COMMAND).server
        self.assertEqual((server.server_id, server.started_at_ms), ("i-1", 0))

    def test_its_snapshots_are_read(self):
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
class Platform:
    """The truth: each server's starts, and which of them have left."""

    newest: dict[str, RegisteredServer]
    left: set[tuple[str, int]]

    @property
    def alive(self) -> set[tuple[str, int]]:
        starts = {(i, s.started_at_ms) for i, s in self.newest.items()}
        return starts - self.left


# Starts of a few ids, each at an address of its own, in an order that time gives them.
histories = st.lists(
    st.tuples(st.sampled_from("123"), st.booleans()), min_size=1, max_size=8
)


def words_of(history: Iterable[tuple[str, bool]]) -> tuple[list, Platform]:
    """Return everything the starts of a history say, and what is true after it."""
    words, platform = [], Platform({}, set())
    for number, (server_id, leaves) in enumerate(history, 1):
        told = start(server_id, 100 * number, address=server_id)
        platform.newest[server_id] = told
        words += [Register(told)] * 2
        if leaves:
            words.append(Register(msgspec.structs.replace(told, status=LEAVING)))
            words.append(Deregister(server_id, started_at_ms=100 * number))
            platform.left.add((server_id, 100 * number))
    return words, platform


class AnyOrderTests(unittest.TestCase):
    @given(histories, st.randoms(use_true_random=False))
    def test_in_any_order_the_newest_starts_that_have_not_left_remain(
        self, history, rng
    ):
        words, platform = words_of(history)
        rng.shuffle(words)
        catalog, mirror = Catalog(), CatalogMirror()
        for word in words:
            catalog.apply(word)
            mirror.install(catalog.machine.update_since(mirror.revision))
            self.assert_one_start_an_id(catalog)
        servers = catalog.machine.registry.servers
        known = {(s.told_id, s.started_at_ms) for s in servers.values()}
        self.assertEqual(known, platform.alive)
        self.assertEqual(mirror.servers, servers)

    @given(histories, st.randoms(use_true_random=False), st.integers(0, 30))
    def test_a_replica_that_joins_by_a_snapshot_agrees(self, history, rng, cut):
        words, _ = words_of(history)
        rng.shuffle(words)
        whole, joined = Catalog(), Catalog()
        for word in words[:cut]:
            whole.apply(word)
        joined.machine.restore(whole.machine.freeze()())
        joined.index = whole.index
        for word in words[cut:]:
            whole.apply(word)
            joined.apply(word)
        self.assertEqual(whole.machine.update_since(0), joined.machine.update_since(0))

    def assert_one_start_an_id(self, catalog):
        ids = [s.told_id for s in catalog.machine.registry.servers.values()]
        self.assertEqual(len(ids), len(set(ids)))
