"""Which server a request is brought to, with a stand-in for the connections."""

import random
import unittest

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, AttemptId, DataHall, EntryName, ServerName
from cinderway.entry._blackboard import Blackboard
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._messages import (
    BackendRequest,
)
from cinderway.judgement import EvidenceLog
from cinderway.routing import Penalties
from cinderway.table import ServerRow, ServiceRow

SUVA, NADI = DataHall("suva"), DataHall("nadi")


class UnreachableServers:
    """Connections to servers that cannot be reached; notes which were tried."""

    idle_limit = 64

    def __init__(self):
        self.tried = []

    async def send(self, address, request, attempt_id, deadline_ms, **how):
        self.tried.append(how["expected"])
        raise CinderwayError(ErrorCode.BACKEND_FAILED, "no way", step=Step.CONNECT)


def server(name, hall):
    return ServerRow(
        name=ServerName(name),
        service="submit",
        data_hall=hall,
        address=Address("10.0.0.1:80"),
        slots=4,
    )


class DispatchTests(unittest.TestCase):
    def setUp(self):
        board = Blackboard(EntryName("e1"), SUVA, random.Random(1))
        servers = {s.name: s for s in (server("near", SUVA), server("far", NADI))}
        row = ServiceRow(name="submit")
        board.refresh_services({row.name: row}, lambda service: servers, 0)
        self.service = board.services["submit"]
        self.connections = UnreachableServers()
        self.dispatcher = Dispatcher(board, self.connections, EvidenceLog())

    def first_choice(self, penalties):
        async def attempt():
            async with self.dispatcher.exchange(
                self.service,
                BackendRequest(b"GET", b"/", [], b""),
                AttemptId("a1"),
                monotonic_ms() + 60_000,
                exclude=set(),
                is_repeatable=True,
                penalties=penalties,
            ):
                self.fail("no server answers")

        with self.assertRaises(CinderwayError):
            anyio.run(attempt)
        return self.connections.tried[-1]

    def test_penalties_decide_between_a_suspect_and_another_hall(self):
        near = self.service.servers["near"]
        near.suspect_until_ms = monotonic_ms() + 60_000
        self.assertEqual(self.first_choice(Penalties(0.7, 1.5)), "far")
        self.assertEqual(self.first_choice(Penalties(2.0, 1.5)), "near")

    def test_a_failed_attempt_gives_its_slot_back(self):
        self.first_choice(Penalties())
        self.assertEqual(self.service.servers["near"].in_flight, 0)
