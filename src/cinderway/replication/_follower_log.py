"""The follower's side of log replication: append entries, report the matching index."""

from collections.abc import Callable

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import ReplicaId
from cinderway.replication._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    SnapshotRequest,
)
from cinderway.replication._state import ReplicaState


class FollowerLog:
    """Brings the own log into agreement with the leader's."""

    def __init__(
        self, state: ReplicaState, follow_leader: Callable[[ReplicaId, int], None]
    ):
        self._state = state
        self._follow_leader = follow_leader

    def receive_append_request(self, request: AppendRequest) -> None:
        """Append a leader's entries if the log matches up to the entry before them."""
        state = self._state
        if request.term < state.term:
            self._reply_append(request, is_match=False, match_index=0)
            return
        self._follow_leader(request.sender, request.term)
        state.record_silent_members(request.silent_members)
        if not self._has_matching_entry(request.previous_index, request.previous_term):
            hint = self._match_hint(request.previous_index)
            self._reply_append(request, is_match=False, match_index=hint)
            return
        missing = self._missing_entries(request.entries)
        if missing and missing[0].index <= state.commit_index:
            raise CinderwayError(
                ErrorCode.DATA_DAMAGED,
                f"the leader tried to overwrite committed entry {missing[0].index}",
                step=Step.RECEIVE,
                peer=str(request.sender),
            )
        state.append(missing)
        match_index = request.previous_index + len(request.entries)
        state.commit_index = max(
            state.commit_index, min(request.commit_index, match_index)
        )
        self._record_leader_commit(request)
        self._reply_append(request, is_match=True, match_index=match_index)

    def _record_leader_commit(self, request: AppendRequest) -> None:
        state = self._state
        # A new leader's commit index may lag behind what earlier leaders committed.
        # It is complete only once the leader has committed an entry of its own term.
        has_all = state.commit_index >= request.commit_index
        if has_all and state.log.term_at(request.commit_index) == request.term:
            state.record_leader_commit(request.commit_index)

    def _has_matching_entry(self, index: int, term: int) -> bool:
        state = self._state
        # Entries covered by a snapshot are committed, hence the same in every
        # leader's log.
        return index < state.log.snapshot.index or state.log.term_at(index) == term

    def _match_hint(self, previous_index: int) -> int:
        state = self._state
        if previous_index > state.log.last_index:
            return state.log.last_index
        conflicting_term = state.log.term_at(previous_index)
        index = previous_index
        while index > state.commit_index and (
            state.log.term_at(index) == conflicting_term
        ):
            index -= 1
        return index

    def _missing_entries(self, entries: list[Entry]) -> list[Entry]:
        state = self._state
        for position, entry in enumerate(entries):
            if entry.index <= state.log.snapshot.index:
                continue
            if state.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return []

    def _reply_append(
        self, request: AppendRequest, *, is_match: bool, match_index: int
    ) -> None:
        state = self._state
        reply = AppendReply(
            sender=state.replica_id,
            target=request.sender,
            term=state.term,
            is_match=is_match,
            match_index=match_index,
            round=request.round,
            supports_proven_losses=True,
            is_leaving=state.is_leaving,
            supports_all_proofs=True,
        )
        state.send_to_address(request.sender_address, reply)

    def receive_snapshot_request(self, request: SnapshotRequest) -> None:
        """Install a leader's snapshot if it is ahead of the own commit index."""
        state = self._state
        if request.term < state.term:
            return
        self._follow_leader(request.sender, request.term)
        snapshot = request.snapshot
        if snapshot.index > state.commit_index:
            state.install(snapshot)
        reply = AppendReply(
            sender=state.replica_id,
            target=request.sender,
            term=state.term,
            is_match=True,
            match_index=min(snapshot.index, state.commit_index),
            round=0,
            supports_proven_losses=True,
            is_leaving=state.is_leaving,
            supports_all_proofs=True,
        )
        state.send_to_address(request.sender_address, reply)
