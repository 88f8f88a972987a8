"""The state that all parts of a replica share: log, term, role, clock and output.

The parts (elections, both sides of log replication, membership changes, reads) interact
only by changing this state and through the methods that are passed to them.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import NO_REPLICA, Address, ReplicaId
from cinderway.replication._log import Log
from cinderway.replication._messages import (
    Entry,
    EntryKind,
    HardState,
    Membership,
    OutgoingMessage,
    ReplicaMessage,
    Snapshot,
)
from cinderway.replication._output import Output
from cinderway.replication._progress import Progress
from cinderway.replication._quorum import (
    NONE_LOST,
    counts_proven_losses,
    is_quorum,
    quorum_value,
)

# How long a removed member is expected to come back. A machine that starts later than
# this after its removal has contacts that were up to date by then.
FORMER_MEMBER_TIME_MS = 60_000


class Role(enum.Enum):
    """The current role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Timing:
    """Timeouts and intervals of the protocol in milliseconds."""

    heartbeat_ms: int = 60
    election_min_ms: int = 400
    election_max_ms: int = 800
    # Election timeout range until the replica has heard a leader since its start. It
    # may be shorter: a group that was killed as a whole has no leader to wait for, and
    # a pre-vote does not disrupt replicas that are in contact with one.
    startup_min_ms: int = 400
    startup_max_ms: int = 800
    # A leader that has not heard from a quorum for this long steps down; until then
    # its followers may still regard it as the leader. A voter that is silent for this
    # long is removed if another one has replaced it.
    quorum_contact_timeout_ms: int = 800


@dataclass(frozen=True)
class FormerMember:
    """A replica that was removed from the group: its address, and when it was."""

    address: Address
    removed_at_ms: int
    # Whether the leader had no contact with it: it may be gone, or join again.
    was_silent: bool


