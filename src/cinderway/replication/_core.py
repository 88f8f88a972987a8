"""Raft without I/O: messages, time and randomness in; messages and records out.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014): chapter 3 (the
algorithm), 4 (single-server membership changes, leader stickiness), 5 (snapshots),
6.4 (reads that are not stale) and 9.6 (pre-vote).

Each input changes the replica's state in memory only. The driver then takes the
output, makes its records durable, sends its messages, and applies its committed
entries, in this order; a message that promises something is thus never sent before
the promise would survive a crash.

What each part of the protocol does is in a module of its own: `_elections`,
`_leader_log`, `_follower_log`, `_member_changes`, `_reads`, `_handover`; what they
share is in `_state`.
"""

import random

from cinderway._ids import NO_REPLICA, Address, ReplicaId
from cinderway.replication._elections import Elections
from cinderway.replication._follower_log import FollowerLog
from cinderway.replication._handover import Handover
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
from cinderway.replication._reads import Reads
from cinderway.replication._state import ReplicaState, Role, Timing

__all__ = ["ConfirmedRead", "Output", "Replica", "Role", "Timing"]


class Replica(ReplicaState):
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
        super().__init__(replica_id, address, log, hard_state, timing, now_ms)
        self._wanted_voters = wanted_voters
        self._reads = Reads(self)
        self._handover = Handover(self)
        self._leader_log = LeaderLog(
            self, self._reads, self._handover, self._become_follower
        )
        self._changes = MemberChanges(self, self._leader_log)
        self._elections = Elections(
            self, rng, self._become_follower, self._become_leader
        )
        self._follower_log = FollowerLog(self, self._elections.hear_leader)

    def tick(self, now_ms: int) -> None:
        """Let time pass."""
        self._advance(now_ms)
        if self.is_leader:
            self._tick_leader()
        else:
            self._elections.tick()

    def step(self, message: ReplicaMessage, now_ms: int) -> None:
        """Take one message. Messages for another identity are dropped.

        The target is checked because a replica that lost its disk comes back at
        the same address under a new identity; what others still send to the old
        one must not be answered by the new one.
        """
        self._advance(now_ms)
        if isinstance(message, JoinRequest):
            self._changes.on_join(message, self._wanted_voters)
            return
        if message.target != self.replica_id:
            return
        match message:
            case VoteRequest():
                self._elections.on_vote_request(message)
            case VoteReply():
                self._elections.on_vote_reply(message)
            case AppendRequest():
                self._follower_log.on_append_request(message)
            case AppendReply():
                self._leader_log.on_append_reply(message)
            case SnapshotRequest():
                self._follower_log.on_snapshot_request(message)
            case TakeOver():
                self._elections.on_take_over(message)

    def leads_at(self, now_ms: int) -> bool:
        """Whether it leads and has not stood still for as long as others wait."""
        return self.is_leader and not self._stood_still(now_ms)

    def _stood_still(self, now_ms: int) -> bool:
        return now_ms - self.now_ms > self.timing.quorum_silent_ms

    def _advance(self, now_ms: int) -> None:
        """Take the time; a leader that stood still leads no longer.

        What lies in its connections is from before: taken for news, it would make the
        leader think that its quorum still follows.
        """
        has_others = len(self.membership.voters) > 1
        if self.is_leader and has_others and self._stood_still(now_ms):
            self._become_follower(self.term)
        self.now_ms = max(now_ms, self.now_ms)

    def propose(self, data: bytes) -> int:
        """Append a command and return its index; only the leader takes one."""
        self.require_leader()
        if self._handover.is_under_way:
            raise self.not_leader("the leader is handing over")
        index = self.append_own(EntryKind.COMMAND, data)
        self._leader_log.is_broadcast_due = True
        return index

    def read(self, read_id: int) -> None:
        """Ask to confirm that this replica still leads, for a current read."""
        self._reads.ask(read_id)
        self._leader_log.is_broadcast_due = True

    def remove_member(self, replica_id: ReplicaId) -> None:
        """Take a replica out of the group, on an operator's word."""
        self._changes.remove(replica_id)

    def transfer_leadership(self) -> None:
        """Hand over to the follower that is furthest along, before a stop."""
        self._handover.start()

    def persisted(self, index: int, term: int) -> None:
        """The driver's word that the log is durable up to an entry.

        The term tells whether the entry is still the one that was written: it may
        have been overwritten in memory while the disk was busy.
        """
        if self.log.term_at(index) != term:
            return
        self.persisted_index = max(self.persisted_index, index)
        if self.is_leader:
            self._leader_log.note_persisted()

    def compact(self, snapshot: Snapshot) -> None:
        """The driver's word that a snapshot of applied state is durable."""
        self.log.compact(snapshot)

    def take_output(self) -> Output:
        """Return what is to be done since the last call."""
        # Proposals and reads that came in together share one round of messages.
        if self._leader_log.is_broadcast_due and self.is_leader:
            self._leader_log.broadcast()
        output, self.output = self.output, Output()
        output.committed = self.take_committed()
        return output

    def _tick_leader(self) -> None:
        if self.replica_id not in self.membership.members:
            # Its own removal must still be committed, by this very leader.
            if self.log.membership_index <= self.commit_index:
                self._become_follower(self.term)
            return
        if not self._leader_log.hears_quorum():
            self._become_follower(self.term)
            return
        self._handover.abandon_if_late()
        self._leader_log.send_heartbeat()
        self._changes.advance(self._wanted_voters)

    def _become_follower(self, term: int) -> None:
        self.role = Role.FOLLOWER
        self.leader_id = NO_REPLICA
        self.progress = {}
        self._reads.drop()
        self._changes.forget_joining()
        self._handover.abandon()
        if term > self.term:
            self.set_hard_state(HardState(term, NO_REPLICA))
        self._elections.reset_deadline()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader_id = self.replica_id
        self._handover.abandon()
        self._leader_log.start()
