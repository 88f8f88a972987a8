"""The follower's side of the log: take over the leader's, say how far it matches."""

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
    """What a replica does with a leader's log."""

    def __init__(
        self, state: ReplicaState, hear_leader: Callable[[ReplicaId, int], None]
    ):
        self._state = state
        self._hear_leader = hear_leader

    def on_append_request(self, request: AppendRequest) -> None:
        """Take over a leader's entries that follow on what is held here."""
        state = self._state
        if request.term < state.term:
            self._reply_append(request, is_match=False, match_index=0)
            return
        self._hear_leader(request.sender, request.term)
        if not self._matches(request.previous_index, request.previous_term):
            hint = self._match_hint(request.previous_index)
            self._reply_append(request, is_match=False, match_index=hint)
            return
        unknown = self._unknown_entries(request.entries)
        if unknown and unknown[0].index <= state.commit_index:
            raise CinderwayError(
                ErrorCode.DATA_DAMAGED,
                f"a leader wants to overwrite committed entry {unknown[0].index}",
                step=Step.RECEIVE,
                peer=str(request.sender),
            )
        state.append(unknown)
        match_index = request.previous_index + len(request.entries)
        state.commit_index = max(
            state.commit_index, min(request.commit_index, match_index)
        )
        self._note_commit(request)
        self._reply_append(request, is_match=True, match_index=match_index)

    def _note_commit(self, request: AppendRequest) -> None:
        state = self._state
        # The leader's own commit index says all only once it has committed in its term.
        has_all = state.commit_index >= request.commit_index
        if has_all and state.log.term_at(request.commit_index) == request.term:
            state.note_told(request.commit_index)

    def _matches(self, index: int, term: int) -> bool:
        state = self._state
        # What a snapshot covers is committed, hence the same in every leader's log.
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

    def _unknown_entries(self, entries: list[Entry]) -> list[Entry]:
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
        )
        state.answer(request.sender_address, reply)

    def on_snapshot_request(self, request: SnapshotRequest) -> None:
        """Take over a leader's snapshot, if it goes further than what is held."""
        state = self._state
        if request.term < state.term:
            return
        self._hear_leader(request.sender, request.term)
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
        )
        state.answer(request.sender_address, reply)
