"""Requests that another entry relays, over real connections to a real server."""

import random
import threading
import unittest
from contextlib import asynccontextmanager

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, Step
from cinderway._ids import Address, AttemptId, DataHall, EntryName, ServerName
from cinderway.entry._blackboard import Blackboard
from cinderway.entry._poison_watch import PoisonWatch
from cinderway.entry.fleet._relay_server import RelayServer
from cinderway.entry.servers._backends import BackendConnections
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._messages import BackendRequest, HeaderNames
from cinderway.entry.servers._relays import RelayError, Relays
from cinderway.judgement import EvidenceLog
from cinderway.reachability import (
    PeerFailure,
    RelayedEnd,
    RelayedHead,
    RelayPeers,
)
from cinderway.table import ServerRow, ServiceRow
from cinderway.wire import Identity, serve_connections
from standins.catalog_fleet import RegisteredServer

SUVA = DataHall("suva")
NAMES = HeaderNames(
    expected=b"cinderway-expected", not_run=b"cinderway-not-run", is_attempt_echoed=True
)
KEY = b"a key that is long enough"
UNUSED_ADDRESSES = [Address(f"127.0.0.1:{port}") for port in (1, 2, 3)]


class Entry:
    """An entry's way to servers: dispatcher, relays and relay server."""

    def __init__(self, name, server):
        self.identity = Identity(name, KEY)
        self.board = Blackboard(EntryName(name), SUVA, random.Random(1))
        row = ServiceRow(name="lookup")
        listed = ServerRow(
            name=ServerName(server.server_id),
            service="lookup",
            data_hall=SUVA,
            address=Address(server.address),
            slots=3,
        )
        self.board.refresh_services(
            {row.name: row}, lambda service: {listed.name: listed}, 0
        )
        self.service = self.board.services["lookup"]
        self.server = self.service.servers[listed.name]
        connections = BackendConnections(names=NAMES, uplinks=self.board.uplinks)
        self.evidence = EvidenceLog()
        self.dispatcher = Dispatcher(self.board, connections, self.evidence)
        self.peers = RelayPeers()
        self.dispatcher.relays = Relays(self.peers, self.identity, NAMES)
        self.relay_server = RelayServer(self.board, self.dispatcher, PoisonWatch())

    def cut_off(self):
        for address in UNUSED_ADDRESSES:
            self.board.uplinks.of("lookup").record_unreachable(address)

    async def send(self, body=b"", is_repeatable=False, attempt="a1"):
        request = BackendRequest(
            b"POST",
            b"/x",
            [(b"host", b"h"), (b"content-length", b"%d" % len(body))],
            body,
        )
        async with self.dispatcher.exchange(
            self.service,
            request,
            AttemptId(attempt),
            monotonic_ms() + 5_000,
            exclude=set(),
            is_repeatable=is_repeatable,
        ) as exchange:
            chunks = [chunk async for chunk in exchange.answer.chunks()]
            return exchange.answer.status, b"".join(chunks)


