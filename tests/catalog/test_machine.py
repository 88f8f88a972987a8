import json
import random
import unittest

from hypothesis import given, strategies as st

from cinderway._errors import CinderwayError
from cinderway._ids import Address, DataHall, ServerName, ServiceName
from cinderway.catalog import (
    CatalogMachine,
    CatalogMirror,
    CatalogUpdate,
    Deregister,
    InstallSheet,
    Register,
    RegisteredServer,
    Reinstate,
    ServerStatus,
    encode_command,
)
from cinderway.catalog._compression import compress_sheet, decompress_sheet


def server(number, status=ServerStatus.ACTIVE, address=None):
    return RegisteredServer(
        ServerName(f"i-{number}"),
        ServiceName("lookup"),
        Address(f"10.0.0.{address or number}:80"),
        DataHall("suva"),
        3,
        status,
    )


def body(version, timeout_ms=1000):
    route = {
        "name": "r",
        "host": "a.example",
        "path_prefix": "/p/",
        "timeout_ms": timeout_ms,
        "service": "lookup",
    }
    services = [{"name": "lookup"}]
    content = {"version": version, "routes": [route], "services": services}
    return json.dumps(content).encode()


commands = st.one_of(
    st.builds(
        lambda n, s, a: Register(server(n, s, a)),
        st.integers(1, 5),
        st.sampled_from(ServerStatus),
        st.integers(1, 3),
    ),
    st.builds(
        lambda n, a: Reinstate(server(n, address=a)),
        st.integers(1, 5),
        st.integers(1, 3),
    ),
    st.builds(lambda n: Deregister(ServerName(f"i-{n}")), st.integers(1, 5)),
    st.builds(lambda v: InstallSheet(body(v)), st.integers(1, 9)),
    st.builds(lambda v: InstallSheet.from_body(body(v)), st.integers(1, 9)),
)


class Catalog:
    """A catalog machine that applies each command at the next log index."""

    def __init__(self):
        self.machine = CatalogMachine()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.machine.apply(self.index, encode_command(command))


class SheetVersionTests(unittest.TestCase):
    def setUp(self):
        self.catalog = Catalog()

    def test_the_highest_version_wins(self):
        self.assertTrue(self.catalog.apply(InstallSheet(body(4))).is_changed)
        self.assertFalse(self.catalog.apply(InstallSheet(body(2))).is_changed)
        self.assertEqual(self.catalog.machine.sheet.version, 4)

    def test_other_content_under_the_installed_version_is_ignored(self):
        self.catalog.apply(InstallSheet(body(4, timeout_ms=1000)))
        self.catalog.apply(InstallSheet(body(4, timeout_ms=9000)))
        self.assertEqual(self.catalog.machine.sheet.routes[0].timeout_ms, 1000)
        self.assertEqual(self.catalog.machine.sheet_body, body(4, timeout_ms=1000))


class RegistryTests(unittest.TestCase):
    def setUp(self):
        self.catalog = Catalog()

    @property
    def servers(self):
        return self.catalog.machine.registry.servers

    def test_a_late_heartbeat_does_not_reactivate_a_leaving_server(self):
        self.catalog.apply(Register(server(1)))
        self.catalog.apply(Register(server(1, ServerStatus.LEAVING)))
        self.catalog.apply(Register(server(1)))
        self.assertIs(self.servers["i-1"].status, ServerStatus.LEAVING)

    def test_a_late_heartbeat_does_not_bring_back_a_server_that_left(self):
        self.catalog.apply(Register(server(1)))
        self.catalog.apply(Deregister(ServerName("i-1")))
        self.catalog.apply(Register(server(1)))
        self.assertEqual(self.servers, {})

    def test_a_server_that_left_before_it_registered_stays_out(self):
        self.catalog.apply(Deregister(ServerName("i-1")))
        self.catalog.apply(Register(server(1)))
        self.assertEqual(self.servers, {})

    def test_a_new_server_at_an_address_replaces_the_previous_one(self):
        self.catalog.apply(Register(server(1)))
        self.catalog.apply(Register(server(2, address=1)))
        self.assertEqual(list(self.servers), ["i-2"])

    @given(st.lists(commands, max_size=30))
    def test_addresses_are_unique_and_no_removed_server_is_registered(self, given):
        self.catalog = Catalog()
        for command in given:
            self.catalog.apply(command)
        addresses = [found.address for found in self.servers.values()]
        self.assertEqual(len(addresses), len(set(addresses)))
        self.assertFalse(self.servers.keys() & self.catalog.machine.registry.gone)


