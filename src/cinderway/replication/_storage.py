"""The data folder of a replica: identity, snapshot and write-ahead log.

    identity          the replica's id, created once together with the folder
    snapshot-N        the state machine as of index N
    first-start       this process is to create the group, and has not done so yet
    wal-G             generation G of the log: the snapshot that it starts from, and the
                      hard state and entries since then

A first start writes the identity last, and sends nothing before. What it has written
when it is interrupted is hence overwritten by the next start; a folder without an
identity that holds anything else is damaged.

All calls block; the driver runs the writes in a worker thread.
"""

import fcntl
import os
import secrets
from dataclasses import dataclass
from pathlib import Path

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._first_start import MARK_FILE
from cinderway._ids import Address, ReplicaId
from cinderway.replication._log import Log
from cinderway.replication._messages import (
    EMPTY_SNAPSHOT,
    Entry,
    HardState,
    Member,
    Membership,
    Snapshot,
)
from cinderway.replication._records import frame_record, scan_records

IDENTITY_FILE = "identity"
LOCK_FILE = "lock"
TEMPORARY_SUFFIX = ".tmp"
BOOTSTRAP_INDEX = 1
BOOTSTRAP_TERM = 1


class FolderIdentity(msgspec.Struct, frozen=True):
    """The group and replica that a data folder belongs to."""

    group: str
    replica_id: ReplicaId
    address: Address


class WalStart(msgspec.Struct, frozen=True, tag=True):
    """First record of a log file: names the snapshot that its entries follow."""

    snapshot_index: int


class WalBatch(msgspec.Struct, frozen=True, tag=True):
    """The records of one sync; its entries overwrite those at and after their index."""

    hard_state: HardState | None
    entries: list[Entry]


FIRST_GENERATION = 1
# The records of the log that a first start writes: those of an empty replica, and those
# of the first replica of a new group.
EMPTY_WAL = [WalStart(EMPTY_SNAPSHOT.index), WalBatch(HardState(), [])]
BOOTSTRAP_WAL = [
    WalStart(BOOTSTRAP_INDEX),
    WalBatch(HardState(term=BOOTSTRAP_TERM), []),
]


@dataclass
class RecoveredState:
    """The log and hard state read from the folder when it was opened."""

    log: Log
    hard_state: HardState


