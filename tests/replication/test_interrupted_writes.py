"""A data folder whose process is killed, or loses power, at any single write."""

import contextlib
import errno
import os
import random
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from cinderway._errors import CinderwayError, ErrorCode
from cinderway._first_start import MARK_FILE, mark_first_start
from cinderway._ids import Address
from cinderway.control import _catalog_daemon
from cinderway.replication._messages import (
    EMPTY_SNAPSHOT,
    Entry,
    EntryKind,
    HardState,
    Snapshot,
)
from cinderway.replication._storage import DataFolder

ADDRESS = Address("127.0.0.1:7000")
GROUP = "catalog"
SECTOR_BYTES = 512


class Interrupted(BaseException):
    """The process ends here: no handler of the code under test may run on."""


class File:
    """Contents of one file: as written, and as of its last sync."""

    def __init__(self, content=None):
        self.content = content or b""
        self.synced = content


class Disk:
    """Passes file operations on, and ends the process after a number of them.

    `restore` leaves the folder as a loss of power may leave it: a file holds what its
    last sync covered and its later writes whole, in part or not at all; each name that
    was made, changed or removed since the folder's last sync is kept or lost.
    """

    def __init__(self, folder, operations):
        self.folder = folder
        self.remaining = operations
        self.names = {file.name: File(file.read_bytes()) for file in folder.iterdir()}
        self.durable_names = dict(self.names)
        # Each unsynced change of names: the names' files before and after it.
        self.changes = []
        self.open_files = {}
        self.real = {name: getattr(os, name) for name in PATCHED}

    def run(self, steps):
        """Run steps on the folder; return whether they were interrupted."""
        with contextlib.ExitStack() as stack:
            for name in PATCHED:
                stack.enter_context(mock.patch(f"os.{name}", getattr(self, name)))
            try:
                steps(self.folder)
            except Interrupted:
                return True
            finally:
                for descriptor in list(self.open_files):
                    self.close(descriptor)
        return False

    def _count(self):
        if self.remaining == 0:
            raise Interrupted
        self.remaining -= 1

    def _change(self, after):
        self.changes.append(({name: self.names.get(name) for name in after}, after))
        self._rename_all(self.names, after)

    @staticmethod
    def _rename_all(names, changed):
        names.update(changed)
        for name in [name for name, file in names.items() if file is None]:
            del names[name]

    def open(self, path, flags, mode=0o777):
        path = Path(path)
        if path == self.folder:
            descriptor = self.real["open"](path, flags)
            self.open_files[descriptor] = None
            return descriptor
        self._count()
        descriptor = self.real["open"](path, flags, mode)
        if path.name not in self.names:
            self._change({path.name: File()})
        file = self.open_files[descriptor] = self.names[path.name]
        if flags & os.O_TRUNC:
            file.content = b""
        return descriptor

    def close(self, descriptor):
        self.open_files.pop(descriptor, None)
        self.real["close"](descriptor)

    def write(self, descriptor, data):
        self._count()
        self.open_files[descriptor].content += bytes(data)
        return self.real["write"](descriptor, data)

    def ftruncate(self, descriptor, length):
        self._count()
        file = self.open_files[descriptor]
        file.content = file.content[:length]
        self.real["ftruncate"](descriptor, length)

    def fsync(self, descriptor):
        self._count()
        file = self.open_files[descriptor]
        if file is None:
            self.durable_names, self.changes = dict(self.names), []
            return
        file.synced = file.content
        for before, after in self.changes:
            # A new file's name is durable with its own first sync.
            if file in after.values() and file not in before.values():
                self._rename_all(self.durable_names, after)
        self.changes = [
            (before, after)
            for before, after in self.changes
            if file not in after.values() or file in before.values()
        ]

    fdatasync = fsync

    def rename(self, source, target):
        self._count()
        file = self.names[Path(source).name]
        self._change({Path(source).name: None, Path(target).name: file})
        self.real["rename"](source, target)

    def unlink(self, path, **_):
        self._count()
        self._change({Path(path).name: None})
        self.real["unlink"](path)

    def restore(self, rng):
        """Replace the folder's files by what a loss of power may leave."""
        names = dict(self.durable_names)
        for _, after in self.changes:
            if rng.random() < 0.5:
                self._rename_all(names, after)
        for path in self.folder.iterdir():
            path.unlink()
        for name, file in names.items():
            (self.folder / name).write_bytes(_content_after_power_cut(file, rng))


