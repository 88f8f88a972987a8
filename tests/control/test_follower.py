import json
import unittest

import anyio

from cinderway._ids import DataHall, EntryName
from cinderway.catalog import (
    CatalogHeartbeat,
    CatalogMachine,
    CatalogUpdate,
    InstallSheet,
    encode_command,
)
from cinderway.control._follower import Follower


class Sent:
    """A connection that keeps what is sent on it."""

    def __init__(self):
        self.messages = []
        self.frames = []

    async def send(self, message, call_id=0):
        self.messages.append(message)

    async def send_encoded(self, payloads):
        self.frames.extend(payloads)

    def kinds(self):
        return {type(message) for message in self.messages}


class FollowerTests(unittest.TestCase):
    def setUp(self):
        self.machine = CatalogMachine()
        content = {"version": 1, "routes": [], "services": []}
        body = json.dumps(content).encode()
        self.machine.apply(1, encode_command(InstallSheet(body)))
        self.has_caught_up = False
        self.sent = Sent()
        self.follower = Follower(
            EntryName("e1"),
            DataHall("suva"),
            0,
            self.sent,
            self.machine,
            lambda: CatalogHeartbeat(0, 1, 1),
            lambda: self.has_caught_up,
        )

    async def feed_until_blocked(self, *before):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.feed)
            for change in before:
                await anyio.wait_all_tasks_blocked()
                change()
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    def catch_up(self):
        self.has_caught_up = True
        self.follower.wake()

    def test_a_replica_that_may_lack_changes_shows_no_catalog(self):
        anyio.run(self.feed_until_blocked)
        self.assertEqual(self.sent.kinds(), {CatalogHeartbeat})

    def test_news_is_sent_in_the_order_in_which_it_was_told(self):
        def tell():
            self.follower.tell_news([b"suspects", b"loads"])
            self.follower.tell_news([b"suspects again"])

        anyio.run(self.feed_until_blocked, tell)
        self.assertEqual(self.sent.frames, [b"suspects", b"loads", b"suspects again"])

    def test_verdicts_that_stay_the_same_are_sent_once(self):
        def tell():
            self.follower.tell_verdicts(b"verdicts")

        anyio.run(self.feed_until_blocked, tell, tell)
        self.assertEqual(self.sent.frames, [b"verdicts"])

    def test_news_in_between_does_not_put_the_next_heartbeat_off(self):
        self.follower._heartbeat_at_ms = 500
        self.assertEqual(self.follower._pause_s(490), 0.01)
        self.assertEqual(self.follower._pause_s(510), 0)

    def test_once_it_has_caught_up_it_shows_the_catalog_at_once(self):
        anyio.run(self.feed_until_blocked, self.catch_up)
        self.assertEqual(self.sent.kinds(), {CatalogHeartbeat, CatalogUpdate})
        self.assertEqual(self.follower.known_revision, 1)
