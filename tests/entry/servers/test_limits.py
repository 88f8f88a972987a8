"""A server that names a rate gets no more than this entry's part, on every way to it.

Requests of 18 entries came to a server that had named 1.5 requests a second, none of
them from an entry that sent more than three in four seconds: 30 in all, 14 allowed.
Nothing read the rate. It binds all entries together, so most of them leave the server
alone, whatever they have chosen or are about to write when they hear of it.
"""

import unittest

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import ErrorCode
from cinderway._ids import EntryName
from cinderway.entry.servers._messages import BackendRequest
from cinderway.experiment._virtual_time import run_in_virtual_time
from cinderway.pushback import EntryGroup, RateLimit, ServerLimit, ServerLimits

from ._model_servers import OK, SERVICE
from .test_pushback import World

LIMITED = "limited"
LENGTH_MS = 4_000
OWN = EntryName("e1")


def names(rate):
    """Return answers of which those of one server name a rate."""
    told = [(b"cinderway-rate-limit", rate)]
    return lambda name: (OK, told if name == LIMITED else [])


def group(*others):
    return EntryGroup("g", frozenset({"g"}), frozenset({OWN, *map(EntryName, others)}))


class LimitedWorld(World):
    """One entry before a server that names a rate, and others."""

    def __init__(self, rate=b"2", names_=(LIMITED, "fit"), others=(), connect_ms=0):
        super().__init__(names(rate), names=names_, connect_ms=connect_ms)
        self.board.use_group(group(*others), monotonic_ms())

    def get_pushback(self):
        return self.board.services[SERVICE].servers[LIMITED].pushback

    def sent_after(self, at_ms):
        arrivals_ms = self.connections.arrivals_at(LIMITED)
        return [ms for ms in arrivals_ms if ms > at_ms]


class TurnTests(unittest.TestCase):
    def test_an_entry_alone_sends_what_the_server_takes(self):
        async def play():
            world = LimitedWorld(b"2")
            await world.ask_often(LENGTH_MS, pause_ms=20)
            return world

        world = run_in_virtual_time(play)
        sent = len(world.connections.arrivals_at(LIMITED))
        # Two a second, one that may be saved up, and the one that brought the word.
        self.assertLessEqual(sent, 2 * LENGTH_MS / 1000 + 2)
        self.assertGreaterEqual(sent, 2 * LENGTH_MS / 1000 - 2)
        self.assertEqual(set(world.outcomes), {OK})

    def test_an_entry_that_was_told_by_others_sends_no_more_either(self):
        async def play():
            world = LimitedWorld(b"2")
            told = ServerLimits([ServerLimit(LIMITED, 2.0, 0)])
            world.board.hear_limits(told, monotonic_ms())
            await world.ask_often(LENGTH_MS, pause_ms=20)
            return world

        sent = run_in_virtual_time(play).connections.arrivals_at(LIMITED)
        self.assertLessEqual(len(sent), 2 * LENGTH_MS / 1000)

    def test_a_request_that_waits_for_its_connection_hears_what_came_meanwhile(self):
        async def play():
            world = LimitedWorld(b"0.5", (LIMITED,), connect_ms=600)
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(world.ask)
                await anyio.sleep(0.1)
                told = ServerLimits([ServerLimit(LIMITED, 0.5, 0)])
                world.board.hear_limits(told, monotonic_ms())
            return world

        world = run_in_virtual_time(play)
        self.assertEqual(world.connections.arrivals_at(LIMITED), [])

    def test_a_limit_outlives_a_new_listing_of_the_server(self):
        async def play():
            world = LimitedWorld(b"0.5")
            await world.ask_often(1_000)
            world.refresh(is_there=False)
            world.refresh()
            at_ms = monotonic_ms()
            await world.ask_often(1_000)
            return world.sent_after(at_ms)

        self.assertLessEqual(len(run_in_virtual_time(play)), 1)

    def test_a_turn_whose_request_was_not_sent_is_left_to_the_next(self):
        async def play():
            world = LimitedWorld(b"1", (LIMITED,))
            told = ServerLimits([ServerLimit(LIMITED, 1.0, 0)])
            world.board.hear_limits(told, monotonic_ms())
            await anyio.sleep(2)
            turns = world.get_pushback().turns
            turns.take(monotonic_ms())
            turns.give_back()
            return turns.take(monotonic_ms())

        self.assertTrue(run_in_virtual_time(play))

    def test_probes_take_turns_too(self):
        async def play():
            world = LimitedWorld(b"0.5", (LIMITED,))
            told = ServerLimits([ServerLimit(LIMITED, 0.5, 0)])
            world.board.hear_limits(told, monotonic_ms())
            service = world.board.services[SERVICE]
            server = service.servers[LIMITED]
            for _ in range(20):
                request = BackendRequest(b"GET", b"/", [], b"")
                deadline_ms = monotonic_ms() + 500
                try:
                    await world.dispatcher.probe(service, server, request, deadline_ms)
                except Exception as error:
                    world.outcomes.append(error.code)
                await anyio.sleep(0.2)
            return world

        world = run_in_virtual_time(play)
        self.assertLessEqual(len(world.connections.arrivals_at(LIMITED)), 2)
        self.assertIn(ErrorCode.BACKEND_LIMITED, world.outcomes)