PATCHED = ("open", "close", "write", "ftruncate", "fsync", "fdatasync", "rename")
PATCHED += ("unlink",)


def _content_after_power_cut(file, rng):
    synced, content = file.synced or b"", file.content
    if content == synced or rng.random() < 0.3:
        return synced
    if not content.startswith(synced) or rng.random() < 0.3:
        return content
    # The length may be extended before all sectors hold their data.
    end = rng.randrange(len(synced), len(content) + 1)
    gap = content[end : len(content) if rng.random() < 0.5 else end]
    return content[:end] + bytes(min(len(gap), SECTOR_BYTES))


def entry(index, data=b"x"):
    return Entry(index, 1, EntryKind.COMMAND, data)


def snapshot(index):
    return Snapshot(index, 1, EMPTY_SNAPSHOT.membership, b"s" * 700)


class InterruptedWriteCase(unittest.TestCase):
    """Interrupts steps at each single file operation, by a kill or a power cut."""

    def check_interruptions(self, steps, check, prepare=lambda path: None, cuts=6):
        """Call `check` with the folder that each interruption of `steps` leaves.

        `cuts` is the number of random outcomes of a power cut at each operation.
        """
        operations = 0
        while self._check_interruption(operations, cuts, steps, check, prepare):
            operations += 1
        self.assertGreater(operations, 3)

    def _check_interruption(self, operations, cuts, steps, check, prepare):
        for seed in (None, *range(cuts)):
            with tempfile.TemporaryDirectory() as name:
                path = Path(name) / "data"
                path.mkdir()
                prepare(path)
                disk = Disk(path, operations)
                is_interrupted = disk.run(steps)
                if seed is not None:
                    disk.restore(random.Random(seed))
                with self.subTest(operations=operations, power_cut=seed):
                    check(path)
        return is_interrupted

    def recover(self, path):
        folder = DataFolder(path, GROUP, ADDRESS)
        try:
            return folder, folder.recover()
        finally:
            folder.close()