class MirrorTests(unittest.TestCase):
    @given(st.lists(commands, max_size=30), st.sets(st.integers(0, 30)))
    def test_a_mirror_that_skips_revisions_converges(self, given, update_steps):
        catalog, mirror = Catalog(), CatalogMirror()
        for step, command in enumerate(given):
            catalog.apply(command)
            if step in update_steps:
                mirror.install(catalog.machine.update_since(mirror.revision))
        mirror.install(catalog.machine.update_since(mirror.revision))
        self.assertEqual(mirror.servers, catalog.machine.registry.servers)
        self.assertEqual(mirror.sheet, catalog.machine.sheet)

    @given(st.lists(commands, max_size=30), st.integers(0, 30))
    def test_a_machine_restored_from_a_snapshot_behaves_the_same(self, given, cut):
        uninterrupted, original, restored = Catalog(), Catalog(), Catalog()
        for command in given[:cut]:
            uninterrupted.apply(command)
            original.apply(command)
        restored.machine.restore(original.machine.capture_snapshot()())
        restored.index = original.index
        for command in given[cut:]:
            uninterrupted.apply(command)
            restored.apply(command)
        self.assertEqual(
            uninterrupted.machine.update_since(0), restored.machine.update_since(0)
        )

    def test_an_older_update_is_not_installed(self):
        catalog, mirror = Catalog(), CatalogMirror()
        catalog.apply(InstallSheet(body(1)))
        older = catalog.machine.update_since(0)
        catalog.apply(InstallSheet(body(2)))
        self.assertTrue(mirror.install(catalog.machine.update_since(0)))
        self.assertFalse(mirror.install(older))
        self.assertEqual(mirror.sheet.version, 2)

    def test_an_update_with_an_unknown_base_revision_is_not_installed(self):
        catalog, mirror = Catalog(), CatalogMirror()
        catalog.apply(Register(server(1)))
        catalog.apply(Register(server(2)))
        self.assertFalse(mirror.install(catalog.machine.update_since(1)))
        self.assertEqual(mirror.servers, {})


class UndecodableTests(unittest.TestCase):
    """Data that another build wrote, or that is damaged, must not end the process."""

    def test_an_undecodable_command_is_skipped(self):
        catalog = Catalog()
        catalog.apply(Register(server(1)))
        with self.assertLogs("cinderway", "ERROR"):
            catalog.machine.apply(2, b"\x81\xa4type\xa7unknown")
            catalog.machine.apply(3, b"\xc1")
        self.assertEqual(list(catalog.machine.registry.servers), ["i-1"])
        self.assertEqual(catalog.machine.revision, 1)

    @given(st.binary(max_size=60), st.binary(max_size=60))
    def test_an_undecodable_update_changes_nothing(self, sheet, servers):
        catalog, mirror = Catalog(), CatalogMirror()
        catalog.apply(Register(server(1)))
        mirror.install(catalog.machine.update_since(0))
        update = CatalogUpdate(1, 2, sheet, servers, [ServerName("i-1")])
        try:
            mirror.install(update)
        except CinderwayError:
            self.assertEqual((mirror.revision, list(mirror.servers)), (1, ["i-1"]))


class PackedSheetTests(unittest.TestCase):
    def test_the_sheet_reads_back_as_the_operator_sent_it(self):
        catalog = Catalog()
        catalog.apply(InstallSheet.from_body(body(3)))
        self.assertEqual(catalog.machine.sheet_body, body(3))

    def test_a_sheet_of_many_routes_compresses_to_less_than_half(self):
        rng = random.Random(1)
        rows = [
            [f"r-{rng.getrandbits(32):x}", f"{rng.getrandbits(24):x}.example", "once"]
            for _ in range(1_700)
        ]
        text = json.dumps({"version": 1, "rows": rows}).encode()
        self.assertLess(len(compress_sheet(text)) * 2, len(text))
        self.assertEqual(decompress_sheet(compress_sheet(text)), text)


class DisplacedTests(unittest.TestCase):
    """A heartbeat of a finished start arrives after its successor has registered.

    The servers report no start times, so the finished start displaces the live server
    at its address. The live server must be reinstated.
    """

    def setUp(self):
        self.catalog = Catalog()
        self.catalog.apply(Register(server(2, address=1)))
        self.catalog.apply(Register(server(1, address=1)))

    @property
    def registry(self):
        return self.catalog.machine.registry

    def test_the_live_server_is_reinstated(self):
        self.catalog.apply(Reinstate(server(2, address=1)))
        self.assertEqual(list(self.registry.servers), ["i-2"])
        self.assertFalse(self.registry.has_left("i-2"))
        self.assertFalse(self.registry.has_left("i-1"))

    def test_a_single_late_heartbeat_displaces_nobody(self):
        self.catalog.apply(Register(server(2, address=1)))
        self.assertEqual(list(self.registry.servers), ["i-1"])

    def test_mirrors_receive_the_reinstatement(self):
        mirror = CatalogMirror()
        mirror.install(self.catalog.machine.update_since(0))
        self.assertEqual(list(mirror.servers), ["i-1"])
        self.catalog.apply(Reinstate(server(2, address=1)))
        update = self.catalog.machine.update_since(mirror.revision)
        self.assertTrue(mirror.install(update))
        self.assertEqual(list(mirror.servers), ["i-2"])

    def test_a_leaving_server_is_reinstated_as_leaving(self):
        self.catalog.apply(Reinstate(server(2, address=1)))
        self.catalog.apply(Register(server(2, ServerStatus.LEAVING, address=1)))
        self.catalog.apply(Register(server(3, address=1)))
        self.catalog.apply(Reinstate(server(2, address=1)))
        self.assertIs(self.registry.servers["i-2"].status, ServerStatus.LEAVING)

    def test_a_deregistered_server_is_not_reinstated(self):
        self.catalog.apply(Deregister(ServerName("i-2")))
        self.assertTrue(self.registry.has_left("i-2"))
        self.catalog.apply(Reinstate(server(2, address=1)))
        self.assertEqual(list(self.registry.servers), ["i-1"])

    def test_a_snapshot_keeps_displaced_servers(self):
        machine = CatalogMachine()
        machine.restore(self.catalog.machine.capture_snapshot()())
        self.assertFalse(machine.registry.has_left("i-2"))
