"""A server that asks for rest is left alone for that long, on every way to it.

A server turned a payout away with 503 and asked the entry for 3 s of rest. Its next
requests came from that entry 0.25, 0.89, 1.28 and 1.33 s later, for each server was
passed over for half to one and a half usual times, 250 ms at most, and nothing read how
long it had asked for. Having nothing to do it then looked emptiest of all: six of
nineteen servers got 548 of 733 arrivals, and 352 of 515 payouts were refused while the
others had room. A line for each of these answers settled it:

    backend server S of payout-desk turned request R away: status 429, retry-after 1,
    1 requests of this entry there; paused for 250 ms

and of the 146 next ones of an entry to the same server 78 came within that second.
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
    TakenAway,
    server_row,
    turned_away,
)

SUVA = DataHall("suva")
REST_MS = 3_000
# What was under way when the server asked may still reach it.
UNDER_WAY_MS = 500
RESTING = "tired"
LEAVING = [(b"cinderway-drain", b"1")]


class World:
    """One entry before a few servers of a service."""

    def __init__(self, answer_of, names=(RESTING, "fit"), connect_ms=0):
        self.board = Blackboard(EntryName("e1"), SUVA, random.Random(1))
        self.servers = {row.name: row for row in (server_row(n, SUVA) for n in names)}
        self.row = ServiceRow(name=SERVICE)
        self.refresh()
        self.connections = ModelServers(answer_of, connect_ms)
        self.dispatcher = Dispatcher(self.board, self.connections, EvidenceLog())
        self.outcomes = []

    def refresh(self, is_there=True):
        """Take over servers, as after each change of the table or the catalog."""
        servers = self.servers if is_there else {}
        rows = {SERVICE: self.row}
        self.board.refresh_services(rows, lambda _: servers, monotonic_ms())

    async def ask(self, permit=UNLIMITED, objective_ms=None):
        """Send one request; note its status, or the code of its error."""
        began_ms = monotonic_ms()
        objective_at_ms = None if objective_ms is None else began_ms + objective_ms
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

    def sent_during_rest(self):
        """Return when requests came to the server in the time that it asked for."""
        asked_at_ms, *later_ms = self.connections.arrivals_at(RESTING)
        since_ms = [at_ms - asked_at_ms for at_ms in later_ms]
        return [ms for ms in since_ms if UNDER_WAY_MS < ms < REST_MS]


def rests(name):
    return turned_away(b"3") if name == RESTING else (OK, [])


class RestTests(unittest.TestCase):
    def test_a_server_that_asks_for_rest_gets_nothing_until_it_is_over(self):
        async def play():
            world = World(rests)
            await world.ask_often(REST_MS)
            return world

        world = run_in_virtual_time(play)
        self.assertEqual(world.sent_during_rest(), [])
        # It is not even chosen: the others go to the other server at once.
        self.assertEqual(set(world.outcomes), {OK, ErrorCode.BACKEND_SHED})

    def test_a_request_that_waits_for_its_connection_hears_what_came_meanwhile(self):
        async def play():
            world = World(rests, names=(RESTING,), connect_ms=600)
            async with anyio.create_task_group() as tasks:
                # Chosen before the server asks for rest, and 600 ms on the way.
                tasks.start_soon(world.ask)
                tasks.start_soon(world.ask)
                await anyio.sleep(0.05)
                world.connections.connect_ms = 0
                await world.ask()
            return world

        self.assertEqual(run_in_virtual_time(play).sent_during_rest(), [])

    def test_what_may_no_longer_be_sent_at_all_is_not_written_either(self):
        """A key was taken away, or servers ended under the same request meanwhile."""

        async def play():
            world = World(lambda name: (OK, []), connect_ms=600)
            permit = TakenAway()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.ask, permit)
                await anyio.sleep(0.3)
                permit.is_taken_away = True
            return world

        world = run_in_virtual_time(play)
        self.assertEqual(world.connections.arrivals, [])
        self.assertEqual(world.outcomes, [ErrorCode.ACCOUNT_UNKNOWN])


class LeavingTests(unittest.TestCase):
    def test_a_server_that_said_it_leaves_gets_nothing_after_it_was_listed_anew(self):
        async def play():
            world = World(lambda name: (OK, LEAVING if name == RESTING else []))
            await world.ask_often(1_000)
            world.refresh(is_there=False)
            world.refresh()
            before = len(world.connections.arrivals_at(RESTING))
            await world.ask_often(1_000)
            return len(world.connections.arrivals_at(RESTING)) - before

        self.assertEqual(run_in_virtual_time(play), 0)
