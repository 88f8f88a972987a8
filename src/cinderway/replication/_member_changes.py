"""Membership changes, one replica at a time (Ongaro, chapter 4)."""

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, ReplicaId
from cinderway.replication._leader_log import LeaderLog
from cinderway.replication._messages import EntryKind, JoinRequest, Membership
from cinderway.replication._progress import next_membership
from cinderway.replication._state import ReplicaState

# A learner this close to the leader's end catches the rest up with one message.
CAUGHT_UP_ENTRIES = 64


class MemberChanges:
    """Takes replicas into the group and out of it; only a leader makes changes.

    `wanted_voters` is how many voters the group is to have, 0 if that is not said.
    """

    def __init__(self, state: ReplicaState, leader_log: LeaderLog):
        self._state = state
        self._leader_log = leader_log
        self._joining: dict[ReplicaId, Address] = {}

    def forget_joining(self) -> None:
        """Drop the requests of newcomers: they ask the next leader again."""
        self._joining = {}

    def remove(self, replica_id: ReplicaId) -> None:
        """Take a replica out of the group, on an operator's word."""
        state = self._state
        state.require_leader()
        if replica_id not in state.membership.members:
            raise _refused(f"replica {replica_id} is not a member")
        if not self._may_change():
            raise _refused("another change is still going on")
        if state.membership.voters == {replica_id}:
            raise _refused("the last voter cannot be removed")
        self._change(state.membership.without(replica_id))

    def on_join(self, request: JoinRequest, wanted_voters: int) -> None:
        """Take a replica in, or pass its request on to the leader."""
        state = self._state
        if not state.is_leader:
            self._pass_on(request)
            return
        if request.cluster_id not in (0, state.membership.cluster_id):
            return
        if request.sender in state.membership.members:
            # It asks again because it has received nothing yet and hence cannot
            # know where to send answers: only a snapshot tells it.
            state.progress[request.sender].next_index = 1
            return
        self._joining[request.sender] = request.address
        self.advance(wanted_voters)

    def _pass_on(self, request: JoinRequest) -> None:
        state = self._state
        # A newcomer knows some members, and the leader need not be among them.
        leader = state.membership.members.get(state.leader_id)
        if leader is not None and leader.address != request.address:
            state.answer(leader.address, request)

    def advance(self, wanted_voters: int) -> None:
        """Make the next change that is due, if any."""
        if not self._may_change():
            return
        membership = next_membership(
            self._state.membership, self._joining, self._is_caught_up
        )
        if membership is None:
            membership = self._without_replaced(wanted_voters)
        if membership is not None:
            self._change(membership)

    def _without_replaced(self, wanted_voters: int) -> Membership | None:
        """Return the membership without a voter whose place another took, if any.

        Only while there are more voters than wanted: a silent voter that nobody
        replaced may come back, and keeps its vote.
        """
        state = self._state
        if not 0 < wanted_voters < len(state.membership.voters):
            return None
        oldest_ms = state.now_ms - state.timing.replace_silent_ms
        replaced = state.membership.voters.intersection(state.silent_since(oldest_ms))
        if not replaced:
            return None
        return state.membership.without(min(replaced))

    def _may_change(self) -> bool:
        state = self._state
        # One change at a time, and none before the leader has committed in its own
        # term: without the second rule two leaders' changes can be made from the
        # same old membership and share no majority (Ongaro's correction of 2015).
        return (
            state.log.membership_index <= state.commit_index
            and state.has_committed_in_term
        )

    def _is_caught_up(self, replica_id: ReplicaId) -> bool:
        state = self._state
        progress = state.progress[replica_id]
        if replica_id in state.silent_members():
            return False
        return (
            progress.match_index >= progress.joined_at_index
            and progress.match_index + CAUGHT_UP_ENTRIES >= state.log.last_index
        )

    def _change(self, membership: Membership) -> None:
        self._state.append_own(EntryKind.MEMBERSHIP, membership.encode())
        self._leader_log.follow_membership()
        self._joining = {
            replica_id: address
            for replica_id, address in self._joining.items()
            if replica_id not in membership.members
        }
        self._leader_log.broadcast()


def _refused(detail: str) -> CinderwayError:
    return CinderwayError(ErrorCode.MEMBERSHIP_REFUSED, detail, step=Step.PROPOSE)
