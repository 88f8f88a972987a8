"""Leader elections: election timeouts, votes, and contact with the current leader.

Elections use a pre-vote (Ongaro, section 9.6): a replica first asks whether it would
win, so that a replica which was partitioned away does not disrupt a group that has a
leader.

Pre-vote requests also find out which voters have lost their disks: a replica without
any state that runs at a voter's address answers in the voter's place. If a whole round
does not reach a full quorum, the election that follows does not wait for these voters.
A round is over as soon as every voter has voted or is proven to be lost.
"""

import random
from collections.abc import Callable

from cinderway._ids import NO_REPLICA, ReplicaId
from cinderway.replication._messages import (
    HardState,
    JoinRequest,
    TakeOver,
    VoteReply,
    VoteRequest,
)
from cinderway.replication._quorum import NONE_LOST
from cinderway.replication._state import ReplicaState, Role

# Ten doublings take a timeout of a tenth of a second to over a minute, which is beyond
# any election timeout.
MAX_STARTUP_DOUBLINGS = 10
NONCE_BITS = 63


class Elections:
    """Runs elections and grants votes on behalf of one replica."""

    def __init__(
        self,
        state: ReplicaState,
        rng: random.Random,
        become_follower: Callable[[int], None],
        become_leader: Callable[[], None],
    ):
        self._state = state
        self._rng = rng
        self._become_follower = become_follower
        self._become_leader = become_leader
        self._votes: set[ReplicaId] = set()
        # The voter that each nonce of the current pre-vote round was sent to, and the
        # voters proven to be lost in this round.
        self._asked: dict[int, ReplicaId] = {}
        self._proven_lost: set[ReplicaId] = set()
        # Counts expired election timeouts; it only matters until a leader is heard.
        self._failed_startup_elections = 0
        self.reset_deadline()

    def tick(self) -> None:
        """Start a pre-vote if no leader was heard for a whole election timeout."""
        state = self._state
        if state.now_ms < self._deadline_ms:
            return
        self._failed_startup_elections = min(
            self._failed_startup_elections + 1, MAX_STARTUP_DOUBLINGS
        )
        self.reset_deadline()
        if state.replica_id not in state.membership.voters:
            return
        proven_lost = frozenset(self._proven_lost)
        is_pre_candidate = state.role is Role.PRE_CANDIDATE
        if is_pre_candidate and state.has_quorum(self._votes, proven_lost):
            self._start_election(proven_lost)
        else:
            self._start_pre_vote()

    def reset_deadline(self) -> None:
        """Restart the election timer with a new random timeout."""
        state, timing = self._state, self._state.timing
        shortest_ms, longest_ms = timing.election_min_ms, timing.election_max_ms
        if state.leader_heard_at_ms is None and not state.is_leader:
            # The timeout doubles from the third attempt on: where messages are slow,
            # a constant short timeout could expire before the votes arrive each time.
            factor = 2 ** max(self._failed_startup_elections - 1, 0)
            shortest_ms = min(timing.startup_min_ms * factor, shortest_ms)
            longest_ms = min(timing.startup_max_ms * factor, longest_ms)
        timeout_ms = self._rng.randint(shortest_ms, longest_ms)
        self._deadline_ms = state.now_ms + timeout_ms

    def follow_leader(self, leader_id: ReplicaId, term: int) -> None:
        """Follow the leader that has just sent a message, and restart the timer."""
        state = self._state
        if term > state.term or state.role is not Role.FOLLOWER:
            self._become_follower(term)
        state.leader_id = leader_id
        state.leader_heard_at_ms = state.now_ms
        self.reset_deadline()

    def _start_pre_vote(self) -> None:
        state = self._state
        state.role = Role.PRE_CANDIDATE
        if state.leader_id != NO_REPLICA and state.leader_heard_at_ms is not None:
            state.silent_since_ms[state.leader_id] = state.leader_heard_at_ms
        state.leader_id = NO_REPLICA
        state.proven_lost = NONE_LOST
        self._votes = {state.replica_id}
        self._asked = {}
        self._proven_lost = set()
        self._request_votes(state.term + 1, is_pre_vote=True)
        self._count_votes()

    def _start_election(
        self, proven_lost: frozenset[ReplicaId], *, is_transfer: bool = False
    ) -> None:
        state = self._state
        state.role = Role.CANDIDATE
        state.leader_id = NO_REPLICA
        # Losses that are proven later must not count: their voters may have voted in
        # this term before.
        state.proven_lost = proven_lost
        state.set_hard_state(HardState(state.term + 1, state.replica_id))
        self.reset_deadline()
        self._votes = {state.replica_id}
        self._request_votes(state.term, is_pre_vote=False, is_transfer=is_transfer)
        self._count_votes()

    def _request_votes(
        self, term: int, *, is_pre_vote: bool, is_transfer: bool = False
    ) -> None:
        state = self._state
        for target in self._find_voters() - {state.replica_id}:
            request = VoteRequest(
                sender=state.replica_id,
                target=target,
                term=term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                is_pre_vote=is_pre_vote,
                is_transfer=is_transfer,
                sender_address=state.address,
                cluster_id=state.membership.cluster_id,
                nonce=self._new_nonce(target) if is_pre_vote else 0,
            )
            state.send(request)

    def _new_nonce(self, target: ReplicaId) -> int:
        nonce = self._rng.getrandbits(NONCE_BITS) | 1
        self._asked[nonce] = target
        return nonce

    def receive_join_request(self, request: JoinRequest) -> None:
        """Record the loss of a voter in whose place a new replica has answered."""
        target = self._asked.get(request.answered_nonce)
        if target is not None and self._state.role is Role.PRE_CANDIDATE:
            self._proven_lost.add(target)
            self._end_complete_round()

    def _end_complete_round(self) -> None:
        """Start an election if every voter has voted or is proven to be lost."""
        state = self._state
        is_complete = self._find_voters() <= self._votes | self._proven_lost
        proven_lost = frozenset(self._proven_lost)
        if is_complete and state.has_quorum(self._votes, proven_lost):
            self._start_election(proven_lost)

    def _find_voters(self) -> set[ReplicaId]:
        """Return the voters of the memberships in force."""
        memberships = self._state.memberships_in_force
        return set[ReplicaId]().union(*(m.voters for m in memberships))

    def _count_votes(self) -> None:
        state = self._state
        if state.has_quorum(self._votes, state.proven_lost):
            if state.role is Role.PRE_CANDIDATE:
                self._start_election(NONE_LOST)
            elif state.role is Role.CANDIDATE:
                self._become_leader()
        elif state.role is Role.PRE_CANDIDATE:
            self._end_complete_round()

    def receive_vote_request(self, request: VoteRequest) -> None:
        """Decide on a candidate's request for a vote or pre-vote, and reply."""
        state = self._state
        # A replica in contact with a leader neither votes nor adopts the higher term:
        # otherwise one replica behind a one-way partition could depose a working
        # leader.
        if self._has_leader_contact() and not request.is_transfer:
            self._reply_vote(request, is_granted=False)
            return
        if request.term > state.term and not request.is_pre_vote:
            self._become_follower(request.term)
        is_granted = self._can_vote_for(request)
        if is_granted and not request.is_pre_vote:
            state.set_hard_state(HardState(state.term, request.sender))
            self.reset_deadline()
        self._reply_vote(request, is_granted=is_granted)

    def _can_vote_for(self, request: VoteRequest) -> bool:
        state = self._state
        own_last = (state.log.last_term, state.log.last_index)
        if (request.last_term, request.last_index) < own_last:
            return False
        if request.is_pre_vote:
            return request.term > state.term
        return request.term == state.term and state.hard_state.voted_for in (
            NO_REPLICA,
            request.sender,
        )

    def _reply_vote(self, request: VoteRequest, *, is_granted: bool) -> None:
        state = self._state
        reply = VoteReply(
            sender=state.replica_id,
            target=request.sender,
            term=request.term if is_granted else state.term,
            is_granted=is_granted,
            is_pre_vote=request.is_pre_vote,
        )
        state.send_to_address(request.sender_address, reply)

    def receive_vote_reply(self, reply: VoteReply) -> None:
        """Count a vote for this replica, or step down if the reply has a newer term."""
        state = self._state
        if not reply.is_granted:
            if reply.term > state.term:
                self._become_follower(reply.term)
            return
        wanted_role = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
        wanted_term = state.term + 1 if reply.is_pre_vote else state.term
        if state.role is wanted_role and reply.term == wanted_term:
            self._votes.add(reply.sender)
            state.silent_since_ms.pop(reply.sender, None)
            self._count_votes()

    def receive_take_over(self, message: TakeOver) -> None:
        """Start an election at once, because the leader transfers its leadership here.

        This message is called TimeoutNow in Ongaro's text (section 3.10).
        """
        state = self._state
        is_voter = state.replica_id in state.membership.voters
        if message.term == state.term and is_voter:
            self._start_election(NONE_LOST, is_transfer=True)

    def _has_leader_contact(self) -> bool:
        state = self._state
        return state.is_leader or state.has_heard_leader_within(
            state.timing.election_min_ms
        )
