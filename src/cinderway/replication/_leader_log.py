"""The leader's side of log replication: send entries, commit what a quorum holds."""

from collections.abc import Callable

from cinderway._ids import ReplicaId
from cinderway.replication._handover import LeadershipTransfer
from cinderway.replication._messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    SnapshotRequest,
)
from cinderway.replication._progress import Progress
from cinderway.replication._reads import LinearizableReads
from cinderway.replication._state import ReplicaState

ENTRIES_PER_REQUEST = 512
SNAPSHOT_RETRY_MS = 2_000
# A large snapshot is given time to arrive before it is sent again.
SNAPSHOT_BYTES_PER_MS = 10_000


class LeaderLog:
    """Replicates the leader's log to the members; unused on other replicas.

    Setting `is_broadcast_due` defers a broadcast to the next output, so that inputs
    which arrive together share one round of messages.
    """

    def __init__(
        self,
        state: ReplicaState,
        reads: LinearizableReads,
        transfer: LeadershipTransfer,
        become_follower: Callable[[int], None],
    ):
        self._state = state
        self._reads = reads
        self._transfer = transfer
        self._become_follower = become_follower
        self.is_broadcast_due = False
        self._next_heartbeat_at_ms = state.now_ms
        self._silent_members: list[ReplicaId] = []

    def start(self) -> None:
        """Start as leader and append an empty entry.

        Once it is committed, so are all entries that earlier leaders left.
        """
        self._state.progress = {}
        self.reconcile_progress()
        self._state.append_own(EntryKind.NOTHING, b"")
        self.broadcast()

    def reconcile_progress(self) -> None:
        """Track progress for the members of the memberships in force.

        A removed member may still count: it is sent entries until logs show that its
        removal is committed. One that is about to stop stays on until it learns that.
        """
        state = self._state
        members = {state.replica_id}
        for membership in state.memberships_in_force:
            members |= membership.members.keys()
        for replica_id in members - state.progress.keys():
            state.progress[replica_id] = Progress(
                next_index=state.log.last_index + 1,
                last_heard_ms=state.silent_since_ms.get(replica_id, state.now_ms),
                joined_at_index=state.log.membership_index,
            )
        if state.is_membership_settled:
            for replica_id in state.progress.keys() - members:
                self._send_append(replica_id)
                del state.progress[replica_id]
        state.progress[state.replica_id].match_index = state.persisted_index

    def has_quorum_contact(self) -> bool:
        """Whether a quorum was heard from recently enough to remain leader."""
        state = self._state
        oldest_ms = state.now_ms - state.timing.quorum_contact_timeout_ms
        in_contact = state.progress.keys() - set(state.silent_since(oldest_ms))
        return state.has_quorum(in_contact, state.proven_lost)

    def broadcast(self) -> None:
        """Send every other member the entries that it lacks; serves as a heartbeat."""
        state = self._state
        self.is_broadcast_due = False
        self._next_heartbeat_at_ms = state.now_ms + state.timing.heartbeat_ms
        self._reads.start_round()
        self._silent_members = state.silent_since(
            state.now_ms - state.timing.quorum_contact_timeout_ms
        )
        for replica_id in state.progress:
            if replica_id != state.replica_id:
                self._send_append(replica_id)
        self._reads.confirm()

    def send_heartbeat(self) -> None:
        """Broadcast if a heartbeat interval has passed since the last broadcast."""
        if self._state.now_ms >= self._next_heartbeat_at_ms:
            self.broadcast()

    def update_own_match_index(self) -> None:
        """Record how far the leader's own log is durable, and advance the commit."""
        state = self._state
        state.progress[state.replica_id].match_index = state.persisted_index
        self._advance_commit()

    def _send_append(self, target: ReplicaId) -> None:
        state = self._state
        progress = state.progress[target]
        previous_index = progress.next_index - 1
        previous_term = state.log.term_at(previous_index)
        if previous_term is None:
            self._send_snapshot(target, progress)
            return
        entries = state.log.entries_from(progress.next_index, ENTRIES_PER_REQUEST)
        request = AppendRequest(
            sender=state.replica_id,
            target=target,
            term=state.term,
            previous_index=previous_index,
            previous_term=previous_term,
            commit_index=state.commit_index,
            round=self._reads.round,
            entries=entries,
            sender_address=state.address,
            silent_members=self._silent_members,
        )
        # The request is assumed to be delivered. If it is lost, the next heartbeat
        # does not match, and the reply tells at which index to continue.
        progress.next_index += len(entries)
        state.send(request)

    def _send_snapshot(self, target: ReplicaId, progress: Progress) -> None:
        state = self._state
        if state.now_ms < progress.snapshot_retry_at_ms:
            return
        transfer_ms = len(state.log.snapshot.data) // SNAPSHOT_BYTES_PER_MS
        progress.snapshot_retry_at_ms = state.now_ms + SNAPSHOT_RETRY_MS + transfer_ms
        request = SnapshotRequest(
            sender=state.replica_id,
            target=target,
            term=state.term,
            snapshot=state.log.snapshot,
            sender_address=state.address,
        )
        state.send(request)

    def receive_append_reply(self, reply: AppendReply) -> None:
        """Update a member's progress from its reply, and advance the commit index."""
        state = self._state
        if reply.term > state.term:
            self._become_follower(reply.term)
            return
        progress = state.progress.get(reply.sender)
        if not state.is_leader or reply.term != state.term or progress is None:
            return
        progress.last_heard_ms = state.now_ms
        progress.supports_proven_losses = reply.supports_proven_losses
        progress.supports_all_proofs = reply.supports_all_proofs
        progress.is_leaving = reply.is_leaving
        progress.round = max(progress.round, reply.round)
        if reply.is_match:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._advance_commit()
        else:
            progress.next_index = max(progress.match_index, reply.match_index) + 1
        is_behind = not reply.is_match or progress.next_index <= state.log.last_index
        if is_behind and reply.sender in state.progress:
            self._send_append(reply.sender)
        self._reads.confirm()
        self._transfer.advance()

    def _advance_commit(self) -> None:
        state = self._state
        index = state.reached_by_quorum(self._match_index_of)
        # Only an entry of the current term is committed by counting replicas; older
        # entries are committed along with it (Ongaro, section 3.6.2).
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_index = index
            self.reconcile_progress()
            # The new commit index is sent at once. The followers then apply a change
            # one message delay after it was acknowledged rather than a heartbeat later,
            # even if the leader crashes right after acknowledging it.
            self.is_broadcast_due = True

    def _match_index_of(self, replica_id: ReplicaId) -> int:
        progress = self._state.progress.get(replica_id)
        return progress.match_index if progress else 0
