"""Gossip between entries of a data hall while control is unreachable."""

import random
import socket
import unittest

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, DataHall, EntryName
from cinderway.catalog import ServerLoad, ServerLoads, SuspectServers
from cinderway.entry._blackboard import Blackboard
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.fleet._hall_peers import SERVERS_PER_DATAGRAM, HallPeers
from cinderway.judgement import EvidenceLog, FailureKind
from tests.entry.test_catalog_board import SERVICE, SUVA, catalog

KEY = b"a key that is long enough"


def free_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(f"127.0.0.1:{probe.getsockname()[1]}")


def entry(name, key=KEY, is_disconnected=True):
    board = Blackboard(EntryName(name), DataHall(SUVA), random.Random(1))
    state = CatalogBoard(board, EvidenceLog(), lone_retry_percent=5)
    state.install(catalog(["a", "b"]).update_since(0), now_ms=0)
    wait = anyio.sleep if is_disconnected else _sleep_forever
    return HallPeers(
        state, free_address(), key, lambda: is_disconnected, lambda: wait(0)
    )


async def _sleep_forever(_):
    await anyio.sleep_forever()


def set_load(peers, name, load):
    """Make a server report its load to an entry."""
    server_of(peers, name).record_load(load, monotonic_ms())
    peers.state.board.on_load_change(name)


def server_of(peers, name):
    return peers.state.board.services[SERVICE].servers[name]


class HallPeersTests(unittest.TestCase):
    def test_a_server_that_fails_at_one_entry_is_suspect_at_another(self):
        one, other = entry("e1"), entry("e2")
        one.state.record_alarm("a", FailureKind.ERROR)
        for message in one.take_pending_messages():
            other.receive_datagram(one.encode_datagram(message))
        self.assertGreater(server_of(other, "a").suspect_until_ms, monotonic_ms())
        self.assertEqual(server_of(other, "b").suspect_until_ms, 0)

    def test_loads_are_sent(self):
        one, other = entry("e1"), entry("e2")
        set_load(one, "b", 0.5)
        for message in one.take_pending_messages():
            other.receive_datagram(one.encode_datagram(message))
        server = server_of(other, "b")
        # A known load decays by a thousandth each millisecond.
        self.assertAlmostEqual(server.known_load, 0.5, delta=0.05)

    def test_changes_are_sent_once(self):
        one = entry("e1")
        one.state.record_alarm("a", FailureKind.ERROR)
        self.assertEqual(len(list(one.take_pending_messages())), 1)
        self.assertEqual(list(one.take_pending_messages()), [])

    def test_datagrams_without_a_valid_mac_are_dropped(self):
        stranger, other = entry("e1", key=b"another key of some length"), entry("e2")
        suspects = SuspectServers(["a"], [2_000])
        other.receive_datagram(stranger.encode_datagram(suspects))
        other.receive_datagram(b"")
        other.receive_datagram(b"\0" * 300)
        self.assertEqual(server_of(other, "a").suspect_until_ms, 0)
        self.assertEqual(other.received_messages, 0)

    def test_a_datagram_stays_below_the_size_at_which_it_is_fragmented(self):
        one = entry("e1")
        names = [f"i-{number:010x}" for number in range(3 * SERVERS_PER_DATAGRAM)]
        one.state.install(catalog(names).update_since(0), now_ms=0)
        for name in names:
            set_load(one, name, 1.0)
        sizes = [
            len(one.encode_datagram(message)) for message in one.take_pending_messages()
        ]
        self.assertEqual(len(sizes), 3)
        self.assertLess(max(sizes), 1_400)

    def test_entries_without_control_exchange_loads(self):
        one, other = entry("e1"), entry("e2")
        one.state.peers = [one.own_address, other.own_address]

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(one.run)
                tasks.start_soon(other.run)
                with anyio.fail_after(20):
                    while not other.received_messages:
                        set_load(one, "a", 0.75)
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

        anyio.run(run)
        self.assertAlmostEqual(server_of(other, "a").known_load, 0.75, delta=0.05)
        self.assertEqual(one.received_messages, 0)

    def test_an_entry_that_follows_control_does_not_gossip(self):
        one = entry("e1", is_disconnected=False)
        set_load(one, "a", 0.75)

        async def run():
            with anyio.move_on_after(0.3):
                await one.run()

        anyio.run(run)
        self.assertEqual(one.sent_messages, 0)
        untold = one.state.pop_loads(server_of(one, "a").load_known_at_ms)
        self.assertEqual(untold, ServerLoads([ServerLoad("a", 0.75)]))
