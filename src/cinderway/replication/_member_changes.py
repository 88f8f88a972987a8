"""Single-server membership changes (Ongaro, chapter 4)."""

from typing import NamedTuple, TypeVar

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import NO_REPLICA, Address, ReplicaId
from cinderway.replication._leader_log import LeaderLog
from cinderway.replication._messages import (
    EMPTY_SNAPSHOT,
    EntryKind,
    JoinRequest,
    Membership,
    SnapshotRequest,
    VoteRequest,
)
from cinderway.replication._progress import Progress, find_member_at, next_membership
from cinderway.replication._state import FORMER_MEMBER_TIME_MS, ReplicaState

# A learner this close to the end of the leader's log catches up with one message.
CAUGHT_UP_ENTRIES = 64
FORMER_CONTACT_INTERVAL_MS = 1_000

Rule = TypeVar("Rule", bool, int)


class _QuorumRules(NamedTuple):
    """The rules that all members have to know; those of older builds compare lower."""

    tolerated_losses: int
    counts_all_proofs: bool

    @staticmethod
    def of(membership: Membership) -> "_QuorumRules":
        """Return a membership's rules."""
        return _QuorumRules(membership.tolerated_losses, membership.counts_all_proofs)

    def apply_to(self, membership: Membership) -> Membership:
        """Return the membership with these rules."""
        return msgspec.structs.replace(membership, **self._asdict())


