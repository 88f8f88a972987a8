"""The data folder after crashes, damage and wrong use, with real files."""

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings, strategies as st

from cinderway._errors import CinderwayError, ErrorCode
from cinderway.replication._messages import Entry, EntryKind, HardState, Snapshot
from cinderway.replication._storage import DataFolder

ADDRESS = "127.0.0.1:7000"


def entry(index, term=1, data=b"x"):
    return Entry(index, term, EntryKind.COMMAND, data)


def recover(path):
    folder = DataFolder(path, "control", ADDRESS)
    try:
        return folder.recover()
    finally:
        folder.close()


class FullDisk:
    """A fake `os.write` with room for a number of bytes; then it raises ENOSPC."""

    def __init__(self, free_bytes):
        self.free_bytes = free_bytes
        self._write = os.write

    def write(self, descriptor, data):
        if not self.free_bytes:
            raise OSError(errno.ENOSPC, "No space left on device")
        written = self._write(descriptor, bytes(data[: self.free_bytes]))
        self.free_bytes -= written
        return written


class DataFolderTest(unittest.TestCase):
    def setUp(self):
        self.temporary = tempfile.TemporaryDirectory()
        self.addCleanup(self.temporary.cleanup)
        self.path = Path(self.temporary.name) / "data"

    def write(self, *batches):
        folder = DataFolder(self.path, "control", ADDRESS)
        folder.recover()
        for hard_state, entries in batches:
            folder.append(hard_state, entries)
        folder.close()
        return next(self.path.glob("wal-*"))

    def assert_refused(self, code, path=None):
        with self.assertRaises(CinderwayError) as caught:
            recover(path or self.path)
        self.assertIs(caught.exception.code, code)

    def test_a_batch_cut_short_by_a_full_disk_is_absent_and_can_be_retried(self):
        folder = DataFolder(self.path, "control", ADDRESS)
        folder.recover()
        folder.append(HardState(3, 9), [entry(1)])
        for free_bytes in (0, 1, 20):
            disk = FullDisk(free_bytes)
            with mock.patch("os.write", disk.write), self.assertRaises(OSError):
                folder.append(None, [entry(2, data=b"x" * 100)])
        folder.append(None, [entry(2, data=b"y")])
        folder.close()
        recovered = recover(self.path)
        self.assertEqual(recovered.log.last_index, 2)
        self.assertEqual(recovered.log.entries_from(2)[0].data, b"y")

    def test_a_snapshot_cut_short_by_a_full_disk_leaves_the_old_state(self):
        folder = DataFolder(self.path, "control", ADDRESS)
        folder.recover()
        folder.append(HardState(3, 9), [entry(1), entry(2)])
        snapshot = Snapshot(2, 1, Snapshot(0, 0, b"", b"").membership, b"s" * 500)
        with mock.patch("os.write", FullDisk(100).write):
            with self.assertRaises(OSError):
                folder.replace(snapshot, HardState(3, 9), [])
        folder.append(None, [entry(3)])
        folder.close()
        self.assertEqual(recover(self.path).log.last_index, 3)

    def test_all_synced_batches_are_read_back(self):
        self.write((HardState(3, 9), [entry(1), entry(2)]), (None, [entry(2, 3)]))
        recovered = recover(self.path)
        self.assertEqual(recovered.hard_state, HardState(3, 9))
        self.assertEqual(recovered.log.entries_from(1), [entry(1), entry(2, 3)])

    @settings(max_examples=60)
    @given(cut=st.integers(1, 120))
    def test_torn_tail_is_truncated(self, cut):
        with tempfile.TemporaryDirectory() as name:
            self.path = Path(name) / "data"
            wal = self.write((HardState(1), [entry(1)]))
            complete_bytes = wal.stat().st_size
            self.write((None, [entry(2, data=b"y" * 100)]))
            content = wal.read_bytes()
            cut = min(cut, len(content) - complete_bytes)
            wal.write_bytes(content[:-cut])
            recovered = recover(self.path)
            self.assertEqual(recovered.log.last_index, 1)

    @settings(max_examples=80)
    @given(position=st.floats(0, 0.999), flip=st.integers(1, 255))
    def test_damage_before_the_tail_is_refused(self, position, flip):
        with tempfile.TemporaryDirectory() as name:
            self.path = Path(name) / "data"
            wal = self.write((HardState(1), [entry(1)]))
            first_batch_end = wal.stat().st_size
            self.write((None, [entry(2)]))
            content = bytearray(wal.read_bytes())
            content[int(position * first_batch_end)] ^= flip
            wal.write_bytes(bytes(content))
            self.assert_refused(ErrorCode.DATA_DAMAGED)

    def test_damage_to_a_complete_last_record_is_refused(self):
        wal = self.write((HardState(1), [entry(1, data=b"paid" * 200)]))
        content = bytearray(wal.read_bytes())
        content[-50] ^= 1
        wal.write_bytes(bytes(content))
        self.assert_refused(ErrorCode.DATA_DAMAGED)

    def test_data_folder_of_another_replica_is_refused(self):
        self.write()
        with self.assertRaises(CinderwayError) as caught:
            DataFolder(self.path, "control", "127.0.0.1:7001")
        self.assertIs(caught.exception.code, ErrorCode.DATA_FOREIGN)

    def test_data_folder_of_another_group_is_refused(self):
        self.write()
        with self.assertRaises(CinderwayError) as caught:
            DataFolder(self.path, "ledger", ADDRESS)
        self.assertIs(caught.exception.code, ErrorCode.DATA_FOREIGN)

    def test_data_folder_in_use_is_refused(self):
        folder = DataFolder(self.path, "control", ADDRESS)
        self.addCleanup(folder.close)
        with self.assertRaises(CinderwayError) as caught:
            DataFolder(self.path, "control", ADDRESS)
        self.assertIs(caught.exception.code, ErrorCode.DATA_FOREIGN)

    def test_missing_log_with_existing_identity_is_refused(self):
        self.write((HardState(1), [entry(1)])).unlink()
        self.assert_refused(ErrorCode.DATA_DAMAGED)

    def test_missing_snapshot_is_refused(self):
        folder = DataFolder(self.path, "control", ADDRESS)
        folder.recover()
        folder.replace(Snapshot(5, 1, b"\x82", b""), HardState(1), [])
        folder.close()
        next(self.path.glob("snapshot-*")).unlink()
        self.assert_refused(ErrorCode.DATA_DAMAGED)

    def test_emptied_folder_gets_a_new_identity(self):
        self.write()
        before = DataFolder(self.path, "control", ADDRESS)
        old_id = before.identity.replica_id
        before.close()
        for path in self.path.iterdir():
            path.unlink()
        after = DataFolder(self.path, "control", ADDRESS)
        self.addCleanup(after.close)
        self.assertNotEqual(after.identity.replica_id, old_id)

    def test_group_is_created_only_once(self):
        DataFolder(self.path, "control", ADDRESS).bootstrap(b"")
        folder = DataFolder(self.path, "control", ADDRESS)
        self.addCleanup(folder.close)
        with self.assertRaises(CinderwayError):
            folder.bootstrap(b"")
