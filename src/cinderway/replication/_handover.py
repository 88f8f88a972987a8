"""Leadership transfer to a follower, before the leader shuts down."""

from cinderway._ids import NO_REPLICA
from cinderway.replication._messages import TakeOver
from cinderway.replication._state import ReplicaState


class LeadershipTransfer:
    """Waits until one follower is up to date, then tells it to start an election."""

    def __init__(self, state: ReplicaState):
        self._state = state
        self._target = NO_REPLICA
        self._deadline_ms = state.now_ms

    @property
    def is_in_progress(self) -> bool:
        """Whether a transfer is running, during which new commands are rejected."""
        return self._target != NO_REPLICA

    def start(self) -> None:
        """Choose the most up-to-date reachable voter and start a transfer to it."""
        state = self._state
        if not state.is_leader:
            return
        silent = set(state.silent_members())
        targets = state.membership.voters - silent - {state.replica_id}
        if not targets:
            return
        self._target = max(
            targets, key=lambda target: (state.progress[target].match_index, target)
        )
        self._deadline_ms = state.now_ms + state.timing.election_max_ms
        self.advance()

    def advance(self) -> None:
        """Tell the target to start an election once it holds all entries."""
        state, target = self._state, self._target
        if not state.is_leader or target not in state.progress:
            # The target may have been removed from the group meanwhile.
            self.abandon()
            return
        if state.progress[target].match_index == state.log.last_index:
            state.send(
                TakeOver(sender=state.replica_id, target=target, term=state.term)
            )

    def abandon_if_expired(self) -> None:
        """Give up the transfer if the target has not taken over by the deadline."""
        if self._state.now_ms >= self._deadline_ms:
            self.abandon()

    def abandon(self) -> None:
        """Cancel the transfer, if one is running."""
        self._target = NO_REPLICA