class MemberChanges:
    """Adds replicas to the group and removes them; only a leader makes changes.

    `target_voters` is the intended number of voters, or 0 if none is configured.
    """

    def __init__(self, state: ReplicaState, leader_log: LeaderLog):
        self._state = state
        self._leader_log = leader_log
        self._joining: dict[ReplicaId, Address] = {}
        self._next_former_contact_at_ms = state.now_ms

    def clear_joining(self) -> None:
        """Discard pending join requests; the replicas will ask the next leader."""
        self._joining = {}

    def remove(self, replica_id: ReplicaId) -> None:
        """Remove a replica from the group, as requested by an operator."""
        state = self._state
        state.require_leader()
        if replica_id not in state.membership.members:
            raise _refused_error(f"replica {replica_id} is not a member")
        if not self._can_change():
            raise _refused_error(
                "another membership change is in progress, or the leader has not yet "
                "committed an entry in its term"
            )
        if state.membership.voters == {replica_id}:
            raise _refused_error("the last voter cannot be removed")
        self._apply_membership(state.membership.without(replica_id))

    def receive_join_request(self, request: JoinRequest, target_voters: int) -> None:
        """Add a replica that asks to join, or forward its request to the leader."""
        state = self._state
        if not state.is_leader:
            self._forward_to_leader(request)
            return
        if request.cluster_id not in (0, state.membership.cluster_id):
            return
        if request.sender in state.membership.members:
            if request.cluster_id == 0:
                # This member has received nothing yet, and hence cannot know where to
                # send its replies: only a snapshot tells it. Going back to index 1
                # makes the leader send one.
                state.progress[request.sender].next_index = 1
            return
        if self._is_in_contact_at(request.address):
            # Two processes cannot listen on one address, so this request is late.
            return
        self._joining[request.sender] = request.address
        self.advance(target_voters)

    def _is_in_contact_at(self, address: Address) -> bool:
        """Whether the member at an address has answered the leader recently."""
        state = self._state
        member = find_member_at(state.membership, address)
        if member is None:
            return False
        oldest_ms = state.now_ms - state.timing.quorum_contact_timeout_ms
        return member not in state.silent_since(oldest_ms)

    def receive_vote_request(self, request: VoteRequest, target_voters: int) -> None:
        """Treat a former member's vote request as its request to join again.

        A voter that was removed while it was silent does not know about its removal:
        it knows a membership that still names it, and tries to win an election.
        """
        membership = self._state.membership
        if not (target_voters and membership.members):
            return
        if request.sender not in membership.members:
            join_request = JoinRequest(
                sender=request.sender,
                target=NO_REPLICA,
                address=request.sender_address,
                cluster_id=request.cluster_id or membership.cluster_id,
            )
            self.receive_join_request(join_request, target_voters)

    def _forward_to_leader(self, request: JoinRequest) -> None:
        state = self._state
        # A joining replica is configured with some members' addresses, and the leader
        # need not be among them.
        leader = state.membership.members.get(state.leader_id)
        if leader is not None and leader.address != request.address:
            state.send_to_address(leader.address, request)

    def advance(self, target_voters: int) -> None:
        """Make the next membership change that is due, if any."""
        if not self._can_change():
            return
        current = self._state.membership
        membership = (
            next_membership(current, self._joining, self._is_caught_up)
            or self._without_replaced_voter(target_voters)
            or current
        )
        rules = self._choose_quorum_rules(membership, target_voters)
        if rules < _QuorumRules.of(current):
            # Whoever does not know the rules in force must not vote beside them.
            membership = current
        membership = rules.apply_to(membership)
        if membership != current or not self._state.is_commit_logged:
            self._apply_membership(membership)

    def _choose_quorum_rules(
        self, membership: Membership, target_voters: int
    ) -> "_QuorumRules":
        """Return the quorum rules that all members of a membership support."""
        current = _QuorumRules.of(self._state.membership)
        members = self._find_answering_members(membership)
        tolerated_losses = _choose_rule(
            (target_voters - 1) // 2 if target_voters else 0,
            current.tolerated_losses,
            {member.supports_proven_losses for member in members},
        )
        counts_all_proofs = _choose_rule(
            tolerated_losses > 0,
            current.counts_all_proofs,
            {member.supports_all_proofs for member in members},
        )
        return _QuorumRules(tolerated_losses, counts_all_proofs)

    def _find_answering_members(self, membership: Membership) -> list[Progress]:
        """Return the progress of other voters, and of learners that have answered."""
        state = self._state
        return [
            state.progress[replica_id]
            for replica_id, member in membership.members.items()
            if replica_id in state.progress.keys() - {state.replica_id}
            and (
                member.is_voter
                or state.progress[replica_id].supports_all_proofs is not None
            )
        ]

    def _without_replaced_voter(self, target_voters: int) -> Membership | None:
        """Return the membership without a voter that was replaced, if any.

        This applies only while a voter can be spared: a silent voter that has not been
        replaced keeps its vote. One that was not gone for good joins again by itself.
        """
        state = self._state
        voters = state.membership.voters
        if not state.can_spare_voter(target_voters):
            return None
        leaving = [voter for voter in voters if state.progress[voter].is_leaving]
        if leaving:
            return state.membership.without(leaving[0])
        oldest_ms = state.now_ms - state.timing.quorum_contact_timeout_ms
        silent = voters.intersection(state.silent_since(oldest_ms))
        if not silent:
            return None
        longest_silent = min(
            silent, key=lambda voter: (state.progress[voter].last_heard_ms, voter)
        )
        return state.membership.without(longest_silent)

    def contact_former_members(self) -> None:
        """Let replicas at former members' addresses know where the group is.

        One that has lost its disk may have been started with contacts that are all
        gone. It answers with a request to join; a replica with state ignores term 0.
        """
        state = self._state
        if state.now_ms < self._next_former_contact_at_ms:
            return
        self._next_former_contact_at_ms = state.now_ms + FORMER_CONTACT_INTERVAL_MS
        oldest_ms = state.now_ms - FORMER_MEMBER_TIME_MS
        known = {member.address for member in state.membership.members.values()}
        for replica_id, former in list(state.former_members.items()):
            if former.removed_at_ms < oldest_ms:
                del state.former_members[replica_id]
                continue
            if former.address in known:
                continue
            message = SnapshotRequest(
                sender=state.replica_id,
                target=replica_id,
                term=0,
                snapshot=EMPTY_SNAPSHOT,
                sender_address=state.address,
            )
            state.send_to_address(former.address, message)

    def _can_change(self) -> bool:
        state = self._state
        # Only one change may be uncommitted at a time, and the leader must have
        # committed an entry in its own term before it makes one. Without the second
        # rule, two leaders can start from the same old membership and make changes
        # whose majorities do not overlap (Ongaro's correction of 2015).
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

    def _apply_membership(self, membership: Membership) -> None:
        self._state.append_own(EntryKind.MEMBERSHIP, membership.encode())
        self._leader_log.reconcile_progress()
        self._joining = {
            replica_id: address
            for replica_id, address in self._joining.items()
            if replica_id not in membership.members
        }
        self._leader_log.broadcast()


def _choose_rule(wanted: Rule, current: Rule, support: set[bool | None]) -> Rule:
    """Return what a quorum rule is to be, given which members support it."""
    if False in support:
        return type(wanted)()
    return current if None in support else wanted


def _refused_error(detail: str) -> CinderwayError:
    return CinderwayError(ErrorCode.MEMBERSHIP_REFUSED, detail, step=Step.PROPOSE)
