"""The Raft protocol without I/O.

Its inputs are messages, time and randomness; its outputs are messages and records.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014): chapter 3 (the
algorithm), 4 (single-server membership changes, leader stickiness), 5 (snapshots),
6.4 (linearizable reads) and 9.6 (pre-vote). Quorums differ from it while members are
replaced, see `_quorum`.

Each input changes the replica's state in memory only. The driver then takes the
output, makes its records durable, sends its messages, and applies its committed
entries, in this order. A message that depends on a record, such as a granted vote or
an acknowledged entry, is thus never sent before that record would survive a crash.

Each part of the protocol has a module of its own: `_elections`, `_leader_log`,
`_follower_log`, `_member_changes`, `_reads` (linearizable reads) and `_handover`
(leadership transfer). The state that they share is in `_state`.
"""

import random

from cinderway._ids import NO_REPLICA, Address, ReplicaId
from cinderway.replication._elections import Elections
from cinderway.replication._follower_log import FollowerLog
from cinderway.replication._handover import LeadershipTransfer
from cinderway.replication._leader_log import LeaderLog
from cinderway.replication._log import Log
from cinderway.replication._member_changes import MemberChanges
from cinderway.replication._messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    HardState,
    JoinRequest,
    ReplicaMessage,
    Snapshot,
    SnapshotRequest,
    TakeOver,
    VoteReply,
    VoteRequest,
)
from cinderway.replication._output import ConfirmedRead, Output
from cinderway.replication._quorum import NONE_LOST
from cinderway.replication._reads import LinearizableReads
from cinderway.replication._state import ReplicaState, Role, Timing

__all__ = ["ConfirmedRead", "Output", "Replica", "Role", "Timing"]


