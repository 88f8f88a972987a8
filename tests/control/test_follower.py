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
from cinderway.control._follower import HEARTBEAT_S, UPDATE_PERIOD_MS, Follower
from cinderway.experiment._virtual_time import run_in_virtual_time


class RecordingConnection:
    """A connection that records the messages sent on it."""

    def __init__(self):
        self.messages = []
        self.frames = []
        self.accepts_nothing = False

    async def send(self, message, call_id=0):
        if self.accepts_nothing:
            await anyio.sleep_forever()
        self.messages.append(message)

    async def send_encoded(self, payloads):
        self.frames.extend(payloads)

    def kinds(self):
        return {type(message) for message in self.messages}


class FollowerTests(unittest.TestCase):
    def setUp(self):
        self.machine = CatalogMachine()
        self.machine.apply(1, encode_command(self.sheet(1)))
        self.has_caught_up = False
        self.sent = RecordingConnection()
        self.follower = Follower(
            EntryName("e1"),
            DataHall("suva"),
            0,
            self.sent,
            self.machine,
            lambda: CatalogHeartbeat(0, 1, 1),
            lambda: self.has_caught_up,
        )

    @staticmethod
    def sheet(version):
        content = {"version": version, "routes": [], "services": []}
        return InstallSheet(json.dumps(content).encode())

    async def feed_until_blocked(self, *before):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            for change in before:
                await anyio.wait_all_tasks_blocked()
                change()
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    def catch_up(self):
        self.has_caught_up = True
        self.follower.wake()

    def test_a_replica_that_has_not_caught_up_sends_no_catalog(self):
        anyio.run(self.feed_until_blocked)
        self.assertEqual(self.sent.kinds(), {CatalogHeartbeat})

    def test_frames_are_sent_in_the_order_in_which_they_were_queued(self):
        def queue_batches():
            self.follower.queue_frames([b"suspects", b"loads"])
            self.follower.queue_frames([b"suspects again"])

        anyio.run(self.feed_until_blocked, queue_batches)
        self.assertEqual(self.sent.frames, [b"suspects", b"loads", b"suspects again"])

    def test_unchanged_verdicts_are_sent_once(self):
        def queue_verdicts():
            self.follower.queue_verdicts(b"verdicts")

        anyio.run(self.feed_until_blocked, queue_verdicts, queue_verdicts)
        self.assertEqual(self.sent.frames, [b"verdicts"])

    async def queue_continuously(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            for _ in range(100):
                self.follower.queue_frames([b"loads"])
                await anyio.sleep(4.5 * HEARTBEAT_S / 100)
            tasks.cancel_scope.cancel()

    def test_other_messages_do_not_delay_the_next_heartbeat(self):
        run_in_virtual_time(self.queue_continuously)
        kinds = [type(message) for message in self.sent.messages]
        self.assertEqual(kinds, [CatalogHeartbeat] * 5)
        self.assertEqual(len(self.sent.frames), 100)

    async def change_often(self):
        self.has_caught_up = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            for number in range(2, 102):
                self.machine.apply(number, encode_command(self.sheet(number)))
                self.follower.wake()
                await anyio.sleep(0.01)
            await anyio.sleep(2 * UPDATE_PERIOD_MS / 1000)
            tasks.cancel_scope.cancel()

    def test_changes_in_quick_succession_are_sent_together(self):
        run_in_virtual_time(self.change_often)
        updates = [m for m in self.sent.messages if isinstance(m, CatalogUpdate)]
        self.assertLessEqual(len(updates), 1_000 // UPDATE_PERIOD_MS + 2)
        self.assertEqual(updates[-1].revision, 101)

    async def stop_accepting(self):
        self.sent.accepts_nothing = True
        await self.follower.run()

    def test_feeding_an_entry_that_accepts_nothing_times_out(self):
        with self.assertRaises(TimeoutError):
            run_in_virtual_time(self.stop_accepting)

    def test_the_catalog_is_sent_as_soon_as_the_replica_has_caught_up(self):
        anyio.run(self.feed_until_blocked, self.catch_up)
        self.assertEqual(self.sent.kinds(), {CatalogHeartbeat, CatalogUpdate})
        self.assertEqual(self.follower.known_revision, 1)

    def test_an_update_is_followed_by_its_age(self):
        """Without it a new entry answered 503 to requests that it could answer 404."""
        anyio.run(self.feed_until_blocked, self.catch_up)
        kinds = [type(message) for message in self.sent.messages]
        self.assertEqual(kinds, [CatalogHeartbeat, CatalogUpdate, CatalogHeartbeat])