class RelayTests(unittest.TestCase):
    def setUp(self):
        self.backend = RegisteredServer("i-1", "lookup")
        self.addCleanup(self.backend.stop)
        self.asking = Entry("asking", self.backend)
        self.asking.cut_off()
        self.relaying = Entry("relaying", self.backend)

    def run_with_peer(self, test):
        """Run an async test while the second entry serves relays."""

        async def run():
            async with self.serve(self.relaying):
                await test()

        anyio.run(run)

    @asynccontextmanager
    async def serve(self, entry):
        async with anyio.create_task_group() as tasks:
            routes = (entry.relay_server.route,)
            address = await tasks.start(
                serve_connections, "127.0.0.1:0", routes, entry.identity
            )
            self.asking.peers.own_hall = [Address(address)]
            yield
            tasks.cancel_scope.cancel()

    def get_error(self, test):
        """Run a test that must end with an error; return the error."""
        found = []

        async def run():
            try:
                await test()
            except CinderwayError as error:
                found.append(error)

        self.run_with_peer(run)
        return found[0]

    def test_a_request_is_answered_through_another_entry(self):
        async def test():
            self.assertEqual(await self.asking.send(b"pay"), (200, b"pay"))

        self.run_with_peer(test)
        self.assertEqual(self.backend.runs, ["a1"])
        self.assertLessEqual(self.backend.deadlines_ms[0], 5_000)
        # Only the entry that the server answered has seen it.
        self.assertEqual(self.asking.evidence.pop_counts(), {})
        self.assertEqual(len(self.relaying.evidence.pop_counts()), 1)

    def test_a_large_body_arrives_whole(self):
        body = random.Random(1).randbytes(300_000)

        async def test():
            self.assertEqual(await self.asking.send(body), (200, body))

        self.run_with_peer(test)

    def test_a_shed_request_has_not_run(self):
        self.backend.handle_attempt = lambda attempt: "shed"
        error = self.get_error(self.asking.send)
        self.assertEqual(error.code.value, "backend-shed")
        self.assertEqual(self.backend.runs, [])

    def test_a_request_whose_connection_the_server_closed_may_have_run(self):
        self.backend.handle_attempt = lambda attempt: "drop"
        error = self.get_error(self.asking.send)
        self.assertIs(error.step, Step.AWAIT_ANSWER)
        self.assertTrue(error.is_connection_lost)
        self.assertEqual(self.backend.runs, ["a1"])

    def test_an_entry_that_is_cut_off_too_or_stops_relays_nothing(self):
        def cut_off():
            self.relaying.cut_off()

        def stop():
            self.relaying.board.is_leaving = True

        for hinder, reason in ((stop, "leaving"), (cut_off, "cut-off")):
            with self.subTest(reason):
                self.relaying = Entry("relaying", self.backend)
                hinder()
                error = self.get_error(self.asking.send)
                self.assertIsInstance(error, RelayError)
                self.assertIs(error.step, Step.CONNECT)
                self.assertIn(reason, error.detail)
        self.assertEqual(self.backend.arrivals, [])

    def test_a_server_in_backoff_gets_nothing_through_that_entry(self):
        self.relaying.server.pushback.apply_backoff(60_000, monotonic_ms())
        error = self.get_error(self.asking.send)
        self.assertIn(PeerFailure.SERVER_UNUSABLE.value, error.detail)
        self.assertEqual(self.backend.arrivals, [])

    def test_an_entry_relays_a_limited_number_at_once(self):
        self.relaying.relay_server.in_progress = 16
        error = self.get_error(self.asking.send)
        self.assertIn(PeerFailure.BUSY.value, error.detail)

    def test_a_request_with_another_key_is_refused(self):
        self.asking.dispatcher.relays.identity = Identity("asking", b"some other key")
        error = self.get_error(self.asking.send)
        self.assertIs(error.step, Step.CONNECT)
        self.assertEqual(self.backend.arrivals, [])

    def test_a_lost_entry_leaves_the_outcome_unknown(self):
        self.backend.handle_attempt = lambda attempt: self.stopped.wait(5) and 200
        self.stopped = threading.Event()
        found = []

        async def send():
            try:
                await self.asking.send()
            except CinderwayError as error:
                found.append(error)

        async def run():
            async with anyio.create_task_group() as tasks:
                async with self.serve(self.relaying):
                    tasks.start_soon(send)
                    while not self.backend.arrivals:
                        await anyio.sleep(0.01)
                self.stopped.set()

        anyio.run(run)
        self.assertIs(found[0].step, Step.AWAIT_ANSWER)

    def test_an_unexpected_answer_leaves_the_outcome_unknown(self):
        """Taken for a refusal, it sent the request through a second entry."""

        async def answer_out_of_turn(connection, name):
            await connection.receive()
            await connection.send(RelayedEnd())

        self.relaying.relay_server._serve = answer_out_of_turn
        error = self.get_error(self.asking.send)
        self.assertIs(error.step, Step.AWAIT_ANSWER)

    def test_a_status_that_an_older_entry_relays_is_checked(self):
        """The caller's connection was closed without an answer."""

        async def relay_any_status(connection, name):
            await connection.receive()
            await connection.send(RelayedHead(600, []))

        self.relaying.relay_server._serve = relay_any_status
        error = self.get_error(self.asking.send)
        self.assertIs(error.step, Step.AWAIT_ANSWER)

    def test_a_stopping_entry_completes_what_it_relays(self):
        """It stops once nothing is in flight, so a relayed request must count."""
        released = threading.Event()
        self.addCleanup(released.set)
        self.backend.handle_attempt = lambda attempt: released.wait(5) and 200
        answers = []

        async def send():
            answers.append(await self.asking.send(b"pay"))

        async def test():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                while not self.backend.arrivals:
                    await anyio.sleep(0.01)
                self.relaying.board.is_leaving = True
                self.assertEqual(self.relaying.board.in_flight, 1)
                released.set()

        self.run_with_peer(test)
        self.assertEqual(answers, [(200, b"pay")])
        self.assertEqual(self.relaying.board.in_flight, 0)

    def test_a_repeatable_request_is_cancelled_with_its_asking_entry(self):
        """The server must not go on working for a caller that has left."""
        released = threading.Event()
        self.addCleanup(released.set)
        self.backend.handle_attempt = lambda attempt: released.wait(5) and 200

        async def test():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: self.asking.send(is_repeatable=True))
                while not self.backend.arrivals:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            with anyio.fail_after(5):
                while self.relaying.relay_server.in_progress:
                    await anyio.sleep(0.01)

        self.run_with_peer(test)

    def test_without_other_entries_servers_are_tried_directly(self):
        status, _ = anyio.run(self.asking.send)
        self.assertEqual(status, 200)
