"""Which requests replicas and entries hear of, and from whom."""

import unittest
from unittest.mock import patch

import anyio

from cinderway._ids import Address, DataHall, RequestDigest
from cinderway.catalog import CATALOG, AnnounceReplica, CatalogMachine, encode_command
from cinderway.control import _poison_news
from cinderway.control._poison_news import PoisonGossip
from cinderway.poison import EndedRun, RequestRulings, RequestRuns, Standing

ADDRESSES = ("10.1.0.1:7100", "10.1.0.2:7100", "10.2.0.1:7100")
OWN, *OTHERS = ADDRESSES
D = RequestDigest(b"d" * 16)


def ends(*servers):
    return RequestRuns([EndedRun(D, server) for server in servers], [])


class Calls:
    """Keeps what is told to which replica."""

    def __init__(self):
        self.told = []

    async def call(self, address, message, timeout_s):
        self.told.append((address, message))


class Follower:
    """An entry that follows; keeps how each request stands that it is told of."""

    def __init__(self):
        self.standings = []

    def tell_news(self, frames):
        for frame in frames:
            message = CATALOG.decode(frame, peer="x").message
            self.standings += [line.standing for line in message.lines]


class PoisonGossipTests(unittest.TestCase):
    def setUp(self):
        machine = CatalogMachine()
        for index, address in enumerate(ADDRESSES, 1):
            own = AnnounceReplica(Address(address), DataHall("suva"), Address("x:1"))
            machine.apply(index, encode_command(own))
        self.calls, self.entry = Calls(), Follower()
        self.news = PoisonGossip(OWN, machine, self.calls, lambda: {self.entry})

    def play(self, *steps, is_enough):
        """Take what is told, and run until enough of it was passed on."""

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.news.run)
                for step in steps:
                    step()
                with anyio.fail_after(20):
                    while not is_enough():
                        await anyio.sleep(0.001)
                await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_entries_hear_of_rulings_and_replicas_of_what_was_seen(self):
        self.play(
            lambda: self.news.take_runs(ends("a", "b", "c")),
            is_enough=lambda: self.entry.standings and len(self.calls.told) == 2,
        )
        self.assertEqual(self.entry.standings, [Standing.REFUSED])
        told = [(address, ends("a", "b", "c")) for address in OTHERS]
        self.assertEqual(self.calls.told, told)

    def test_what_another_replica_tells_is_not_passed_on_to_replicas(self):
        self.play(
            lambda: self.news.hear_runs(ends("a", "b", "c")),
            is_enough=lambda: self.entry.standings,
        )
        self.assertEqual(self.calls.told, [])

    def test_ends_that_different_replicas_entries_saw_are_counted_together(self):
        self.news.take_runs(ends("a"))
        self.news.hear_runs(ends("b", "c"))
        (line,) = self.news.rulings().lines
        self.assertIs(line.standing, Standing.REFUSED)

    def test_a_good_answer_anywhere_clears_it_everywhere(self):
        self.news.take_runs(ends("a", "b", "c"))
        self.play(
            lambda: self.news.hear_runs(RequestRuns([], [D])),
            is_enough=lambda: self.entry.standings,
        )
        self.assertEqual(self.entry.standings, [Standing.CLEARED])

    def test_replicas_are_told_again_what_is_in_force(self):
        def rulings_told():
            return [m for _, m in self.calls.told if isinstance(m, RequestRulings)]

        with patch.object(_poison_news, "RESEND_PERIOD_S", 0.001):
            self.play(
                lambda: self.news.take_runs(ends("a", "b", "c")),
                is_enough=lambda: len(rulings_told()) >= 4,
            )
        started_again = PoisonGossip(OTHERS[0], CatalogMachine(), Calls(), set)
        started_again.learn(rulings_told()[0])
        (line,) = started_again.rulings().lines
        self.assertIs(line.standing, Standing.REFUSED)

    def test_without_rulings_nothing_is_repeated(self):
        self.play(lambda: self.news.take_runs(ends("a")), is_enough=lambda: True)
        self.assertEqual([m for _, m in self.calls.told], [ends("a"), ends("a")])
