"""One replica around its disk, with a state machine that notes what it applies."""

import tempfile
import threading
import unittest
from pathlib import Path

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, ReplicaId
from cinderway.replication import DataFolder, Node, NodeSettings
from cinderway.replication._messages import AppendRequest, Entry, EntryKind
from cinderway.wire import Identity

ADDRESS = Address("127.0.0.1:7000")


class Notes:
    """Applies commands by keeping them."""

    def __init__(self):
        self.commands = []

    def apply(self, index, data):
        self.commands.append(data)

    def capture_snapshot(self):
        return lambda: b""

    def restore(self, data):
        pass


class RefusingFolder(DataFolder):
    """A data folder whose disk refuses a number of writes."""

    refusals = 0

    def append(self, hard_state, entries):
        if self.refusals:
            self.refusals -= 1
            raise OSError("No space left on device")
        super().append(hard_state, entries)


class DiskTests(unittest.TestCase):
    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        path = Path(temporary.name) / "data"
        DataFolder(path, "notes", ADDRESS).found(b"")
        self.folder = RefusingFolder(path, "notes", ADDRESS)
        self.notes = Notes()
        settings = NodeSettings(ADDRESS, ())
        identity = Identity("notes", b"a-key-for-tests-only")
        self.node = Node(self.folder, self.notes, settings, identity)

    def test_a_command_is_taken_once_the_disk_takes_writes_again(self):
        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.node.run)
                while not self.node.core.is_leader:
                    await anyio.sleep(0.02)
                self.folder.refusals = 3
                await self.node.propose(b"x", 20.0)
                tasks.cancel_scope.cancel()

        with self.assertLogs("cinderway", "ERROR") as logs:
            anyio.run(run)
        self.assertEqual(self.notes.commands, [b"x"])
        self.assertEqual(len(logs.output), 1)


class StallingFolder(DataFolder):
    """A data folder whose disk answers nothing while it stalls."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.works = threading.Event()
        self.works.set()

    def append(self, hard_state, entries):
        self.works.wait()
        super().append(hard_state, entries)


class StalledDiskTests(unittest.TestCase):
    """A replica hears its leader and applies nothing: its disk stalls.

    Its heartbeats said how long ago it had heard a leader, 0.25 s at most, and entries
    took that for the age of what it told them: a change that was acknowledged by the
    others was not in force at its entries for as long as the disk stalled.
    """

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        path = Path(temporary.name) / "data"
        DataFolder(path, "notes", ADDRESS).found(b"")
        self.folder = StallingFolder(path, "notes", ADDRESS)
        self.addCleanup(self.folder.works.set)
        settings = NodeSettings(ADDRESS, ())
        self.node = Node(
            self.folder, Notes(), settings, Identity("notes", b"a-key-for-tests-only")
        )

    def message(self, entries=(), committed=0):
        """Another leader's message, which follows on what is held here."""
        log = self.node.core.log
        return AppendRequest(
            sender=ReplicaId(99),
            target=self.node.core.replica_id,
            term=50,
            previous_index=log.last_index,
            previous_term=log.last_term,
            commit_index=committed,
            round=1,
            entries=list(entries),
            sender_address=Address("127.0.0.1:1"),
        )

    async def hear(self, message):
        self.node.core.step(message, monotonic_ms())
        self.node._wake.set()

    async def run_with(self, scenario):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.node.run)
            await scenario()
            self.folder.works.set()
            tasks.cancel_scope.cancel()

    def test_what_is_known_grows_old_while_the_disk_stalls(self):
        async def scenario():
            core = self.node.core
            first = Entry(core.log.last_index + 1, 50, EntryKind.COMMAND, b"1")
            await self.hear(self.message([first], first.index))
            while self.node.known_at_ms is None:
                await anyio.sleep(0.01)
            known_at_ms = self.node.known_at_ms
            self.folder.works.clear()
            second = Entry(first.index + 1, 50, EntryKind.COMMAND, b"2")
            await self.hear(self.message([second], second.index))
            for _ in range(10):
                await anyio.sleep(0.02)
                await self.hear(self.message(committed=second.index))
            self.assertEqual(self.node.known_at_ms, known_at_ms)
            self.assertGreater(core.leader_heard_at_ms, known_at_ms)
            self.folder.works.set()
            while self.node.known_at_ms == known_at_ms:
                await anyio.sleep(0.01)
                await self.hear(self.message(committed=second.index))
            self.assertEqual(self.node.applied_index, second.index)

        anyio.run(self.run_with, scenario)

    def test_until_a_leader_was_heard_the_age_is_not_known(self):
        self.assertIsNone(self.node.knowledge_age_ms(monotonic_ms()))
        self.assertFalse(self.node.has_caught_up)
