"""Raft without I/O: messages, time and randomness in; messages and records out.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014): chapter 3 (the
algorithm), 4 (single-server membership changes, leader stickiness), 5 (snapshots),
6.4 (reads that are not stale) and 9.6 (pre-vote).

Each input changes the replica's state in memory only. The driver then takes the
output, makes its records durable, sends its messages, and applies its committed
entries, in this order; a message that promises something is thus never sent before
the promise would survive a crash.
"""

import enum
import random
from dataclasses import dataclass, field

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import NO_REPLICA, Address, ReplicaId
from cinderway.replication._log import Log
from cinderway.replication._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    HardState,
    JoinRequest,
    Membership,
    Outgoing,
    ReplicaMessage,
    Snapshot,
    SnapshotRequest,
    TakeOver,
    VoteReply,
    VoteRequest,
)
from cinderway.replication._progress import (
    Progress,
    is_quorum,
    next_membership,
    quorum_value,
)

ENTRIES_PER_REQUEST = 512
SNAPSHOT_RETRY_MS = 2_000
# A large snapshot is given time to arrive before it is sent again.
SNAPSHOT_BYTES_PER_MS = 10_000
# A learner this close to the leader's end catches the rest up with one message.
CAUGHT_UP_ENTRIES = 64


class Role(enum.Enum):
    """What a replica is at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Timing:
    """Intervals of the protocol in milliseconds."""

    heartbeat_ms: int = 60
    election_min_ms: int = 400
    election_max_ms: int = 800
    # Until a replica has heard a leader since its start: a group that was killed whole
    # has none to wait for. A pre-vote disturbs nobody who does hear one.
    startup_min_ms: int = 400
    startup_max_ms: int = 800
    # A leader that has not heard a quorum for this long steps down: until then its
    # followers take it for one.
    quorum_silent_ms: int = 800
    # A voter that is silent for this long makes room once another took its place.
    replace_silent_ms: int = 5_000


@dataclass(frozen=True)
class ConfirmedRead:
    """A read that may be answered once `index` is applied."""

    read_id: int
    index: int


@dataclass
class Output:
    """What the driver must do, in the order of the fields."""

    snapshot: Snapshot | None = None
    hard_state: HardState | None = None
    entries: list[Entry] = field(default_factory=list)
    outgoing: list[Outgoing] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    reads: list[ConfirmedRead] = field(default_factory=list)

    def take_early(self) -> list[Outgoing]:
        """Return, and take out, the messages that need not wait for the disk.

        A leader's entries may travel while it writes them itself: it counts its own
        copy only once that is synced. A new term or vote must be durable first.
        """
        if self.hard_state is not None or self.snapshot is not None:
            return []
        early = [m for m in self.outgoing if isinstance(m.message, AppendRequest)]
        self.outgoing = [m for m in self.outgoing if m not in early]
        return early

    @property
    def has_records(self) -> bool:
        """Whether anything must be made durable."""
        return bool(self.snapshot or self.hard_state or self.entries)


class Replica:
    """One member of a replicated group.

    Guarantees, while the driver keeps the order above: at most one leader a term;
    an entry handed out as committed is in every later leader's log at the same
    index; a read is confirmed only if no other leader could have committed
    anything newer when it was asked.
    """

    def __init__(
        self,
        replica_id: ReplicaId,
        address: Address,
        log: Log,
        hard_state: HardState,
        timing: Timing,
        rng: random.Random,
        now_ms: int,
        wanted_voters: int = 0,
    ):
        self.replica_id = replica_id
        self.address = address
        self.log = log
        self.timing = timing
        self.role = Role.FOLLOWER
        self.leader_id = NO_REPLICA
        self.commit_index = log.snapshot.index
        self.leader_heard_at_ms: int | None = None
        self.progress: dict[ReplicaId, Progress] = {}
        self._hard_state = hard_state
        self._rng = rng
        self._now_ms = now_ms
        self._wanted_voters = wanted_voters
        self._persisted_index = log.last_index
        self._has_caught_up = False
        self._handed_out_index = log.snapshot.index
        self._votes: set[ReplicaId] = set()
        self._joining: dict[ReplicaId, Address] = {}
        self._transfer_target = NO_REPLICA
        self._transfer_deadline_ms = now_ms
        self._round = 0
        self._broadcast_due = False
        self._next_heartbeat_at_ms = now_ms
        self._reads: list[tuple[int, ConfirmedRead]] = []
        self._output = Output()
        self._reset_election_deadline()

    # State that others read.

    @property
    def term(self) -> int:
        """The current term."""
        return self._hard_state.term

    @property
    def hard_state(self) -> HardState:
        """The current term and vote."""
        return self._hard_state

    @property
    def membership(self) -> Membership:
        """The membership in effect here."""
        return self.log.membership

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads; another may already have replaced it."""
        return self.role is Role.LEADER

    @property
    def has_caught_up(self) -> bool:
        """Whether what is committed here held all that was acknowledged, once at least.

        A replica that has just started knows only a part of it until a leader, or its
        own election, has told it more; it must not show that part as the state.
        """
        if not self._has_caught_up and self.is_leader:
            self._has_caught_up = self.log.term_at(self.commit_index) == self.term
        return self._has_caught_up

    def silent_members(self) -> list[ReplicaId]:
        """Members the leader has not heard from for an election timeout."""
        if not self.is_leader:
            return []
        return self._silent_since(self._now_ms - self.timing.election_max_ms)

    def _silent_since(self, oldest_ms: int) -> list[ReplicaId]:
        return [
            replica_id
            for replica_id, progress in self.progress.items()
            if replica_id != self.replica_id and progress.last_heard_ms < oldest_ms
        ]

    # Inputs.

    def tick(self, now_ms: int) -> None:
        """Let time pass."""
        self._now_ms = max(now_ms, self._now_ms)
        if self.is_leader:
            self._tick_leader()
        elif self._now_ms >= self._election_deadline_ms:
            self._reset_election_deadline()
            if self.replica_id in self.membership.voters:
                self._start_pre_vote()

    def step(self, message: ReplicaMessage, now_ms: int) -> None:
        """Take one message. Messages for another identity are dropped.

        The target is checked because a replica that lost its disk comes back at
        the same address under a new identity; what others still send to the old
        one must not be answered by the new one.
        """
        self._now_ms = max(now_ms, self._now_ms)
        if isinstance(message, JoinRequest):
            self._on_join(message)
            return
        if message.target != self.replica_id:
            return
        match message:
            case VoteRequest():
                self._on_vote_request(message)
            case VoteReply():
                self._on_vote_reply(message)
            case AppendRequest():
                self._on_append_request(message)
            case AppendReply():
                self._on_append_reply(message)
            case SnapshotRequest():
                self._on_snapshot_request(message)
            case TakeOver():
                self._on_take_over(message)

    def propose(self, data: bytes) -> int:
        """Append a command and return its index; only the leader takes one."""
        self._require_leader()
        if self._transfer_target != NO_REPLICA:
            raise self._not_leader("the leader is handing over")
        index = self._append_own(EntryKind.COMMAND, data)
        self._broadcast_due = True
        return index

    def read(self, read_id: int) -> None:
        """Ask to confirm that this replica still leads, for a current read."""
        self._require_leader()
        if self.log.term_at(self.commit_index) != self.term:
            raise self._not_leader("the leader has not committed in its term yet")
        read = ConfirmedRead(read_id, self.commit_index)
        self._reads.append((self._round + 1, read))
        self._broadcast_due = True

    def remove_member(self, replica_id: ReplicaId) -> None:
        """Take a replica out of the group, on an operator's word."""
        self._require_leader()
        if replica_id not in self.membership.members:
            raise self._membership_refused(f"replica {replica_id} is not a member")
        if not self._may_change_membership():
            raise self._membership_refused("another change is still going on")
        if self.membership.voters == {replica_id}:
            raise self._membership_refused("the last voter cannot be removed")
        self._change_membership(self.membership.without(replica_id))

    def transfer_leadership(self) -> None:
        """Hand over to the follower that is furthest along, before a stop."""
        if not self.is_leader:
            return
        silent = set(self.silent_members())
        targets = self.membership.voters - silent - {self.replica_id}
        if not targets:
            return
        self._transfer_target = max(
            targets, key=lambda target: (self.progress[target].match_index, target)
        )
        self._transfer_deadline_ms = self._now_ms + self.timing.election_max_ms
        self._try_transfer()

    def persisted(self, index: int, term: int) -> None:
        """The driver's word that the log is durable up to an entry.

        The term tells whether the entry is still the one that was written: it may
        have been overwritten in memory while the disk was busy.
        """
        if self.log.term_at(index) != term:
            return
        self._persisted_index = max(self._persisted_index, index)
        if self.is_leader:
            self.progress[self.replica_id].match_index = self._persisted_index
            self._advance_commit()

    def compact(self, snapshot: Snapshot) -> None:
        """The driver's word that a snapshot of applied state is durable."""
        self.log.compact(snapshot)

    def take_output(self) -> Output:
        """Return what is to be done since the last call."""
        # Proposals and reads that came in together share one round of messages.
        if self._broadcast_due and self.is_leader:
            self._broadcast()
        output, self._output = self._output, Output()
        output.committed = self._committed_entries()
        return output

    # Elections.

    def _start_pre_vote(self) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader_id = NO_REPLICA
        self._votes = {self.replica_id}
        self._request_votes(self.term + 1, is_pre_vote=True)
        self._count_votes()

    def _start_election(self, *, is_transfer: bool) -> None:
        self.role = Role.CANDIDATE
        self.leader_id = NO_REPLICA
        self._set_hard_state(HardState(self.term + 1, self.replica_id))
        self._reset_election_deadline()
        self._votes = {self.replica_id}
        self._request_votes(self.term, is_pre_vote=False, is_transfer=is_transfer)
        self._count_votes()

    def _request_votes(
        self, term: int, *, is_pre_vote: bool, is_transfer: bool = False
    ) -> None:
        for target in self.membership.voters - {self.replica_id}:
            request = VoteRequest(
                sender=self.replica_id,
                target=target,
                term=term,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                is_pre_vote=is_pre_vote,
                is_transfer=is_transfer,
                sender_address=self.address,
            )
            self._send(request)

    def _count_votes(self) -> None:
        if not is_quorum(self.membership.voters, self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(is_transfer=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _on_vote_request(self, request: VoteRequest) -> None:
        # A replica that hears a leader neither votes nor takes the higher term:
        # otherwise one replica behind a one-way cut could unseat a good leader.
        if self._hears_leader() and not request.is_transfer:
            self._reply_vote(request, is_granted=False)
            return
        if request.term > self.term and not request.is_pre_vote:
            self._become_follower(request.term)
        is_granted = self._would_vote_for(request)
        if is_granted and not request.is_pre_vote:
            self._set_hard_state(HardState(self.term, request.sender))
            self._reset_election_deadline()
        self._reply_vote(request, is_granted=is_granted)

    def _would_vote_for(self, request: VoteRequest) -> bool:
        own_end = (self.log.last_term, self.log.last_index)
        if (request.last_term, request.last_index) < own_end:
            return False
        if request.is_pre_vote:
            return request.term > self.term
        return request.term == self.term and self._hard_state.voted_for in (
            NO_REPLICA,
            request.sender,
        )

    def _reply_vote(self, request: VoteRequest, *, is_granted: bool) -> None:
        reply = VoteReply(
            sender=self.replica_id,
            target=request.sender,
            term=request.term if is_granted else self.term,
            is_granted=is_granted,
            is_pre_vote=request.is_pre_vote,
        )
        self._answer(request.sender_address, reply)

    def _on_vote_reply(self, reply: VoteReply) -> None:
        if not reply.is_granted:
            if reply.term > self.term:
                self._become_follower(reply.term)
            return
        wanted_role = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
        wanted_term = self.term + 1 if reply.is_pre_vote else self.term
        if self.role is wanted_role and reply.term == wanted_term:
            self._votes.add(reply.sender)
            self._count_votes()

    def _on_take_over(self, message: TakeOver) -> None:
        if message.term != self.term or self.replica_id not in self.membership.voters:
            return
        self._start_election(is_transfer=True)

    def _hears_leader(self) -> bool:
        if self.is_leader:
            return True
        if self.leader_heard_at_ms is None:
            return False
        return self._now_ms - self.leader_heard_at_ms < self.timing.election_min_ms

    def _become_follower(self, term: int) -> None:
        self.role = Role.FOLLOWER
        self.leader_id = NO_REPLICA
        self.progress = {}
        self._reads = []
        self._joining = {}
        self._transfer_target = NO_REPLICA
        if term > self.term:
            self._set_hard_state(HardState(term, NO_REPLICA))
        self._reset_election_deadline()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader_id = self.replica_id
        self._transfer_target = NO_REPLICA
        self.progress = {}
        self._follow_membership()
        self._append_own(EntryKind.NOTHING, b"")
        self._broadcast()

    # The leader's side of the log.

    def _tick_leader(self) -> None:
        if self.replica_id not in self.membership.members:
            if self.log.membership_index <= self.commit_index:
                self._become_follower(self.term)
            return
        if not self._hears_quorum():
            self._become_follower(self.term)
            return
        if self._now_ms >= self._transfer_deadline_ms:
            self._transfer_target = NO_REPLICA
        if self._now_ms >= self._next_heartbeat_at_ms:
            self._broadcast()
        self._advance_membership()

    def _hears_quorum(self) -> bool:
        oldest_ms = self._now_ms - self.timing.quorum_silent_ms
        silent = set(self._silent_since(oldest_ms))
        return is_quorum(self.membership.voters, self.progress.keys() - silent)

    def _append_own(self, kind: EntryKind, data: bytes) -> int:
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self._append([entry])
        return entry.index

    def _append(self, entries: list[Entry]) -> None:
        if not entries:
            return
        self._persisted_index = min(self._persisted_index, entries[0].index - 1)
        self.log.append(entries)
        pending = self._output.entries
        while pending and pending[-1].index >= entries[0].index:
            pending.pop()
        pending.extend(entries)

    def _broadcast(self) -> None:
        self._broadcast_due = False
        self._next_heartbeat_at_ms = self._now_ms + self.timing.heartbeat_ms
        self._round += 1
        for replica_id in self.membership.members:
            if replica_id != self.replica_id:
                self._send_append(replica_id)
        self._confirm_reads()

    def _send_append(self, target: ReplicaId) -> None:
        progress = self.progress[target]
        previous_index = progress.next_index - 1
        previous_term = self.log.term_at(previous_index)
        if previous_term is None:
            self._send_snapshot(target, progress)
            return
        entries = self.log.entries_from(progress.next_index, ENTRIES_PER_REQUEST)
        request = AppendRequest(
            sender=self.replica_id,
            target=target,
            term=self.term,
            previous_index=previous_index,
            previous_term=previous_term,
            commit_index=self.commit_index,
            round=self._round,
            entries=entries,
            sender_address=self.address,
        )
        # Taken as delivered: if it is lost, the next heartbeat does not match and
        # its answer says where to go on.
        progress.next_index += len(entries)
        self._send(request)

    def _send_snapshot(self, target: ReplicaId, progress: Progress) -> None:
        if self._now_ms < progress.snapshot_retry_at_ms:
            return
        transfer_ms = len(self.log.snapshot.data) // SNAPSHOT_BYTES_PER_MS
        progress.snapshot_retry_at_ms = self._now_ms + SNAPSHOT_RETRY_MS + transfer_ms
        request = SnapshotRequest(
            sender=self.replica_id,
            target=target,
            term=self.term,
            snapshot=self.log.snapshot,
            sender_address=self.address,
        )
        self._send(request)

    def _on_append_reply(self, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term)
            return
        progress = self.progress.get(reply.sender)
        if not self.is_leader or reply.term != self.term or progress is None:
            return
        progress.last_heard_ms = self._now_ms
        progress.round = max(progress.round, reply.round)
        if reply.is_match:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._advance_commit()
        else:
            progress.next_index = max(progress.match_index, reply.match_index) + 1
        if not reply.is_match or progress.next_index <= self.log.last_index:
            self._send_append(reply.sender)
        self._confirm_reads()
        self._try_transfer()

    def _advance_commit(self) -> None:
        index = quorum_value(self.membership.voters, self._match_index_of)
        # Only an entry of the own term commits by counting replicas; older ones
        # commit with it (Ongaro, section 3.6.2).
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index

    def _match_index_of(self, replica_id: ReplicaId) -> int:
        progress = self.progress.get(replica_id)
        return progress.match_index if progress else 0

    def _confirm_reads(self) -> None:
        confirmed = quorum_value(self.membership.voters, self._round_of)
        while self._reads and self._reads[0][0] <= confirmed:
            self._output.reads.append(self._reads.pop(0)[1])

    def _round_of(self, replica_id: ReplicaId) -> int:
        if replica_id == self.replica_id:
            return self._round
        progress = self.progress.get(replica_id)
        return progress.round if progress else 0

    def _try_transfer(self) -> None:
        target = self._transfer_target
        if not self.is_leader or target not in self.progress:
            # The target may have left the group meanwhile.
            self._transfer_target = NO_REPLICA
            return
        if self.progress[target].match_index == self.log.last_index:
            self._send(TakeOver(sender=self.replica_id, target=target, term=self.term))

    # Membership.

    def _on_join(self, request: JoinRequest) -> None:
        if not self.is_leader:
            self._pass_on(request)
            return
        if request.cluster_id not in (0, self.membership.cluster_id):
            return
        if request.sender in self.membership.members:
            # It asks again because it has received nothing yet and hence cannot
            # know where to send answers: only a snapshot tells it.
            self.progress[request.sender].next_index = 1
            return
        self._joining[request.sender] = request.address
        self._advance_membership()

    def _pass_on(self, request: JoinRequest) -> None:
        # A newcomer knows some members, and the leader need not be among them.
        leader = self.membership.members.get(self.leader_id)
        if leader is not None and leader.address != request.address:
            self._answer(leader.address, request)

    def _advance_membership(self) -> None:
        if not self._may_change_membership():
            return
        membership = next_membership(self.membership, self._joining, self._is_caught_up)
        if membership is None:
            membership = self._without_replaced()
        if membership is not None:
            self._change_membership(membership)

    def _without_replaced(self) -> Membership | None:
        """Return the membership without a voter whose place another took, if any.

        Only while there are more voters than wanted: a silent voter that nobody
        replaced may come back, and keeps its vote.
        """
        if not 0 < self._wanted_voters < len(self.membership.voters):
            return None
        oldest_ms = self._now_ms - self.timing.replace_silent_ms
        replaced = self.membership.voters.intersection(self._silent_since(oldest_ms))
        if not replaced:
            return None
        return self.membership.without(min(replaced))

    def _may_change_membership(self) -> bool:
        # One change at a time, and none before the leader has committed in its own
        # term: without the second rule two leaders' changes can be made from the
        # same old membership and share no majority (Ongaro's correction of 2015).
        return (
            self.log.membership_index <= self.commit_index
            and self.log.term_at(self.commit_index) == self.term
        )

    def _is_caught_up(self, replica_id: ReplicaId) -> bool:
        progress = self.progress[replica_id]
        if replica_id in self.silent_members():
            return False
        return (
            progress.match_index >= progress.joined_at_index
            and progress.match_index + CAUGHT_UP_ENTRIES >= self.log.last_index
        )

    def _change_membership(self, membership: Membership) -> None:
        self._append_own(EntryKind.MEMBERSHIP, membership.encode())
        self._follow_membership()
        self._joining = {
            replica_id: address
            for replica_id, address in self._joining.items()
            if replica_id not in membership.members
        }
        self._broadcast()

    def _follow_membership(self) -> None:
        members = self.membership.members.keys() | {self.replica_id}
        for replica_id in members - self.progress.keys():
            self.progress[replica_id] = Progress(
                next_index=self.log.last_index + 1,
                last_heard_ms=self._now_ms,
                joined_at_index=self.log.membership_index,
            )
        for replica_id in self.progress.keys() - members:
            del self.progress[replica_id]
        self.progress[self.replica_id].match_index = self._persisted_index

    # The follower's side of the log.

    def _on_append_request(self, request: AppendRequest) -> None:
        if request.term < self.term:
            self._reply_append(request, is_match=False, match_index=0)
            return
        self._hear_leader(request.sender, request.term)
        if not self._matches(request.previous_index, request.previous_term):
            hint = self._match_hint(request.previous_index)
            self._reply_append(request, is_match=False, match_index=hint)
            return
        unknown = self._unknown_entries(request.entries)
        if unknown and unknown[0].index <= self.commit_index:
            raise CinderwayError(
                ErrorCode.DATA_DAMAGED,
                f"a leader wants to overwrite committed entry {unknown[0].index}",
                step=Step.RECEIVE,
                peer=str(request.sender),
            )
        self._append(unknown)
        match_index = request.previous_index + len(request.entries)
        self.commit_index = max(
            self.commit_index, min(request.commit_index, match_index)
        )
        self._note_caught_up(request)
        self._reply_append(request, is_match=True, match_index=match_index)

    def _note_caught_up(self, request: AppendRequest) -> None:
        # The leader's own commit index says all only once it has committed in its term.
        has_all = self.commit_index >= request.commit_index
        if has_all and self.log.term_at(request.commit_index) == request.term:
            self._has_caught_up = True

    def _hear_leader(self, leader_id: ReplicaId, term: int) -> None:
        if term > self.term or self.role is not Role.FOLLOWER:
            self._become_follower(term)
        self.leader_id = leader_id
        self.leader_heard_at_ms = self._now_ms
        self._reset_election_deadline()

    def _matches(self, index: int, term: int) -> bool:
        # What a snapshot covers is committed, hence the same in every leader's log.
        return index < self.log.snapshot.index or self.log.term_at(index) == term

    def _match_hint(self, previous_index: int) -> int:
        if previous_index > self.log.last_index:
            return self.log.last_index
        conflicting_term = self.log.term_at(previous_index)
        index = previous_index
        while index > self.commit_index and (
            self.log.term_at(index) == conflicting_term
        ):
            index -= 1
        return index

    def _unknown_entries(self, entries: list[Entry]) -> list[Entry]:
        for position, entry in enumerate(entries):
            if entry.index <= self.log.snapshot.index:
                continue
            if self.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return []

    def _reply_append(
        self, request: AppendRequest, *, is_match: bool, match_index: int
    ) -> None:
        reply = AppendReply(
            sender=self.replica_id,
            target=request.sender,
            term=self.term,
            is_match=is_match,
            match_index=match_index,
            round=request.round,
        )
        self._answer(request.sender_address, reply)

    def _on_snapshot_request(self, request: SnapshotRequest) -> None:
        if request.term < self.term:
            return
        self._hear_leader(request.sender, request.term)
        snapshot = request.snapshot
        if snapshot.index > self.commit_index:
            self._install(snapshot)
        reply = AppendReply(
            sender=self.replica_id,
            target=request.sender,
            term=self.term,
            is_match=True,
            match_index=min(snapshot.index, self.commit_index),
            round=0,
        )
        self._answer(request.sender_address, reply)

    def _install(self, snapshot: Snapshot) -> None:
        self.log.compact(snapshot)
        self.commit_index = snapshot.index
        self._handed_out_index = snapshot.index
        self._persisted_index = snapshot.index
        self._output.snapshot = snapshot
        self._output.entries = self.log.entries_from(snapshot.index + 1)

    # Helpers.

    def _committed_entries(self) -> list[Entry]:
        first_index = self._handed_out_index + 1
        count = self.commit_index - self._handed_out_index
        self._handed_out_index = self.commit_index
        return self.log.entries_from(first_index, count)

    def _set_hard_state(self, hard_state: HardState) -> None:
        self._hard_state = hard_state
        self._output.hard_state = hard_state

    def _reset_election_deadline(self) -> None:
        timing = self.timing
        shortest_ms, longest_ms = timing.election_min_ms, timing.election_max_ms
        if self.leader_heard_at_ms is None and not self.is_leader:
            shortest_ms, longest_ms = timing.startup_min_ms, timing.startup_max_ms
        timeout_ms = self._rng.randint(shortest_ms, longest_ms)
        self._election_deadline_ms = self._now_ms + timeout_ms

    def _send(self, message: ReplicaMessage) -> None:
        member = self.membership.members.get(message.target)
        if member is not None:
            self._output.outgoing.append(Outgoing(member.address, message))

    def _answer(self, address: Address, message: ReplicaMessage) -> None:
        self._output.outgoing.append(Outgoing(address, message))

    def _require_leader(self) -> None:
        if not self.is_leader:
            raise self._not_leader("this replica does not lead")

    def _not_leader(self, detail: str) -> CinderwayError:
        leader = self.membership.members.get(self.leader_id)
        return CinderwayError(
            ErrorCode.NOT_LEADER,
            detail,
            step=Step.PROPOSE,
            peer=leader.address if leader else "",
        )

    def _membership_refused(self, detail: str) -> CinderwayError:
        return CinderwayError(ErrorCode.MEMBERSHIP_REFUSED, detail, step=Step.PROPOSE)