class ReplicaState:
    """The state of one replica, and the changes that several parts make to it."""

    def __init__(
        self,
        replica_id: ReplicaId,
        address: Address,
        log: Log,
        hard_state: HardState,
        timing: Timing,
        now_ms: int,
    ):
        self.replica_id = replica_id
        self.address = address
        self.log = log
        self.hard_state = hard_state
        self.timing = timing
        self.now_ms = now_ms
        self.role = Role.FOLLOWER
        self.leader_id = NO_REPLICA
        # Members whose disks were proven to be lost before this replica requested the
        # votes of its election; used by that election and by the leader it results in.
        self.proven_lost: frozenset[ReplicaId] = NONE_LOST
        self.leader_heard_at_ms: int | None = None
        # Whether this replica is about to stop, and gives up its vote.
        self.is_leaving = False
        # Members that were removed since this process started, with the time.
        self.former_members: dict[ReplicaId, FormerMember] = {}
        # Members without contact to the last known leader, or that leader itself, with
        # the time since when this is known. It seeds a new leader's progress.
        self.silent_since_ms: dict[ReplicaId, int] = {}
        self.commit_index = log.snapshot.index
        self.persisted_index = log.last_index
        # Progress of each member including this replica; only a leader tracks it.
        self.progress: dict[ReplicaId, Progress] = {}
        self.output = Output()
        # The newest commit index received from a leader that had committed in its term,
        # and when it was received.
        self.leader_commit_index = 0
        self.leader_commit_received_at_ms: int | None = None
        self._delivered_index = log.snapshot.index
        self._has_caught_up = False
        self.caught_up_index = 0

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """The current membership: the newest in this replica's log."""
        return self.log.membership

    @property
    def memberships_in_force(self) -> list[Membership]:
        """The memberships of which each decision needs a quorum.

        As long as the newest membership in the log is not known to be committed, the
        one before it may still be in use elsewhere. Where both decide by majority, the
        newest is enough, as majorities of memberships that differ by one voter overlap.
        """
        newest, previous = self.membership, self.log.previous_membership
        if self.log.membership_index <= self.commit_index or previous is None:
            return [newest]
        if counts_proven_losses(newest) or counts_proven_losses(previous):
            return [previous, newest]
        return [newest]

    @property
    def is_commit_logged(self) -> bool:
        """Whether logs show that the current membership, if committed, is committed.

        A membership that follows another one in a log shows that the other one was
        committed. So the current one is appended once more: a replica that restarts
        does not know the commit index, and would need a quorum of the previous
        membership, too.
        """
        newest, previous = self.membership, self.log.previous_membership
        if previous is None or previous == newest:
            return True
        return not (counts_proven_losses(newest) or counts_proven_losses(previous))

    @property
    def is_membership_settled(self) -> bool:
        """Whether no replica needs the previous membership to decide."""
        newest, previous = self.membership, self.log.previous_membership
        if not (
            counts_proven_losses(newest) or counts_proven_losses(previous or newest)
        ):
            return True
        return self.is_commit_logged and self.log.membership_index <= self.commit_index

    def has_quorum(self, ids: Iterable[ReplicaId], lost: frozenset[ReplicaId]) -> bool:
        """Whether the ids include a quorum of each membership in force."""
        ids = set(ids)
        return all(
            is_quorum(membership, ids, lost) for membership in self.memberships_in_force
        )

    def reached_by_quorum(self, value_of: Callable[[ReplicaId], int]) -> int:
        """Return the largest value that a quorum of each membership has reached."""
        return min(
            quorum_value(membership, value_of, self.proven_lost)
            for membership in self.memberships_in_force
        )

    @property
    def is_leader(self) -> bool:
        """Whether this replica acts as leader; another may already have replaced it."""
        return self.role is Role.LEADER

    @property
    def has_caught_up(self) -> bool:
        """Whether the commit index has covered all acknowledged entries at some time.

        A replica that has just started knows only a part of what is committed, until a
        leader or its own election tells it the rest. It must not present that part as
        the current state.
        """
        if self.is_leader and self.has_committed_in_term:
            self._record_caught_up(self.commit_index)
        return self._has_caught_up

    @property
    def has_committed_in_term(self) -> bool:
        """Whether the newest committed entry was created in the current term."""
        return self.log.term_at(self.commit_index) == self.term

    def has_heard_leader_within(self, duration_ms: int) -> bool:
        """Whether a leader's message has arrived within the last `duration_ms`."""
        if self.leader_heard_at_ms is None:
            return False
        return self.now_ms - self.leader_heard_at_ms < duration_ms

    def record_silent_members(self, silent: Iterable[ReplicaId]) -> None:
        """Record the members that the leader has no contact with."""
        self.silent_since_ms = {
            replica_id: self.silent_since_ms.get(replica_id, self.now_ms)
            for replica_id in silent
        }

    def silent_members(self) -> list[ReplicaId]:
        """Members that the leader has not heard from for `election_max_ms`."""
        if not self.is_leader:
            return []
        return self.silent_since(self.now_ms - self.timing.election_max_ms)

    def silent_since(self, oldest_ms: int) -> list[ReplicaId]:
        """Other members that were last heard from before a point in time."""
        return [
            replica_id
            for replica_id, progress in self.progress.items()
            if replica_id != self.replica_id and progress.last_heard_ms < oldest_ms
        ]

    def _is_silent(self, replica_id: ReplicaId) -> bool:
        """Whether the leader has no contact with a member, as far as is known here."""
        if not self.is_leader:
            return replica_id in self.silent_since_ms
        oldest_ms = self.now_ms - self.timing.quorum_contact_timeout_ms
        return replica_id in self.silent_since(oldest_ms)

    def can_spare_voter(self, target_voters: int) -> bool:
        """Whether the group can do without one of its voters.

        This is so while there are more than wanted. A group of the wanted size may
        include a voter that is gone in place of a removed one that was only silent;
        a group that counts all proofs tolerates as much without one more voter.
        """
        voters = len(self.membership.voters)
        if target_voters == 0 or voters < target_voters:
            return False
        if voters > target_voters:
            return True
        # The spared voter need not be the one that is gone. With one of two voters gone
        # there would be no quorum, although no disk was lost.
        is_large_enough = self.membership.tolerated_losses > 1
        return (
            is_large_enough
            and self.membership.counts_all_proofs
            and self._may_voter_return()
        )

    def _may_voter_return(self) -> bool:
        """Whether a voter that was removed while it was silent may vote again."""
        oldest_ms = self.now_ms - FORMER_MEMBER_TIME_MS
        members = self.membership.members
        voting = {members[voter].address for voter in self.membership.voters}
        return any(
            former.was_silent
            and former.removed_at_ms >= oldest_ms
            and former.address not in voting
            for former in self.former_members.values()
        )

    def record_leader_commit(self, commit_index: int) -> None:
        """Record a leader's commit index; this replica holds all entries up to it."""
        self.leader_commit_index = commit_index
        self.leader_commit_received_at_ms = self.now_ms
        self._record_caught_up(commit_index)

    def _record_caught_up(self, index: int) -> None:
        if not self._has_caught_up:
            self._has_caught_up = True
            self.caught_up_index = index

    def set_hard_state(self, hard_state: HardState) -> None:
        """Set a new term or vote, which is made durable before any message is sent."""
        self.hard_state = hard_state
        self.output.hard_state = hard_state

    # The replica's own copy of the log.

    def append_own(self, kind: EntryKind, data: bytes) -> int:
        """Append a new entry of the current term and return its index."""
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self.append([entry])
        return entry.index

    def append(self, entries: list[Entry]) -> None:
        """Append entries, overwriting everything at and after their first index."""
        if not entries:
            return
        self.persisted_index = min(self.persisted_index, entries[0].index - 1)
        members = self.membership.members
        self.log.append(entries)
        for replica_id in members.keys() - self.membership.members.keys():
            self.former_members[replica_id] = FormerMember(
                members[replica_id].address, self.now_ms, self._is_silent(replica_id)
            )
        pending = self.output.entries
        while pending and pending[-1].index >= entries[0].index:
            pending.pop()
        pending.extend(entries)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the entries that a leader's snapshot covers by the snapshot."""
        self.log.compact(snapshot)
        self.commit_index = snapshot.index
        self._delivered_index = snapshot.index
        self.persisted_index = snapshot.index
        self.output.snapshot = snapshot
        self.output.entries = self.log.entries_from(snapshot.index + 1)

    def take_committed(self) -> list[Entry]:
        """Return the entries that have been committed since the last call."""
        first_index = self._delivered_index + 1
        count = self.commit_index - self._delivered_index
        self._delivered_index = self.commit_index
        return self.log.entries_from(first_index, count)

    # Messages and errors.

    def send(self, message: ReplicaMessage) -> None:
        """Send a message to its target, at the address that it has as a member."""
        target = message.target
        for membership in self.memberships_in_force:
            if target in membership.members:
                self.send_to_address(membership.members[target].address, message)
                return
        if target in self.former_members:
            self.send_to_address(self.former_members[target].address, message)

    def send_to_address(self, address: Address, message: ReplicaMessage) -> None:
        """Send to an address, as the receiver need not be a member yet."""
        self.output.outgoing.append(OutgoingMessage(address, message))

    def require_leader(self) -> None:
        """Raise NOT_LEADER unless this replica is the leader."""
        if not self.is_leader:
            raise self.not_leader_error("this replica is not the leader")

    def not_leader_error(self, detail: str) -> CinderwayError:
        """Return a NOT_LEADER error that names the leader if it is known."""
        leader = self.membership.members.get(self.leader_id)
        return CinderwayError(
            ErrorCode.NOT_LEADER,
            detail,
            step=Step.PROPOSE,
            peer=leader.address if leader else "",
        )