class Replica(ReplicaState):
    """One member of a replicated group.

    Guarantees, provided that the driver keeps the order above: there is at most one
    leader per term; an entry returned as committed is in every later leader's log at
    the same index; a read is confirmed only if no other leader could have committed
    anything newer when it was requested.
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
        target_voters: int = 0,
    ):
        super().__init__(replica_id, address, log, hard_state, timing, now_ms)
        self._target_voters = target_voters
        self._reads = LinearizableReads(self)
        self._transfer = LeadershipTransfer(self)
        self._leader_log = LeaderLog(
            self, self._reads, self._transfer, self._become_follower
        )
        self._member_changes = MemberChanges(self, self._leader_log)
        self._elections = Elections(
            self, rng, self._become_follower, self._become_leader
        )
        self._follower_log = FollowerLog(self, self._elections.follow_leader)

    def tick(self, now_ms: int) -> None:
        """Advance the clock and do whatever has become due."""
        self._advance_clock(now_ms)
        if self.is_leader:
            self._tick_leader()
        else:
            self._elections.tick()

    def step(self, message: ReplicaMessage, now_ms: int) -> None:
        """Process one received message; drop it if it is for another replica id.

        The target is checked because a replica that lost its disk comes back at
        the same address under a new id, and must not answer messages that others
        still send to the old one.
        """
        self._advance_clock(now_ms)
        if isinstance(message, JoinRequest):
            self._elections.receive_join_request(message)
            self._member_changes.receive_join_request(message, self._target_voters)
            return
        if message.target != self.replica_id:
            self._answer_for_previous_identity(message)
            return
        self.proven_lost -= {message.sender}
        match message:
            case VoteRequest():
                self._elections.receive_vote_request(message)
                self._member_changes.receive_vote_request(message, self._target_voters)
            case VoteReply():
                self._elections.receive_vote_reply(message)
            case AppendRequest():
                self._follower_log.receive_append_request(message)
            case AppendReply():
                self._leader_log.receive_append_reply(message)
            case SnapshotRequest():
                self._follower_log.receive_snapshot_request(message)
            case TakeOver():
                self._elections.receive_take_over(message)

    def _answer_for_previous_identity(self, message: ReplicaMessage) -> None:
        """Ask the sender of a message for this address's previous replica to join it.

        A replica without any state runs here only if the previous one's disk is lost.
        """
        if self.membership.members:
            return
        match message:
            case VoteRequest(sender_address=address, nonce=nonce):
                self.send_to_address(address, self.build_join_request(nonce))
            case (
                AppendRequest(sender_address=address)
                | SnapshotRequest(sender_address=address)
            ):
                self.send_to_address(address, self.build_join_request())

    def build_join_request(self, answered_nonce: int = 0) -> JoinRequest:
        """Return a request to let this replica join the group."""
        return JoinRequest(
            sender=self.replica_id,
            target=NO_REPLICA,
            address=self.address,
            cluster_id=self.membership.cluster_id,
            answered_nonce=answered_nonce,
        )

    @property
    def needs_to_join(self) -> bool:
        """Whether this replica has to ask the group to let it join.

        A former member asks again only in a group that removes silent voters by itself;
        elsewhere only operators remove members. It may know itself as a learner still,
        which requests no votes.
        """
        if self.is_leaving:
            return False
        if not self.membership.members:
            return True
        if self._target_voters == 0 or self.replica_id in self.membership.voters:
            return False
        return not self.has_heard_leader_within(self.timing.election_max_ms)

    def is_leader_at(self, now_ms: int) -> bool:
        """Whether this replica leads and was not suspended past the quorum timeout.

        After such a pause the others may have elected another leader.
        """
        return self.is_leader and not self._has_stalled(now_ms)

    def _has_stalled(self, now_ms: int) -> bool:
        return now_ms - self.now_ms > self.timing.quorum_contact_timeout_ms

    def _advance_clock(self, now_ms: int) -> None:
        """Advance the clock; a leader that was suspended for too long steps down.

        The messages that wait in its connections were sent before or during the
        pause. If it counted them as recent contact, it would believe that its quorum
        still follows it.
        """
        has_others = len(self.membership.voters) > 1
        if self.is_leader and has_others and self._has_stalled(now_ms):
            self._become_follower(self.term)
        self.now_ms = max(now_ms, self.now_ms)

    def propose(self, data: bytes) -> int:
        """Append a command and return its index; only the leader accepts one."""
        self.require_leader()
        if self._transfer.is_in_progress:
            raise self.not_leader_error("the leader is transferring its leadership")
        index = self.append_own(EntryKind.COMMAND, data)
        self._leader_log.is_broadcast_due = True
        return index

    def request_read(self, read_id: int) -> None:
        """Request a linearizable read: confirm that this replica still leads."""
        self._reads.request(read_id)
        self._leader_log.is_broadcast_due = True

    def remove_member(self, replica_id: ReplicaId) -> None:
        """Remove a replica from the group, as requested by an operator."""
        self._member_changes.remove(replica_id)

    def transfer_leadership(self) -> None:
        """Transfer leadership to the most up-to-date follower, before shutting down."""
        self._transfer.start()

    def leave(self) -> bool:
        """Give up the vote, before shutting down, while there are spare voters.

        Return whether to stay on for it: there is a vote to give up, or a change of the
        membership, such as the own removal, that may still need this vote.
        """
        self.is_leaving = True
        if self._target_voters == 0:
            return False
        has_spare_vote = (
            self.replica_id in self.membership.voters
            and self.can_spare_voter(self._target_voters)
        )
        return has_spare_vote or not self.is_membership_settled

    def record_persisted(self, index: int, term: int) -> None:
        """Record that the driver has made the log durable up to an entry.

        The term shows whether the entry is still the one that was written: it may
        have been overwritten in memory while the disk was busy.
        """
        if self.log.term_at(index) != term:
            return
        self.persisted_index = max(self.persisted_index, index)
        if self.is_leader:
            self._leader_log.update_own_match_index()

    def compact(self, snapshot: Snapshot) -> None:
        """Discard the entries that a snapshot covers, now that it is durable."""
        self.log.compact(snapshot)

    def take_output(self) -> Output:
        """Return the work for the driver that has accumulated since the last call."""
        # Proposals and reads that arrived together share one round of messages.
        if self._leader_log.is_broadcast_due and self.is_leader:
            self._leader_log.broadcast()
        output, self.output = self.output, Output()
        output.committed = self.take_committed()
        return output

    def _tick_leader(self) -> None:
        if self.replica_id not in self.membership.members:
            # A leader that is being removed leads until its removal is committed.
            if self.log.membership_index <= self.commit_index:
                self._become_follower(self.term)
            return
        if not self._leader_log.has_quorum_contact():
            self._become_follower(self.term)
            return
        self._transfer.abandon_if_expired()
        self._leader_log.send_heartbeat()
        self._member_changes.advance(self._target_voters)
        if self._target_voters > 0:
            self._member_changes.contact_former_members()

    def _become_follower(self, term: int) -> None:
        self.role = Role.FOLLOWER
        self.leader_id = NO_REPLICA
        self.proven_lost = NONE_LOST
        self.progress = {}
        self._reads.drop()
        self._member_changes.clear_joining()
        self._transfer.abandon()
        if term > self.term:
            self.set_hard_state(HardState(term, NO_REPLICA))
        self._elections.reset_deadline()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader_id = self.replica_id
        self._transfer.abandon()
        self._leader_log.start()
