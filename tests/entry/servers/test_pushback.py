"""A server that requests a backoff gets no requests for that time, on every path.

Guards against ignoring Retry-After. A server shed a payout with 503 and requested a
backoff of 3 s, but the entry sent it requests again 0.25, 0.89, 1.28 and 1.33 s later,
because a shed paused a server only for half to one and a half usual latencies, 250 ms
at most. Since such servers were idle, they then looked least loaded: six of nineteen
servers got 548 of 733 requests, and 352 of 515 payouts were rejected while the other
servers had capacity. Log lines showed pauses of 250 ms after a 429 with a Retry-After
of 1 s: of the next 146 requests of an entry to the same server, 78 came within that
second.
"""

import random
import unittest

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode
from cinderway._ids import AttemptId, DataHall, EntryName
from cinderway.entry._blackboard import Blackboard
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._messages import BackendRequest
from cinderway.entry.servers._permit import UNLIMITED
from cinderway.experiment._virtual_time import run_in_virtual_time
from cinderway.judgement import EvidenceLog
from cinderway.table import ServiceRow

from ._model_servers import (
    OK,
    SERVICE,
    ModelServers,
    RevocablePermit,
    build_shed_answer,
    server_row,
)

SUVA = DataHall("suva")
BACKOFF_MS = 3_000
# Requests in flight when the server requested the backoff may still reach it.
IN_FLIGHT_MS = 500
BACKING_OFF = "tired"
LEAVING = [(b"cinderway-drain", b"1")]


class World:
    """One entry with a few servers of a service."""

    def __init__(self, answer_of, names=(BACKING_OFF, "fit"), connect_ms=0):
        self.board = Blackboard(EntryName("e1"), SUVA, random.Random(1))
        self.servers = {row.name: row for row in (server_row(n, SUVA) for n in names)}
        self.row = ServiceRow(name=SERVICE)
        self.refresh()
        self.connections = ModelServers(answer_of, connect_ms)
        self.dispatcher = Dispatcher(self.board, self.connections, EvidenceLog())
        self.outcomes = []

    def refresh(self, is_there=True):
        """Apply the list of servers, as after a change of the table or the catalog."""
        servers = self.servers if is_there else {}
        rows = {SERVICE: self.row}
        self.board.refresh_services(rows, lambda _: servers, monotonic_ms())

    async def ask(self, permit=UNLIMITED, objective_ms=None):
        """Send one request; record its status or the code of its error."""
        start_ms = monotonic_ms()
        objective_at_ms = None if objective_ms is None else start_ms + objective_ms
        try:
            async with self.dispatcher.exchange(
                self.board.services[SERVICE],
                BackendRequest(b"POST", b"/", [], b""),
                AttemptId("a1"),
                monotonic_ms() + 2_000,
                exclude=set(),
                is_repeatable=False,
                permit=permit,
                objective_at_ms=objective_at_ms,
            ) as exchange:
                self.outcomes.append(exchange.answer.status)
        except CinderwayError as error:
            self.outcomes.append(error.code)

    async def ask_often(self, for_ms, pause_ms=50):
        """Send a request every `pause_ms`."""
        async with anyio.create_task_group() as tasks:
            for _ in range(0, for_ms, pause_ms):
                tasks.start_soon(self.ask)
                await anyio.sleep(pause_ms / 1000)

    def get_arrivals_during_backoff(self):
        """Return arrival times at the server within its requested backoff."""
        shed_at_ms, *later_ms = self.connections.arrivals_at(BACKING_OFF)
        since_ms = [at_ms - shed_at_ms for at_ms in later_ms]
        return [ms for ms in since_ms if IN_FLIGHT_MS < ms < BACKOFF_MS]


def answer_with_backoff(name):
    return build_shed_answer(b"3") if name == BACKING_OFF else (OK, [])


class BackoffTests(unittest.TestCase):
    def test_a_server_gets_no_requests_during_its_backoff(self):
        async def play():
            world = World(answer_with_backoff)
            await world.ask_often(BACKOFF_MS)
            return world

        world = run_in_virtual_time(play)
        self.assertEqual(world.get_arrivals_during_backoff(), [])
        # It is not even chosen: all other requests go to the other server at once.
        self.assertEqual(set(world.outcomes), {OK, ErrorCode.BACKEND_SHED})

    def test_a_request_waiting_for_its_connection_respects_new_pushback(self):
        async def play():
            world = World(answer_with_backoff, names=(BACKING_OFF,), connect_ms=600)
            async with anyio.create_task_group() as tasks:
                # Chosen before the server requests a backoff; connecting takes 600 ms.
                tasks.start_soon(world.ask)
                tasks.start_soon(world.ask)
                await anyio.sleep(0.05)
                world.connections.connect_ms = 0
                await world.ask()
            return world

        self.assertEqual(run_in_virtual_time(play).get_arrivals_during_backoff(), [])

    def test_a_request_whose_permit_is_revoked_is_not_written(self):
        """A key was revoked, or the same request ended other servers meanwhile."""

        async def play():
            world = World(lambda name: (OK, []), connect_ms=600)
            permit = RevocablePermit()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.ask, permit)
                await anyio.sleep(0.3)
                permit.is_revoked = True
            return world

        world = run_in_virtual_time(play)
        self.assertEqual(world.connections.arrivals, [])
        self.assertEqual(world.outcomes, [ErrorCode.ACCOUNT_UNKNOWN])


class LeavingTests(unittest.TestCase):
    def test_a_leaving_server_gets_no_requests_after_it_is_listed_again(self):
        async def play():
            world = World(lambda name: (OK, LEAVING if name == BACKING_OFF else []))
            await world.ask_often(1_000)
            world.refresh(is_there=False)
            world.refresh()
            before = len(world.connections.arrivals_at(BACKING_OFF))
            await world.ask_often(1_000)
            return len(world.connections.arrivals_at(BACKING_OFF)) - before

        self.assertEqual(run_in_virtual_time(play), 0)