class DataFolder:
    """Durable storage of one replica; data is durable only once a call returns."""

    def __init__(self, path: Path, group: str, address: Address):
        _make_folder(path)
        self.path = path
        self._lock = _lock_folder(path)
        self.is_new = not (path / IDENTITY_FILE).exists()
        self.identity = self._load_identity(group, address)
        self._generation = FIRST_GENERATION - 1
        self._wal: int | None = None
        self.wal_bytes = 0
        self._has_failed_write = False
        self._is_rename_synced = True

    # Opening.

    def recover(self) -> RecoveredState:
        """Read the stored state; truncate a torn tail, and raise an error on damage."""
        if self.is_bootstrap_interrupted:
            raise self._damaged_error(
                "the creation of a new group was interrupted; create the group again"
            )
        if self.is_new:
            self._start_wal(EMPTY_SNAPSHOT.index, HardState(), [])
            self._write_identity()
            return RecoveredState(Log(EMPTY_SNAPSHOT), HardState())
        wal_path = self._newest_wal()
        if wal_path is None:
            raise self._damaged_error("the write-ahead log is missing")
        recovered = self._read_wal(wal_path)
        self._remove_all_but(wal_path, recovered.log.snapshot.index)
        return recovered

    @property
    def is_bootstrap_interrupted(self) -> bool:
        """Whether `bootstrap` was to run here and has not completed.

        The group does not exist then, and nobody else will create it.
        """
        path = self._snapshot_path(BOOTSTRAP_INDEX)
        signs = (self.path / MARK_FILE, path, _temporary_path(path))
        return self.is_new and any(sign.exists() for sign in signs)

    def bootstrap(self, state: bytes) -> None:
        """Make this folder the first and only voter of a new group.

        May be repeated after it was interrupted.

        `state` is the state machine's initial state, encoded as in a snapshot.
        """
        if not self.is_new:
            raise CinderwayError(
                ErrorCode.DATA_FOREIGN,
                f"{self.path} already holds a replica; a new group needs a new folder",
                step=Step.STORE,
            )
        member = Member(self.identity.address, is_voter=True)
        cluster_id = secrets.randbits(63) | 1
        membership = Membership(cluster_id, {self.identity.replica_id: member})
        snapshot = Snapshot(BOOTSTRAP_INDEX, BOOTSTRAP_TERM, membership.encode(), state)
        self.replace(snapshot, HardState(term=BOOTSTRAP_TERM), [])
        self._write_identity()
        (self.path / MARK_FILE).unlink(missing_ok=True)
        self.close()

    def close(self) -> None:
        """Close the log file and release the lock on the folder."""
        self._close_wal()
        os.close(self._lock)

    # Writing.

    def append(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Append one batch to the log and sync it.

        After an OSError the batch is not durable, and the call may be repeated.
        """
        record = frame_record(msgspec.msgpack.encode(WalBatch(hard_state, entries)))
        self._prepare_wal()
        # A retry writes the bytes again rather than only syncing: after a failed sync
        # they may be lost even though a second sync would succeed.
        self._has_failed_write = True
        _write_all(self._wal, record)
        os.fdatasync(self._wal)
        self._has_failed_write = False
        self.wal_bytes += len(record)

    def replace(
        self, snapshot: Snapshot, hard_state: HardState, entries: list[Entry]
    ) -> None:
        """Replace all stored state by a snapshot and the entries after it.

        The snapshot is durable before the log file that refers to it appears, and the
        old files are removed only after that, so a crash at any point leaves one
        complete pair. After an OSError the state is stored in either form, and later
        batches go to the log that a restart reads.
        """
        content = frame_record(msgspec.msgpack.encode(snapshot))
        self._write_file(self._snapshot_path(snapshot.index), content)
        wal_path = self._start_wal(snapshot.index, hard_state, entries)
        self._remove_all_but(wal_path, snapshot.index)

    # Helpers.

    def _load_identity(self, group: str, address: Address) -> FolderIdentity:
        if self.is_new:
            self._check_never_used()
            return FolderIdentity(group, _new_replica_id(), address)
        identity = self._read_one_record(self.path / IDENTITY_FILE, FolderIdentity)
        if (identity.group, identity.address) != (group, address):
            raise CinderwayError(
                ErrorCode.DATA_FOREIGN,
                f"{self.path} belongs to {identity.group} at {identity.address}; "
                f"this is {group} at {address}",
                step=Step.STORE,
            )
        return identity

    def _check_never_used(self) -> None:
        """Raise an error unless the folder holds only what a first start writes."""
        wal_paths, snapshot_paths = self._wal_paths(), self._snapshot_paths()
        if set(snapshot_paths) <= {self._snapshot_path(BOOTSTRAP_INDEX)}:
            if not wal_paths:
                return
            if wal_paths == [self._wal_path(FIRST_GENERATION)]:
                content = wal_paths[0].read_bytes()
                scanned = scan_records(content, source=str(wal_paths[0]))
                is_complete = scanned.valid_bytes == len(content)
                records = self._decode_records(wal_paths[0], scanned.payloads)
                if is_complete and records in (EMPTY_WAL, BOOTSTRAP_WAL):
                    return
        raise self._damaged_error("the identity file is missing")

    def _write_identity(self) -> None:
        # The identity is written last: once it exists, a missing log means damage
        # rather than a new folder. A replica that lost its log but kept its id could
        # vote twice in one term.
        content = frame_record(msgspec.msgpack.encode(self.identity))
        self._write_file(self.path / IDENTITY_FILE, content)

    def _start_wal(
        self, snapshot_index: int, hard_state: HardState, entries: list[Entry]
    ) -> Path:
        path = self._wal_path(self._generation + 1)
        start = frame_record(msgspec.msgpack.encode(WalStart(snapshot_index)))
        batch = frame_record(msgspec.msgpack.encode(WalBatch(hard_state, entries)))
        _write_synced(_temporary_path(path), start + batch)
        os.rename(_temporary_path(path), path)
        # From here on a restart may read the new log, so every later batch goes there.
        self._close_wal()
        self._generation += 1
        self.wal_bytes = len(start) + len(batch)
        self._has_failed_write = False
        self._is_rename_synced = False
        self._prepare_wal()
        return path

    def _prepare_wal(self) -> None:
        """Open the log, make its name durable, and remove a partially written record.

        Nothing after a partially written record could be read back.
        """
        if self._wal is None:
            self._wal = os.open(
                self._wal_path(self._generation), os.O_WRONLY | os.O_APPEND
            )
        if not self._is_rename_synced:
            self._sync_folder()
        if self._has_failed_write:
            os.ftruncate(self._wal, self.wal_bytes)

    def _close_wal(self) -> None:
        if self._wal is not None:
            os.close(self._wal)
            self._wal = None

    def _newest_wal(self) -> Path | None:
        paths = self._wal_paths()
        return paths[-1] if paths else None

    def _wal_paths(self) -> list[Path]:
        return sorted(self.path.glob("wal-*[0-9]"))

    def _wal_path(self, generation: int) -> Path:
        return self.path / f"wal-{generation:016d}"

    def _read_wal(self, path: Path) -> RecoveredState:
        content = path.read_bytes()
        scanned = scan_records(content, source=str(path))
        if not scanned.payloads:
            # A log file is renamed to its final name only once its first records are
            # synced, so this cannot be the result of a crash.
            raise self._damaged_error(f"{path.name} has no readable first record")
        start, *batches = self._decode_records(path, scanned.payloads)
        log = Log(self._read_snapshot(start.snapshot_index))
        hard_state = HardState()
        for batch in batches:
            log.append(batch.entries)
            hard_state = batch.hard_state or hard_state
        self._generation = int(path.name.removeprefix("wal-"))
        self._wal = os.open(path, os.O_WRONLY | os.O_APPEND)
        os.ftruncate(self._wal, scanned.valid_bytes)
        os.fsync(self._wal)
        self.wal_bytes = scanned.valid_bytes
        return RecoveredState(log, hard_state)

    def _decode_records(self, path: Path, payloads: list[bytes]) -> list:
        decoder = msgspec.msgpack.Decoder(WalStart | WalBatch)
        records = [decoder.decode(payload) for payload in payloads]
        kinds = [type(record) for record in records]
        if kinds != [WalStart] + [WalBatch] * (len(records) - 1):
            raise self._damaged_error(f"{path.name} holds records out of order")
        return records

    def _read_snapshot(self, index: int) -> Snapshot:
        if index == EMPTY_SNAPSHOT.index:
            return EMPTY_SNAPSHOT
        path = self._snapshot_path(index)
        if not path.exists():
            raise self._damaged_error(f"{path.name} is missing")
        return self._read_one_record(path, Snapshot)

    def _read_one_record(self, path: Path, kind: type):
        payloads = scan_records(path.read_bytes(), source=str(path)).payloads
        if len(payloads) != 1:
            raise self._damaged_error(
                f"{path.name} does not hold exactly one complete record"
            )
        return msgspec.msgpack.decode(payloads[0], type=kind)

    def _snapshot_paths(self) -> list[Path]:
        return sorted(self.path.glob("snapshot-*[0-9]"))

    def _snapshot_path(self, index: int) -> Path:
        return self.path / f"snapshot-{index:016d}"

    def _write_file(self, path: Path, content: bytes) -> None:
        _write_synced(_temporary_path(path), content)
        os.rename(_temporary_path(path), path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        _sync_folder(self.path)
        self._is_rename_synced = True

    def _remove_all_but(self, wal_path: Path, snapshot_index: int) -> None:
        kept = {wal_path, self._snapshot_path(snapshot_index)}
        for pattern in ("wal-*", "snapshot-*"):
            for path in self.path.glob(pattern):
                if path not in kept:
                    path.unlink()

    def _damaged_error(self, detail: str) -> CinderwayError:
        return CinderwayError(
            ErrorCode.DATA_DAMAGED, f"{self.path}: {detail}", step=Step.STORE
        )


def _make_folder(path: Path) -> None:
    """Create a folder and its missing parents, durably."""
    if path.exists():
        return
    _make_folder(path.parent)
    path.mkdir(exist_ok=True)
    _sync_folder(path.parent)


def _sync_folder(path: Path) -> None:
    """Make the names in a folder durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _temporary_path(path: Path) -> Path:
    return path.with_name(path.name + TEMPORARY_SUFFIX)


def _write_synced(path: Path, content: bytes) -> None:
    """Write a whole file and sync it; after an OSError the file is gone."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_all(descriptor, content)
        os.fsync(descriptor)
    except OSError:
        # On a full disk the log needs this space more.
        path.unlink()
        raise
    finally:
        os.close(descriptor)


def _new_replica_id() -> ReplicaId:
    # 63 bits fit a signed 64-bit integer in every library. The lowest bit is set, so
    # that the id is never 0.
    return ReplicaId(secrets.randbits(63) | 1)


def _lock_folder(path: Path) -> int:
    descriptor = os.open(path / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(descriptor)
        raise CinderwayError(
            ErrorCode.DATA_FOREIGN,
            f"{path} is in use by another process",
            step=Step.STORE,
        ) from error
    return descriptor


def _write_all(descriptor: int, content: bytes) -> None:
    view = memoryview(content)
    while view:
        view = view[os.write(descriptor, view) :]
