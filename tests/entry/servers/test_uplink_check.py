"""Checks of the paths to servers, in virtual time."""

import random
import unittest

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, DataHall, EntryName
from cinderway.entry._blackboard import Blackboard
from cinderway.entry.servers._uplink_check import UplinkCheck
from cinderway.experiment._virtual_time import run_in_virtual_time
from cinderway.reachability import UplinkState
from cinderway.table import ServiceRow
from tests.entry.servers._model_servers import SERVICE, server_row

HALL = DataHall("suva")
CONNECT_S = 0.003


class ScriptedConnections:
    """Connects to servers unless `is_cut`; records the checks."""

    def __init__(self, board):
        self.board = board
        self.is_cut = False
        self.checks = []

    async def check(self, service, address):
        self.checks.append((service, address))
        await anyio.sleep(CONNECT_S)
        uplink = self.board.uplinks.of(service)
        if self.is_cut:
            uplink.record_unreachable(address)
        else:
            uplink.record_connected(monotonic_ms())


class UplinkCheckTests(unittest.TestCase):
    def play(self, scenario):
        async def run():
            self.board = Blackboard(EntryName("e1"), HALL, random.Random(1))
            rows = {name: server_row(name, HALL) for name in ("a", "b", "c", "d")}
            services = {name: ServiceRow(name=name) for name in (SERVICE, "empty")}
            self.board.refresh_services(
                services, lambda name: rows if name == SERVICE else {}, 0
            )
            self.uplink = self.board.uplinks.of(SERVICE)
            self.connections = ScriptedConnections(self.board)
            check = UplinkCheck(self.board, self.connections, random.Random(1))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(check.run)
                await scenario()
                tasks.cancel_scope.cancel()

        run_in_virtual_time(run)

    def test_one_connection_shows_that_a_server_alone_cannot_be_reached(self):
        async def scenario():
            self.uplink.record_unreachable(Address("a:80"))
            await anyio.sleep(1)
            self.assertIs(self.uplink.state, UplinkState.CONNECTED)
            self.assertEqual(len(self.connections.checks), 1)
            self.assertNotIn((SERVICE, "a:80"), self.connections.checks)

        self.play(scenario)

    def test_a_cut_is_known_soon_and_its_end_too(self):
        async def scenario():
            self.connections.is_cut = True
            self.uplink.record_unreachable(Address("a:80"))
            await anyio.sleep(0.15)
            self.assertTrue(self.uplink.is_cut_off)
            self.connections.is_cut = False
            await anyio.sleep(0.4)
            self.assertIs(self.uplink.state, UplinkState.CONNECTED)

        self.play(scenario)

    def test_a_late_server_alone_costs_no_connection_if_others_answer(self):
        async def scenario():
            self.uplink.record_silence(lambda: None)
            await anyio.sleep(0.1)
            self.uplink.record_answer()
            await anyio.sleep(1)
            self.assertEqual(self.connections.checks, [])

        self.play(scenario)

    def test_a_service_without_servers_is_not_checked_again_and_again(self):
        """Its uplink is in doubt as soon as another one is cut off."""

        async def scenario():
            self.board.uplinks.of("empty").doubt()
            await anyio.sleep(1)
            self.assertEqual(self.connections.checks, [])

        self.play(scenario)
