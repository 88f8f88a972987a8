"""Which server a request is brought to, with a stand-in for the connections."""

import random
import unittest

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, AttemptId, DataHall, EntryName, ServerName
from cinderway.entry._blackboard import Blackboard
from cinderway.entry.servers._backends import ConnectionLostError
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._messages import (
    BackendRequest,
)
from cinderway.entry.servers._permit import Permit
from cinderway.judgement import EvidenceLog
from cinderway.routing import Penalties
from cinderway.table import ServerRow, ServiceRow

from ._model_servers import TakenAway

SUVA, NADI = DataHall("suva"), DataHall("nadi")


class UnreachableServers:
    """Connections to servers that cannot be reached; notes which were tried."""

    idle_limit = 64

    def __init__(self):
        self.tried = []

    async def send(self, address, request, attempt_id, deadline_ms, **how):
        self.tried.append(how["expected"])
        raise CinderwayError(ErrorCode.BACKEND_FAILED, "no way", step=Step.CONNECT)


class EndedServers(UnreachableServers):
    """Connections that servers close while a request is there."""

    async def send(self, address, request, attempt_id, deadline_ms, **how):
        self.tried.append(how["expected"])
        raise ConnectionLostError(
            ErrorCode.BACKEND_FAILED, "it closed", step=Step.AWAIT_ANSWER
        )


class Noting(Permit):
    """Leave to send a request; notes where it broke off."""

    def __init__(self):
        self.broken = []

    def note_broken_run(self, server, run_ms):
        self.broken.append(server)


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

    async def attempt(self, **how):
        async with self.dispatcher.exchange(
            self.service,
            BackendRequest(b"GET", b"/", [], b""),
            AttemptId("a1"),
            monotonic_ms() + 60_000,
            exclude=set(),
            is_repeatable=True,
            **how,
        ):
            self.fail("no server answers")

    def first_choice(self, penalties):
        with self.assertRaises(CinderwayError):
            anyio.run(lambda: self.attempt(penalties=penalties))
        return self.connections.tried[-1]

    def test_penalties_decide_between_a_suspect_and_another_hall(self):
        near = self.service.servers["near"]
        near.suspect_until_ms = monotonic_ms() + 60_000
        self.assertEqual(self.first_choice(Penalties(0.7, 1.5)), "far")
        self.assertEqual(self.first_choice(Penalties(2.0, 1.5)), "near")

    def test_a_failed_attempt_gives_its_slot_back(self):
        self.first_choice(Penalties())
        self.assertEqual(self.service.servers["near"].in_flight, 0)

    def test_a_permit_is_told_where_its_request_broke_off(self):
        unreachable, ended = Noting(), Noting()
        with self.assertRaises(CinderwayError):
            anyio.run(lambda: self.attempt(permit=unreachable))
        self.dispatcher.connections = EndedServers()
        with self.assertRaises(CinderwayError):
            anyio.run(lambda: self.attempt(permit=ended))
        self.assertEqual(unreachable.broken, [])
        self.assertEqual(ended.broken, self.dispatcher.connections.tried)

    def test_a_request_whose_key_is_taken_away_while_it_waits_is_not_sent(self):
        """Only further servers were checked: one that waited went out all the same."""
        permit = TakenAway()
        for waiting_for in self.service.servers.values():
            waiting_for.in_flight = waiting_for.row.slots
            waiting_for.pause_until_ms = monotonic_ms() + 60_000

        async def take_the_key_away():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: self.attempt(permit=permit))
                await anyio.wait_all_tasks_blocked()
                permit.is_taken_away = True
                for freed in self.service.servers.values():
                    freed.in_flight = freed.pause_until_ms = 0
                self.service.free_slot()

        with self.assertRaises(ExceptionGroup) as caught:
            anyio.run(take_the_key_away)
        (error,) = caught.exception.exceptions
        self.assertIs(error.code, ErrorCode.ACCOUNT_UNKNOWN)
        self.assertEqual(self.connections.tried, [])
