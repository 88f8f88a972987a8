"""Which ended runs and rulings are sent to replicas and entries."""

import unittest
from unittest.mock import patch

import anyio

from cinderway._ids import Address, DataHall, RequestDigest
from cinderway.catalog import CATALOG, AnnounceReplica, CatalogMachine, encode_command
from cinderway.control import _poison_news
from cinderway.control._poison_news import PoisonGossip
from cinderway.poison import EndedRun, RequestRulings, RequestRuns, RequestStanding

ADDRESSES = ("10.1.0.1:7100", "10.1.0.2:7100", "10.2.0.1:7100")
OWN, *OTHERS = ADDRESSES
DIGEST = RequestDigest(b"d" * 16)


def build_runs(*servers):
    return RequestRuns([EndedRun(DIGEST, server) for server in servers], [])


class RecordingCalls:
    """Records the messages sent to each replica."""

    def __init__(self):
        self.sent = []

    async def call(self, address, message, timeout_s):
        self.sent.append((address, message))


class RecordingFollower:
    """An entry that follows; records the standing of each ruling queued for it."""

    def __init__(self):
        self.standings = []

    def queue_frames(self, frames):
        for frame in frames:
            message = CATALOG.decode(frame, peer="x").message
            self.standings += [line.standing for line in message.lines]


class PoisonGossipTests(unittest.TestCase):
    def setUp(self):
        machine = CatalogMachine()
        for index, address in enumerate(ADDRESSES, 1):
            own = AnnounceReplica(Address(address), DataHall("suva"), Address("x:1"))
            machine.apply(index, encode_command(own))
        self.calls, self.entry = RecordingCalls(), RecordingFollower()
        self.gossip = PoisonGossip(OWN, machine, self.calls, lambda: {self.entry})

    def play(self, *steps, is_enough):
        """Run the steps, and forward updates until `is_enough` returns true."""

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.gossip.run)
                for step in steps:
                    step()
                with anyio.fail_after(20):
                    while not is_enough():
                        await anyio.sleep(0.001)
                await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_entries_are_sent_rulings_and_replicas_are_sent_ended_runs(self):
        self.play(
            lambda: self.gossip.receive_entry_runs(build_runs("a", "b", "c")),
            is_enough=lambda: self.entry.standings and len(self.calls.sent) == 2,
        )
        self.assertEqual(self.entry.standings, [RequestStanding.REFUSED])
        expected = [(address, build_runs("a", "b", "c")) for address in OTHERS]
        self.assertEqual(self.calls.sent, expected)

    def test_runs_from_another_replica_are_not_forwarded_to_replicas(self):
        self.play(
            lambda: self.gossip.receive_replica_runs(build_runs("a", "b", "c")),
            is_enough=lambda: self.entry.standings,
        )
        self.assertEqual(self.calls.sent, [])

    def test_ended_runs_of_different_replicas_entries_are_counted_together(self):
        self.gossip.receive_entry_runs(build_runs("a"))
        self.gossip.receive_replica_runs(build_runs("b", "c"))
        (line,) = self.gossip.rulings().lines
        self.assertIs(line.standing, RequestStanding.REFUSED)

    def test_a_good_answer_at_another_replica_clears_the_request(self):
        self.gossip.receive_entry_runs(build_runs("a", "b", "c"))
        self.play(
            lambda: self.gossip.receive_replica_runs(RequestRuns([], [DIGEST])),
            is_enough=lambda: self.entry.standings,
        )
        self.assertEqual(self.entry.standings, [RequestStanding.CLEARED])

    def test_rulings_in_force_are_resent_to_replicas(self):
        def sent_rulings():
            return [m for _, m in self.calls.sent if isinstance(m, RequestRulings)]

        with patch.object(_poison_news, "RESEND_PERIOD_S", 0.001):
            self.play(
                lambda: self.gossip.receive_entry_runs(build_runs("a", "b", "c")),
                is_enough=lambda: len(sent_rulings()) >= 4,
            )
        restarted = PoisonGossip(OTHERS[0], CatalogMachine(), RecordingCalls(), set)
        restarted.receive_rulings(sent_rulings()[0])
        (line,) = restarted.rulings().lines
        self.assertIs(line.standing, RequestStanding.REFUSED)

    def test_without_rulings_nothing_is_resent(self):
        self.play(
            lambda: self.gossip.receive_entry_runs(build_runs("a")),
            is_enough=lambda: True,
        )
        self.assertEqual(
            [m for _, m in self.calls.sent], [build_runs("a"), build_runs("a")]
        )
