"""Runs one replica: connects the core to disk, network, clock and state machine."""

import logging
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

import anyio
import anyio.to_thread

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, ReplicaId
from cinderway.replication._core import ConfirmedRead, Output, Replica, Role, Timing
from cinderway.replication._links import Links
from cinderway.replication._messages import (
    REPLICATION,
    Entry,
    EntryKind,
    Membership,
    Snapshot,
)
from cinderway.replication._storage import DataFolder
from cinderway.wire import Connection, Identity, Route

logger = logging.getLogger(__name__)

TICK_S = 0.02
JOIN_INTERVAL_S = 0.3
TRANSFER_TIMEOUT_S = 1.0
# Long enough for the election of a leader that takes the vote back.
LEAVE_TIMEOUT_S = 3.0
# A failed disk write is retried after this delay.
DISK_RETRY_DELAY_S = 0.2
# Writing a snapshot is expensive, and the log can go on growing meanwhile, so after a
# failure compaction is retried later than other writes.
COMPACTION_RETRY_DELAY_MS = 5_000


class StateMachine(Protocol):
    """The state that replicated commands act on.

    It must be deterministic, so that all replicas compute the same state.
    """

    def apply(self, index: int, data: bytes) -> Any:
        """Execute a committed command and return its result."""

    def capture_snapshot(self) -> Callable[[], bytes]:
        """Return a function that encodes the state as of this call.

        The function is called later, in another thread. It must let other threads run
        every few milliseconds, or heartbeats stop.
        """

    def restore(self, data: bytes) -> None:
        """Load an encoded state; b"" stands for the initial state."""


@dataclass(frozen=True)
class NodeSettings:
    """Configuration of one replica."""

    address: Address
    peers: tuple[Address, ...]
    timing: Timing = Timing()
    compaction_threshold_bytes: int = 4 * 1024 * 1024
    tick_s: float = TICK_S
    # While there are more voters than this, a voter that stays silent is removed; with
    # 0 none is ever removed.
    target_voters: int = 0


@dataclass
class NodeCounters:
    """Event counts since the start of the process."""

    syncs: int = 0
    wal_bytes_written: int = 0
    applied: int = 0
    snapshots: int = 0
    elections_won: int = 0


@dataclass
class _PendingCall:
    term: int
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Any = None
    is_overwritten: bool = False