class FirstStartTests(InterruptedWriteCase):
    """A first start that is interrupted must not leave a folder that never starts.

    A replica that has sent nothing yet can begin anew under another id. It was taken
    for a damaged one, whose identity is missing, and ended at every start.
    """

    def start(self, path):
        DataFolder(path, GROUP, ADDRESS).recover()

    def bootstrap(self, path):
        DataFolder(path, GROUP, ADDRESS).bootstrap(b"")

    def test_an_interrupted_first_start_can_be_repeated(self):
        def check(path):
            first, _ = self.recover(path)
            second, recovered = self.recover(path)
            self.assertEqual(first.identity, second.identity)
            self.assertEqual(recovered.log.last_index, 0)

        self.check_interruptions(self.start, check)

    def test_a_repeated_first_start_can_be_interrupted_too(self):
        def check_repeated(path):
            left = {file.name: file.read_bytes() for file in path.iterdir()}

            def prepare(path):
                for name, content in left.items():
                    (path / name).write_bytes(content)

            self.check_interruptions(self.start, self.recover, prepare, cuts=1)

        self.check_interruptions(self.start, check_repeated, cuts=1)

    def test_an_interrupted_bootstrap_is_completed_at_any_later_start(self):
        """Otherwise the fleet would have no group: nobody else may create one."""

        def check(path):
            settings = mock.Mock(
                is_first_start=False,
                http_listen="127.0.0.1:80",
                seeds=("127.0.0.1:80",),
                data_folder=path,
                listen=ADDRESS,
            )
            has_begun = any(file.name != "lock" for file in path.iterdir())
            _catalog_daemon._bootstrap_if_first(settings)
            folder, recovered = self.recover(path)
            expected = {folder.identity.replica_id} if has_begun else set()
            self.assertEqual(recovered.log.membership.voters, expected)

        self.check_interruptions(self.bootstrap, check)

    def settings_of(self, path, *, is_first_start, address="127.0.0.1:80"):
        return mock.Mock(
            is_first_start=is_first_start,
            http_listen=address,
            seeds=("127.0.0.1:80", "127.0.0.1:81"),
            data_folder=path,
            listen=ADDRESS,
        )

    def test_a_first_start_that_is_killed_before_it_wrote_a_log_is_gone_on_with(self):
        """Nothing created the group any more, and no order was ever taken."""

        def mark(path):
            mark_first_start(self.settings_of(path, is_first_start=True))

        def check(path):
            is_marked = (path / MARK_FILE).exists()
            later = self.settings_of(path, is_first_start=False)
            mark_first_start(later)
            _catalog_daemon._bootstrap_if_first(later)
            folder, recovered = self.recover(path)
            expected = {folder.identity.replica_id} if is_marked else set()
            self.assertEqual(recovered.log.membership.voters, expected)
            # A group that exists is not created again.
            mark(path)
            _catalog_daemon._bootstrap_if_first(later)
            again, _ = self.recover(path)
            self.assertEqual(again.identity, folder.identity)

        self.check_interruptions(mark, check)

    def test_only_the_first_seed_marks_the_first_start(self):
        """Two groups could form otherwise."""
        with tempfile.TemporaryDirectory() as name:
            path = Path(name)
            other = self.settings_of(path, is_first_start=True, address="127.0.0.1:81")
            mark_first_start(other)
            mark_first_start(self.settings_of(path, is_first_start=False))
            self.assertEqual(list(path.iterdir()), [])
            (path / "anything").touch()
            mark_first_start(self.settings_of(path, is_first_start=True))
            self.assertFalse((path / MARK_FILE).exists())

    def test_an_interrupted_bootstrap_can_be_repeated_at_a_first_start(self):
        def check(path):
            folder = DataFolder(path, GROUP, ADDRESS)
            if folder.is_new:
                folder.bootstrap(b"")
            else:
                folder.close()
            folder, recovered = self.recover(path)
            self.assertEqual(
                recovered.log.membership.voters, {folder.identity.replica_id}
            )

        self.check_interruptions(self.bootstrap, check)

    def test_a_replica_without_its_identity_does_not_start_on_an_interrupted_bootstrap(
        self,
    ):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name)
            self.bootstrap(path)
            (path / "identity").unlink()
            with self.assertRaises(CinderwayError) as refused:
                self.recover(path)
            self.assertIn("interrupted", str(refused.exception))


class DamageTests(unittest.TestCase):
    """A folder that was in use and has lost a file is refused, not begun anew."""

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.path = Path(temporary.name) / "data"

    def assert_refused(self):
        with self.assertRaises(CinderwayError) as refused:
            folder = DataFolder(self.path, GROUP, ADDRESS)
            self.addCleanup(folder.close)
            folder.recover()
        self.assertIs(refused.exception.code, ErrorCode.DATA_DAMAGED)

    def use(self, write):
        folder = DataFolder(self.path, GROUP, ADDRESS)
        folder.recover()
        write(folder)
        folder.close()

    def test_missing_identity_beside_a_vote_is_refused(self):
        self.use(lambda folder: folder.append(HardState(2, 9), []))
        (self.path / "identity").unlink()
        self.assert_refused()

    def test_missing_identity_beside_a_torn_record_is_refused(self):
        self.use(lambda folder: folder.append(HardState(2, 9), [entry(1)]))
        (self.path / "identity").unlink()
        wal = next(self.path.glob("wal-*"))
        wal.write_bytes(wal.read_bytes()[:-3])
        self.assert_refused()

    def test_missing_identity_beside_a_compacted_log_is_refused(self):
        self.use(lambda folder: folder.replace(snapshot(5), HardState(), []))
        (self.path / "identity").unlink()
        self.assert_refused()

    def test_missing_identity_and_log_beside_a_snapshot_is_refused(self):
        self.use(lambda folder: folder.replace(snapshot(5), HardState(), []))
        for name in ("identity", "wal-0000000000000002"):
            (self.path / name).unlink()
        self.assert_refused()

    def test_missing_identity_beside_an_unreadable_log_is_refused(self):
        self.use(lambda folder: None)
        (self.path / "identity").unlink()
        wal = next(self.path.glob("wal-*"))
        wal.write_bytes(b"\x01" + wal.read_bytes()[1:])
        self.assert_refused()


