"""One replica with a failing or stalling disk and a recording state machine."""

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


class RecordingStateMachine:
    """A state machine that records the commands it applies."""

    def __init__(self):
        self.commands = []

    def apply(self, index, data):
        self.commands.append(data)

    def capture_snapshot(self):
        return lambda: b""

    def restore(self, data):
        pass


class FailingFolder(DataFolder):
    """A data folder whose next `remaining_failures` writes fail."""

    remaining_failures = 0

    def append(self, hard_state, entries):
        if self.remaining_failures:
            self.remaining_failures -= 1
            raise OSError("No space left on device")
        super().append(hard_state, entries)


class FailedWriteTests(unittest.TestCase):
    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        path = Path(temporary.name) / "data"
        DataFolder(path, "notes", ADDRESS).found(b"")
        self.folder = FailingFolder(path, "notes", ADDRESS)
        self.state_machine = RecordingStateMachine()
        settings = NodeSettings(ADDRESS, ())
        identity = Identity("notes", b"a-key-for-tests-only")
        self.node = Node(self.folder, self.state_machine, settings, identity)

    def test_a_command_is_applied_once_disk_writes_succeed_again(self):
        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.node.run)
                while not self.node.core.is_leader:
                    await anyio.sleep(0.02)
                self.folder.remaining_failures = 3
                await self.node.propose(b"x", 20.0)
                tasks.cancel_scope.cancel()

        with self.assertLogs("cinderway", "ERROR") as logs:
            anyio.run(run)
        self.assertEqual(self.state_machine.commands, [b"x"])
        self.assertEqual(len(logs.output), 1)


class StallingFolder(DataFolder):
    """A data folder whose writes block while the disk stalls."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_writable = threading.Event()
        self.is_writable.set()

    def append(self, hard_state, entries):
        self.is_writable.wait()
        super().append(hard_state, entries)


class StalledDiskTests(unittest.TestCase):
    """A replica whose disk stalls hears its leader but applies nothing.

    This guards against a replica that reports the time since it last heard a leader
    (0.25 s at most) as the age of its state. Its entries would take that state for
    current, and a change acknowledged by the other replicas would not take effect at
    them for as long as the disk stalls.
    """

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        path = Path(temporary.name) / "data"
        DataFolder(path, "notes", ADDRESS).found(b"")
        self.folder = StallingFolder(path, "notes", ADDRESS)
        self.addCleanup(self.folder.is_writable.set)
        settings = NodeSettings(ADDRESS, ())
        self.node = Node(
            self.folder,
            RecordingStateMachine(),
            settings,
            Identity("notes", b"a-key-for-tests-only"),
        )

    def append_request(self, entries=(), committed=0):
        """Return an append request from another leader that continues the own log."""
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

    async def receive(self, append_request):
        self.node.core.step(append_request, monotonic_ms())
        self.node._wake.set()

    async def run_with(self, scenario):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.node.run)
            await scenario()
            self.folder.is_writable.set()
            tasks.cancel_scope.cancel()

    def test_up_to_date_time_does_not_advance_while_the_disk_stalls(self):
        async def scenario():
            core = self.node.core
            first = Entry(core.log.last_index + 1, 50, EntryKind.COMMAND, b"1")
            await self.receive(self.append_request([first], first.index))
            while self.node.up_to_date_at_ms is None:
                await anyio.sleep(0.01)
            up_to_date_at_ms = self.node.up_to_date_at_ms
            self.folder.is_writable.clear()
            second = Entry(first.index + 1, 50, EntryKind.COMMAND, b"2")
            await self.receive(self.append_request([second], second.index))
            for _ in range(10):
                await anyio.sleep(0.02)
                await self.receive(self.append_request(committed=second.index))
            self.assertEqual(self.node.up_to_date_at_ms, up_to_date_at_ms)
            self.assertGreater(core.leader_heard_at_ms, up_to_date_at_ms)
            self.folder.is_writable.set()
            while self.node.up_to_date_at_ms == up_to_date_at_ms:
                await anyio.sleep(0.01)
                await self.receive(self.append_request(committed=second.index))
            self.assertEqual(self.node.applied_index, second.index)

        anyio.run(self.run_with, scenario)

    def test_age_is_unknown_before_a_leader_was_heard(self):
        self.assertIsNone(self.node.knowledge_age_ms(monotonic_ms()))
        self.assertFalse(self.node.has_caught_up)