class Node:
    """One replica of a group, from start to stop.

    `propose` returns only after the command is durable on a quorum and applied to the
    local state machine. If it raises DEADLINE_PASSED, the command may still take
    effect later.
    """

    def __init__(
        self,
        folder: DataFolder,
        state_machine: StateMachine,
        settings: NodeSettings,
        identity: Identity,
    ):
        self.folder = folder
        self.state_machine = state_machine
        self.settings = settings
        # Join requests go to these addresses, and to the members that are known, while
        # this replica is not a member.
        self.peers = settings.peers
        self.counters = NodeCounters()
        self.applied_index = 0
        # The latest time as of which the local state is known to include everything
        # that a leader had committed by then.
        self.up_to_date_at_ms: int | None = None
        self._identity = identity
        recovered = folder.recover()
        state_machine.restore(recovered.log.snapshot.data)
        self.applied_index = recovered.log.snapshot.index
        self.core = Replica(
            folder.identity.replica_id,
            settings.address,
            recovered.log,
            recovered.hard_state,
            settings.timing,
            random.Random(),
            monotonic_ms(),
            settings.target_voters,
        )
        self._wake = anyio.Event()
        self._applied = anyio.Event()
        self._pending_proposals: dict[int, _PendingCall] = {}
        self._pending_reads: dict[int, _PendingCall] = {}
        self._next_read_id = 1
        self._compaction_paused_until_ms = 0
        self._last_role = Role.FOLLOWER
        self._last_membership = self.core.membership

    @property
    def route(self) -> Route:
        """The handler of connections from other replicas."""
        return Route(REPLICATION, self._receive)

    @property
    def leader_address(self) -> Address | None:
        """The leader's address, or None if this replica does not know it."""
        member = self.core.membership.members.get(self.core.leader_id)
        return member.address if member else None

    @property
    def has_caught_up(self) -> bool:
        """Whether the local state has included all acknowledged commands at some time.

        This is false from the start of the process until the replica has learned from
        a leader, or from its own election, what is committed, and has applied it.
        """
        core = self.core
        return core.has_caught_up and self.applied_index >= core.caught_up_index

    def knowledge_age_ms(self, now_ms: int) -> int | None:
        """Upper bound of the local state's age in milliseconds; None if not known.

        The time of the leader's last message is not enough: a replica whose disk
        stalls hears its leader but applies nothing, and would pass for current.
        """
        # A new leader may hold entries that were acknowledged earlier without knowing
        # that they are committed, until it has committed an entry in its own term.
        if self.core.is_leader_at(now_ms) and self.core.has_committed_in_term:
            return 0
        if self.up_to_date_at_ms is None:
            return None
        return max(now_ms - self.up_to_date_at_ms, 0)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            links = Links(tasks, self._identity)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._join, links)
            await self._process_output(links)

    async def propose(self, data: bytes, timeout_s: float) -> Any:
        """Replicate a command and return the result of applying it."""
        index = self.core.propose(data)
        pending = self._pending_proposals[index] = _PendingCall(self.core.term)
        self._wake.set()
        try:
            with anyio.fail_after(timeout_s):
                await pending.done.wait()
        except TimeoutError as error:
            raise self._deadline_error(
                "the command was not committed in time"
            ) from error
        finally:
            if self._pending_proposals.get(index) is pending:
                del self._pending_proposals[index]
        if pending.is_overwritten:
            raise CinderwayError(
                ErrorCode.NOT_LEADER,
                "another leader overwrote the command before it was committed",
                step=Step.PROPOSE,
            )
        return pending.result

    async def read_barrier(self, timeout_s: float) -> None:
        """Return once the local state has all commands acknowledged before the call."""
        read_id = self._next_read_id
        self._next_read_id += 1
        self.core.request_read(read_id)
        pending = self._pending_reads[read_id] = _PendingCall(self.core.term)
        self._wake.set()
        try:
            with anyio.fail_after(timeout_s):
                await pending.done.wait()
                while self.applied_index < pending.result:
                    await self.wait_for_applied_entry()
        except TimeoutError as error:
            raise self._deadline_error(
                "no quorum confirmed the leader in time"
            ) from error
        finally:
            del self._pending_reads[read_id]

    async def wait_for_applied_entry(self) -> None:
        """Return when at least one more entry has been applied."""
        await self._applied.wait()

    async def remove_member(self, replica_id: ReplicaId) -> None:
        """Remove a replica from the group."""
        self.core.remove_member(replica_id)
        self._wake.set()

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another replica, if one takes it in time."""
        with anyio.move_on_after(TRANSFER_TIMEOUT_S):
            while self.core.is_leader:
                self.core.transfer_leadership()
                self._wake.set()
                await anyio.sleep(TICK_S)

    async def leave(self) -> None:
        """Give up the vote before a stop, if the group takes it in time.

        A machine that is replaced for good then goes without a vote. One that is only
        restarted joins again.
        """
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            while self.core.leave():
                await anyio.sleep(TICK_S)

    # Background tasks.

    async def _tick(self) -> None:
        while True:
            self.core.tick(monotonic_ms())
            self._record_role_change()
            self._record_membership_change()
            self._wake.set()
            await anyio.sleep(self.settings.tick_s)

    async def _join(self, links: Links) -> None:
        while True:
            if self.core.needs_to_join:
                for address in self._find_join_contacts():
                    links.send(address, self.core.build_join_request())
            await anyio.sleep(JOIN_INTERVAL_S)

    def _find_join_contacts(self) -> set[Address]:
        members = self.core.membership.members.values()
        known = {*self.peers, *(member.address for member in members)}
        return known - {self.settings.address}

    async def _receive(self, connection: Connection, name: str) -> None:
        while True:
            envelope = await connection.receive()
            self.core.step(envelope.message, monotonic_ms())
            self._wake.set()

    async def _process_output(self, links: Links) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            output = self.core.take_output()
            for outgoing in output.take_early_messages():
                links.send(outgoing.address, outgoing.message)
            await self._persist(output)
            for outgoing in output.outgoing:
                links.send(outgoing.address, outgoing.message)
            self._apply(output.committed)
            self._record_freshness()
            self._complete_reads(output.reads)
            await self._compact_if_large()

    async def _persist(self, output: Output) -> None:
        if not output.has_records:
            return
        # These are read before the worker thread starts writing, because messages that
        # arrive while it writes can change them.
        last_index, last_term = self.core.log.last_index, self.core.log.last_term
        hard_state = self.core.hard_state
        if output.snapshot is not None:
            await self._write_with_retries(
                self.folder.replace, output.snapshot, hard_state, output.entries
            )
            self.state_machine.restore(output.snapshot.data)
            self.applied_index = output.snapshot.index
            self._notify_applied()
        else:
            before_bytes = self.folder.wal_bytes
            await self._write_with_retries(
                self.folder.append, output.hard_state, output.entries
            )
            self.counters.wal_bytes_written += self.folder.wal_bytes - before_bytes
        self.counters.syncs += 1
        self.core.record_persisted(last_index, last_term)
        self._wake.set()

    async def _write_with_retries(
        self, write: Callable[..., None], *content: Any
    ) -> None:
        """Write to the disk, retrying until it succeeds.

        Meanwhile this replica sends nothing, as if it were partitioned away: it
        acknowledges nothing, and if it leads, the others elect a leader whose disk
        works.
        """
        is_logged = False
        while True:
            try:
                await anyio.to_thread.run_sync(write, *content)
            except OSError as error:
                if not is_logged:
                    logger.error(
                        "disk write failed: %s; retrying until it succeeds", error
                    )
                is_logged = True
                await anyio.sleep(DISK_RETRY_DELAY_S)
            else:
                break
        if is_logged:
            logger.warning("disk write succeeded after retries")

    def _apply(self, entries: list[Entry]) -> None:
        for entry in entries:
            result = None
            if entry.kind is EntryKind.COMMAND:
                result = self.state_machine.apply(entry.index, entry.data)
            self.applied_index = entry.index
            self.counters.applied += 1
            pending = self._pending_proposals.get(entry.index)
            if pending is not None:
                pending.result = result
                pending.is_overwritten = pending.term != entry.term
                pending.done.set()
        if entries:
            self._notify_applied()

    def _record_freshness(self) -> None:
        if self.applied_index >= self.core.leader_commit_index:
            self.up_to_date_at_ms = self.core.leader_commit_received_at_ms

    def _complete_reads(self, reads: list[ConfirmedRead]) -> None:
        for read in reads:
            pending = self._pending_reads.get(read.read_id)
            if pending is not None:
                pending.result = read.index
                pending.done.set()

    async def _compact_if_large(self) -> None:
        # The log must grow at least as large as the last snapshot before the next one
        # is written, so that snapshots stay a bounded share of all bytes written.
        snapshot_bytes = len(self.core.log.snapshot.data)
        limit_bytes = max(self.settings.compaction_threshold_bytes, snapshot_bytes)
        if self.folder.wal_bytes < limit_bytes:
            return
        index = self.applied_index
        is_paused = monotonic_ms() < self._compaction_paused_until_ms
        if index == self.core.log.snapshot.index or is_paused:
            return
        term = self.core.log.term_at(index)
        membership = self.core.log.membership_at(index).encode()
        encode = self.state_machine.capture_snapshot()
        data = await anyio.to_thread.run_sync(encode)
        snapshot = Snapshot(index, term, membership, data)
        # Messages that arrived while the state was encoded have changed the log in
        # memory only. The entries written here may include such changes; they are
        # written again when the output of those messages is persisted.
        try:
            await anyio.to_thread.run_sync(
                self.folder.replace,
                snapshot,
                self.core.hard_state,
                self.core.log.entries_from(index + 1),
            )
        except OSError as error:
            logger.error("writing a snapshot failed: %s; keeping the log", error)
            self._compaction_paused_until_ms = (
                monotonic_ms() + COMPACTION_RETRY_DELAY_MS
            )
            return
        self.counters.snapshots += 1
        if snapshot.index > self.core.log.snapshot.index:
            self.core.compact(snapshot)

    def _notify_applied(self) -> None:
        self._applied.set()
        self._applied = anyio.Event()

    def _record_role_change(self) -> None:
        if self.core.role is self._last_role:
            return
        if self.core.is_leader:
            self.counters.elections_won += 1
        proven_lost = ", ".join(f"{voter:x}" for voter in sorted(self.core.proven_lost))
        logger.info(
            "replica %x became %s in term %d%s",
            self.core.replica_id,
            self.core.role.value,
            self.core.term,
            f" without voters whose disks are lost: {proven_lost}"
            if proven_lost
            else "",
        )
        self._last_role = self.core.role

    def _record_membership_change(self) -> None:
        old, new = self._last_membership, self.core.membership
        if new == old:
            return
        logger.info(
            "membership at log index %d as replica %x knows it: %s; %d voters of %d",
            self.core.log.membership_index,
            self.core.replica_id,
            ", ".join(_describe_changes(old, new)) or "unchanged",
            len(new.voters),
            len(new.members),
        )
        self._last_membership = new

    def _deadline_error(self, detail: str) -> CinderwayError:
        return CinderwayError(
            ErrorCode.DEADLINE_PASSED,
            detail,
            step=Step.PROPOSE,
            peer=self.leader_address or "",
        )


def _describe_changes(old: Membership, new: Membership) -> Iterator[str]:
    for replica_id in old.members.keys() - new.members.keys():
        yield f"removed {replica_id:x} at {old.members[replica_id].address}"
    for replica_id, member in new.members.items():
        if old.members.get(replica_id) != member:
            kind = "voter" if member.is_voter else "learner"
            yield f"{kind} {replica_id:x} at {member.address}"
