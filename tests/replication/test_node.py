"""One replica around its disk, with a state machine that notes what it applies."""

import tempfile
import unittest
from pathlib import Path

import anyio

from cinderway._ids import Address
from cinderway.replication import DataFolder, Node, NodeSettings
from cinderway.wire import Identity

ADDRESS = Address("127.0.0.1:7000")


class Notes:
    """Applies commands by keeping them."""

    def __init__(self):
        self.commands = []

    def apply(self, index, data):
        self.commands.append(data)

    def freeze(self):
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