class RefusalTests(unittest.TestCase):
    def test_where_all_servers_are_limited_nobody_waits_for_a_turn_too_late(self):
        async def play():
            world = LimitedWorld(b"1", (LIMITED,))
            told = ServerLimits([ServerLimit(LIMITED, 1.0, 0)])
            world.board.hear_limits(told, monotonic_ms())
            began_ms = monotonic_ms()
            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    tasks.start_soon(world.ask)
                await anyio.sleep(0.05)
                at_once = len(world.outcomes)
            return world, at_once, monotonic_ms() - began_ms

        world, at_once, took_ms = run_in_virtual_time(play)
        # One turn comes in the two seconds that each has: all others know at once.
        self.assertEqual(at_once, 9)
        self.assertEqual(world.outcomes.count(OK), 1)
        self.assertEqual(world.outcomes.count(ErrorCode.BACKEND_LIMITED), 9)
        self.assertLess(took_ms, 2_000)

    def test_nobody_waits_for_a_turn_that_would_make_the_answer_late(self):
        """Such a turn is taken from a request whose answer would be in time."""

        async def play():
            world = LimitedWorld(b"1", (LIMITED,))
            told = ServerLimits([ServerLimit(LIMITED, 1.0, 0)])
            world.board.hear_limits(told, monotonic_ms())
            began_ms = monotonic_ms()
            await world.ask(objective_ms=600)
            return world.outcomes, monotonic_ms() - began_ms

        outcomes, took_ms = run_in_virtual_time(play)
        self.assertEqual(outcomes, [ErrorCode.BACKEND_LIMITED])
        self.assertEqual(took_ms, 0)

    def test_an_entry_without_a_part_sends_nothing_and_says_when_others_may(self):
        async def play():
            world = LimitedWorld(b"2", (LIMITED,))
            world.board.pushback.group = None
            told = ServerLimits([ServerLimit(LIMITED, 2.0, 0)])
            world.board.hear_limits(told, monotonic_ms())
            await world.ask()
            return world, world.get_pushback().retry_after_ms(monotonic_ms())

        world, retry_after_ms = run_in_virtual_time(play)
        self.assertEqual(world.connections.arrivals, [])
        self.assertEqual(world.outcomes, [ErrorCode.BACKEND_LIMITED])
        self.assertEqual(retry_after_ms, 500)


class EndTests(unittest.TestCase):
    def played(self, answers, for_ms=LENGTH_MS):
        """Play answers that change in the middle; return what came in each half."""

        async def play():
            world = LimitedWorld(b"0", (LIMITED,))
            world.connections.answer_of = answers[0]
            await world.ask_often(1_000)
            at_ms = monotonic_ms()
            world.connections.answer_of = answers[1]
            # Where it takes nothing a request still goes there now and then.
            await world.ask_often(for_ms)
            return world, at_ms

        world, at_ms = run_in_virtual_time(play)
        return world.sent_after(at_ms)

    def test_a_server_that_names_no_limit_any_more_gets_work_again(self):
        sent = self.played((names(b"0"), lambda name: (OK, [])), for_ms=15_000)
        self.assertGreater(len(sent), 50)

    def test_a_server_that_takes_nothing_is_asked_now_and_then(self):
        sent = self.played((names(b"0"), names(b"0")), for_ms=20_000)
        self.assertIn(len(sent), (1, 2))

    def test_a_limit_that_cannot_be_read_ends_none(self):
        sent = self.played((names(b"0"), names(b"soon")), for_ms=15_000)
        self.assertLessEqual(len(sent), 2)

    def test_a_failure_that_names_none_ends_none(self):
        sent = self.played((names(b"0"), lambda name: (500, [])), for_ms=15_000)
        self.assertLessEqual(len(sent), 2)

    def test_an_older_word_that_comes_later_brings_no_limit_back(self):
        async def play():
            world = LimitedWorld()
            book = world.board.pushback
            await anyio.sleep(1)
            now_ms = monotonic_ms()
            for limit in (
                RateLimit(2.0, now_ms - 500),
                RateLimit(None, now_ms),
                RateLimit(2.0, now_ms - 300),
            ):
                book.learn_limit(LIMITED, world.get_pushback(), limit, now_ms)
            return world.get_pushback().is_limited(now_ms)

        self.assertFalse(run_in_virtual_time(play))
