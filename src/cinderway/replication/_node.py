"""Runs one replica: disk, network, clock and state machine around the pure core."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import anyio
import anyio.to_thread

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import NO_REPLICA, Address, ReplicaId
from cinderway.replication._core import ConfirmedRead, Output, Replica, Role, Timing
from cinderway.replication._links import Links
from cinderway.replication._messages import (
    REPLICATION,
    Entry,
    EntryKind,
    JoinRequest,
    Snapshot,
)
from cinderway.replication._storage import DataFolder
from cinderway.wire import Connection, Identity, Route

logger = logging.getLogger(__name__)

TICK_S = 0.02
JOIN_PAUSE_S = 0.3
HAND_OVER_LIMIT_S = 1.0
# A disk that refuses a write is asked again after this pause.
DISK_RETRY_S = 0.2
# Writing a snapshot is work; after a failure the log can wait longer.
COMPACT_RETRY_MS = 5_000


class StateMachine(Protocol):
    """What the replicated commands act on. Must depend on its inputs only."""

    def apply(self, index: int, data: bytes) -> Any:
        """Carry out a committed command and return its result."""

    def capture_snapshot(self) -> Callable[[], bytes]:
        """Return what encodes the state as of now, later and in another thread.

        It must let other threads run every few milliseconds, or heartbeats stop.
        """

    def restore(self, data: bytes) -> None:
        """Take over an encoded state; b"" is the first one."""


@dataclass(frozen=True)
class NodeSettings:
    """How one replica runs."""

    address: Address
    peers: tuple[Address, ...]
    timing: Timing = Timing()
    compact_at_bytes: int = 4 * 1024 * 1024
    tick_s: float = TICK_S
    # Above this many, a voter that stays silent is taken out; 0: none ever is.
    wanted_voters: int = 0


@dataclass
class NodeCounters:
    """Counted since start."""

    syncs: int = 0
    records_bytes: int = 0
    applied: int = 0
    snapshots: int = 0
    elections_won: int = 0


@dataclass
class _Waiting:
    term: int
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Any = None
    was_replaced: bool = False


class Node:
    """One replica of a group, from start to stop.

    `propose` returns only after the command is durable on a quorum and applied
    here. When it raises DEADLINE_PASSED the command may still take effect.
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
        # Asked to be taken in by, until this replica is a member.
        self.peers = settings.peers
        self.counters = NodeCounters()
        self.applied_index = 0
        # When all that a leader had committed by then was known to be applied here.
        self.known_at_ms: int | None = None
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
            settings.wanted_voters,
        )
        self._wake = anyio.Event()
        self._applied = anyio.Event()
        self._waiting: dict[int, _Waiting] = {}
        self._reads: dict[int, _Waiting] = {}
        self._next_read_id = 1
        self._compact_after_ms = 0
        self._last_role = Role.FOLLOWER

    @property
    def route(self) -> Route:
        """What serves the other replicas' connections to this one."""
        return Route(REPLICATION, self._receive)

    @property
    def leader_address(self) -> Address | None:
        """Where the leader is, as far as known here."""
        member = self.core.membership.members.get(self.core.leader_id)
        return member.address if member else None

    @property
    def has_caught_up(self) -> bool:
        """Whether what is applied here held all that was acknowledged, at some time."""
        core = self.core
        return core.has_caught_up and self.applied_index >= core.caught_up_index

    def knowledge_age_ms(self, now_ms: int) -> int | None:
        """How old what is applied here may be; None if that is not known.

        A replica may hear its leader and still apply nothing, while its disk stalls.
        By the leader's last message alone such a one passed for current.
        """
        # A new leader may hold what was acknowledged before, and not know it committed.
        if self.core.leads_at(now_ms) and self.core.has_committed_in_term:
            return 0
        if self.known_at_ms is None:
            return None
        return max(now_ms - self.known_at_ms, 0)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            links = Links(tasks, self._identity)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._join, links)
            await self._work(links)

    async def propose(self, data: bytes, timeout_s: float) -> Any:
        """Replicate a command and return what applying it gave."""
        index = self.core.propose(data)
        waiting = self._waiting[index] = _Waiting(self.core.term)
        self._wake.set()
        try:
            with anyio.fail_after(timeout_s):
                await waiting.done.wait()
        except TimeoutError as error:
            raise self._no_quorum("the command was not committed in time") from error
        finally:
            if self._waiting.get(index) is waiting:
                del self._waiting[index]
        if waiting.was_replaced:
            raise CinderwayError(
                ErrorCode.NOT_LEADER,
                "another leader replaced the command",
                step=Step.PROPOSE,
            )
        return waiting.result

    async def read_barrier(self, timeout_s: float) -> None:
        """Return once the state here is as new as any acknowledged before the call."""
        read_id = self._next_read_id
        self._next_read_id += 1
        self.core.read(read_id)
        waiting = self._reads[read_id] = _Waiting(self.core.term)
        self._wake.set()
        try:
            with anyio.fail_after(timeout_s):
                await waiting.done.wait()
                while self.applied_index < waiting.result:
                    await self.wait_applied()
        except TimeoutError as error:
            raise self._no_quorum("no quorum confirmed the leader") from error
        finally:
            del self._reads[read_id]

    async def wait_applied(self) -> None:
        """Return when another entry has been applied."""
        await self._applied.wait()

    async def remove_member(self, replica_id: ReplicaId) -> None:
        """Take a replica out of the group."""
        self.core.remove_member(replica_id)
        self._wake.set()

    async def hand_over(self) -> None:
        """Give leadership to another replica, as far as one is there to take it."""
        with anyio.move_on_after(HAND_OVER_LIMIT_S):
            while self.core.is_leader:
                self.core.transfer_leadership()
                self._wake.set()
                await anyio.sleep(TICK_S)

    # Tasks.

    async def _tick(self) -> None:
        while True:
            self.core.tick(monotonic_ms())
            self._note_role()
            self._wake.set()
            await anyio.sleep(self.settings.tick_s)

    async def _join(self, links: Links) -> None:
        while not self.core.membership.members:
            for address in self.peers:
                if address != self.settings.address:
                    links.send(address, self._join_request())
            await anyio.sleep(JOIN_PAUSE_S)

    def _join_request(self) -> JoinRequest:
        return JoinRequest(
            sender=self.core.replica_id,
            target=NO_REPLICA,
            address=self.settings.address,
            cluster_id=self.core.membership.cluster_id,
        )

    async def _receive(self, connection: Connection, name: str) -> None:
        while True:
            envelope = await connection.receive()
            self.core.step(envelope.message, monotonic_ms())
            self._wake.set()

    async def _work(self, links: Links) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            output = self.core.take_output()
            for outgoing in output.take_early():
                links.send(outgoing.address, outgoing.message)
            await self._make_durable(output)
            for outgoing in output.outgoing:
                links.send(outgoing.address, outgoing.message)
            self._apply(output.committed)
            self._note_known()
            self._confirm(output.reads)
            await self._compact_if_large()

    async def _make_durable(self, output: Output) -> None:
        if not output.has_records:
            return
        # Read before the thread starts: while it writes, messages go on arriving.
        last_index, last_term = self.core.log.last_index, self.core.log.last_term
        hard_state = self.core.hard_state
        if output.snapshot is not None:
            await self._until_written(
                self.folder.replace, output.snapshot, hard_state, output.entries
            )
            self.state_machine.restore(output.snapshot.data)
            self.applied_index = output.snapshot.index
            self._note_applied()
        else:
            before_bytes = self.folder.wal_bytes
            await self._until_written(
                self.folder.append, output.hard_state, output.entries
            )
            self.counters.records_bytes += self.folder.wal_bytes - before_bytes
        self.counters.syncs += 1
        self.core.persisted(last_index, last_term)
        self._wake.set()

    async def _until_written(self, write: Callable[..., None], *content: Any) -> None:
        """Write to the disk, again and again while it refuses.

        Meanwhile this replica sends nothing, as if it were cut off: it acknowledges
        nothing, and a leader is replaced by one whose disk works.
        """
        is_told = False
        while True:
            try:
                await anyio.to_thread.run_sync(write, *content)
            except OSError as error:
                if not is_told:
                    logger.error("the disk refuses a write: %s; trying again", error)
                is_told = True
                await anyio.sleep(DISK_RETRY_S)
            else:
                break
        if is_told:
            logger.warning("the disk takes writes again")

    def _apply(self, entries: list[Entry]) -> None:
        for entry in entries:
            result = None
            if entry.kind is EntryKind.COMMAND:
                result = self.state_machine.apply(entry.index, entry.data)
            self.applied_index = entry.index
            self.counters.applied += 1
            waiting = self._waiting.get(entry.index)
            if waiting is not None:
                waiting.result = result
                waiting.was_replaced = waiting.term != entry.term
                waiting.done.set()
        if entries:
            self._note_applied()

    def _note_known(self) -> None:
        if self.applied_index >= self.core.told_commit_index:
            self.known_at_ms = self.core.told_at_ms

    def _confirm(self, reads: list[ConfirmedRead]) -> None:
        for read in reads:
            waiting = self._reads.get(read.read_id)
            if waiting is not None:
                waiting.result = read.index
                waiting.done.set()

    async def _compact_if_large(self) -> None:
        # A large state is written again only after as much log, so that writing
        # snapshots stays a constant share of all writing.
        snapshot_bytes = len(self.core.log.snapshot.data)
        limit_bytes = max(self.settings.compact_at_bytes, snapshot_bytes)
        if self.folder.wal_bytes < limit_bytes:
            return
        index = self.applied_index
        is_paused = monotonic_ms() < self._compact_after_ms
        if index == self.core.log.snapshot.index or is_paused:
            return
        term = self.core.log.term_at(index)
        membership = self.core.log.membership_at(index).encode()
        encode = self.state_machine.capture_snapshot()
        data = await anyio.to_thread.run_sync(encode)
        snapshot = Snapshot(index, term, membership, data)
        # Messages that came in meanwhile have changed the log in memory only; what
        # is written now is written again with the output that they led to.
        try:
            await anyio.to_thread.run_sync(
                self.folder.replace,
                snapshot,
                self.core.hard_state,
                self.core.log.entries_from(index + 1),
            )
        except OSError as error:
            logger.error("no snapshot was written: %s; the log goes on", error)
            self._compact_after_ms = monotonic_ms() + COMPACT_RETRY_MS
            return
        self.counters.snapshots += 1
        if snapshot.index > self.core.log.snapshot.index:
            self.core.compact(snapshot)

    def _note_applied(self) -> None:
        self._applied.set()
        self._applied = anyio.Event()

    def _note_role(self) -> None:
        if self.core.role is self._last_role:
            return
        if self.core.is_leader:
            self.counters.elections_won += 1
        logger.info(
            "replica %x is now %s in term %d",
            self.core.replica_id,
            self.core.role.value,
            self.core.term,
        )
        self._last_role = self.core.role

    def _no_quorum(self, detail: str) -> CinderwayError:
        return CinderwayError(
            ErrorCode.DEADLINE_PASSED,
            detail,
            step=Step.PROPOSE,
            peer=self.leader_address or "",
        )