class LogWriteTests(InterruptedWriteCase):
    """What was durable before an interrupted append or compaction is still there."""

    def prepare(self, path):
        folder = DataFolder(path, GROUP, ADDRESS)
        folder.recover()
        folder.append(HardState(3, 9), [entry(1), entry(2), entry(3)])
        folder.close()

    def open(self, path):
        folder = DataFolder(path, GROUP, ADDRESS)
        folder.recover()
        return folder

    def starts_with(self, *last_indexes):
        """Return a check that the folder starts, its log ending at one of these."""

        def check(path):
            _, recovered = self.recover(path)
            self.assertEqual(recovered.hard_state, HardState(3, 9))
            self.assertIn(recovered.log.last_index, last_indexes)

        return check

    def test_an_interrupted_append_loses_nothing_older(self):
        def append(path):
            self.open(path).append(None, [entry(4, b"y" * 900)])

        self.check_interruptions(append, self.starts_with(3, 4), self.prepare)

    def test_an_interrupted_compaction_loses_nothing(self):
        def compact(path):
            self.open(path).replace(snapshot(2), HardState(3, 9), [entry(3)])

        self.check_interruptions(compact, self.starts_with(3), self.prepare)

    def test_an_interrupted_installation_of_a_snapshot_leaves_the_old_or_new_state(
        self,
    ):
        def install(path):
            self.open(path).replace(snapshot(9), HardState(3, 9), [])

        self.check_interruptions(install, self.starts_with(3, 9), self.prepare)


class FailedSyncTests(unittest.TestCase):
    """A disk that refuses single operations, while the process goes on."""

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.path = Path(temporary.name)
        self.folder = DataFolder(self.path, GROUP, ADDRESS)
        self.folder.recover()
        self.folder.append(HardState(3, 9), [entry(1)])

    def refuse(self, name):
        error = OSError(errno.EIO, "Input/output error")
        return mock.patch(f"os.{name}", side_effect=error)

    def recover_last_index(self):
        self.folder.close()
        folder = DataFolder(self.path, GROUP, ADDRESS)
        self.addCleanup(folder.close)
        return folder.recover().log.last_index

    def fail_syncs_of_the_folder(self, *outcomes):
        """Let the next syncs of the folder fail where the outcome is False."""
        sync_folder, remaining = self.folder._sync_folder, iter(outcomes)

        def sync_or_fail():
            if not next(remaining, True):
                raise OSError(errno.EIO, "Input/output error")
            sync_folder()

        return mock.patch.object(self.folder, "_sync_folder", sync_or_fail)

    def compact_without_the_last_sync(self):
        with self.assertRaises(OSError):
            self.folder.replace(snapshot(1), HardState(3, 9), [])

    def test_batches_after_a_compaction_whose_folder_sync_failed_are_kept(self):
        """They went to the old log, while a restart read the new one."""
        with self.fail_syncs_of_the_folder(True, False):
            self.compact_without_the_last_sync()
        self.folder.append(None, [entry(2)])
        self.assertEqual(self.recover_last_index(), 2)

    def test_no_batch_is_acknowledged_before_the_new_log_has_a_durable_name(self):
        with self.fail_syncs_of_the_folder(True, False, False):
            self.compact_without_the_last_sync()
            with self.assertRaises(OSError):
                self.folder.append(None, [entry(2)])
            self.folder.append(None, [entry(2)])
        self.assertEqual(self.recover_last_index(), 2)

    def test_a_partial_record_that_cannot_be_truncated_at_once_is_not_left_behind(self):
        """The retried batch was written behind it, and the folder called damaged."""
        write = os.write

        def write_half(descriptor, data):
            if len(data) <= 30:
                raise OSError(errno.EIO, "Input/output error")
            return write(descriptor, data[:30])

        with mock.patch("os.write", write_half), self.refuse("ftruncate"):
            with self.assertRaises(OSError):
                self.folder.append(None, [entry(2)])
        self.folder.append(None, [entry(2)])
        self.assertEqual(self.recover_last_index(), 2)
