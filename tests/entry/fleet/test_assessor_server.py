"""An assessor tells its reporting entries which requests end server processes."""

import random
import unittest

import anyio

from cinderway._ids import DataHall, EntryName, RequestDigest
from cinderway.entry._blackboard import Blackboard
from cinderway.entry.fleet._assessor_server import AssessorServer
from cinderway.poison import (
    EndedRun,
    PoisonTally,
    RequestRuling,
    RequestRulings,
    RequestRuns,
    RequestStanding,
)
from cinderway.wire import Envelope

D = RequestDigest(b"d" * 16)


class StubEntry:
    """A connection of one entry: the messages it sends, and the rulings it receives."""

    def __init__(self, *outgoing):
        self.outgoing = list(outgoing)
        self.standings = []

    async def receive(self):
        if not self.outgoing:
            await anyio.sleep_forever()
        return Envelope(0, self.outgoing.pop(0))

    async def send(self, message):
        if isinstance(message, RequestRulings):
            self.standings += [line.standing for line in message.lines]


def ended(*servers):
    return RequestRuns([EndedRun(D, server) for server in servers], [])


class AssessorServerTests(unittest.TestCase):
    def serve_until(self, *entries, until):
        """Serve these entries until each has received that many rulings."""
        board = Blackboard(EntryName("e0"), DataHall("suva"), random.Random(1))
        server = AssessorServer(board)

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run)
                for entry in entries:
                    tasks.start_soon(server._serve, entry, "entry")
                with anyio.fail_after(20):
                    while min(len(entry.standings) for entry in entries) < until:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_ends_that_different_entries_saw_are_counted_together(self):
        entries = [StubEntry(ended("a", "b")), StubEntry(ended("c"))]
        self.serve_until(*entries, until=1)
        for entry in entries:
            self.assertIs(entry.standings[-1], RequestStanding.REFUSED)

    def test_what_an_entry_knows_already_is_passed_on(self):
        tally = PoisonTally()
        rulings = [tally.record_end(D, server, 0) for server in ("a", "b", "c")]
        known = RequestRulings([RequestRuling.from_ruling(rulings[-1], 0)])
        entries = [StubEntry(known), StubEntry()]
        self.serve_until(*entries, until=1)
        self.assertEqual(entries[1].standings, [RequestStanding.REFUSED])
