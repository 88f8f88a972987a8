"""A leader's handing over to a follower, before it stops."""

from cinderway._ids import NO_REPLICA
from cinderway.replication._messages import TakeOver
from cinderway.replication._state import ReplicaState


class Handover:
    """Bring one follower up to date, then tell it to take over."""

    def __init__(self, state: ReplicaState):
        self._state = state
        self._target = NO_REPLICA
        self._deadline_ms = state.now_ms

    @property
    def is_under_way(self) -> bool:
        """Whether the leader must take nothing new meanwhile."""
        return self._target != NO_REPLICA

    def start(self) -> None:
        """Hand over to the follower that is furthest along, if one is heard."""
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
        """Tell the target to take over once it holds all entries."""
        state, target = self._state, self._target
        if not state.is_leader or target not in state.progress:
            # The target may have left the group meanwhile.
            self.abandon()
            return
        if state.progress[target].match_index == state.log.last_index:
            state.send(
                TakeOver(sender=state.replica_id, target=target, term=state.term)
            )

    def abandon_if_late(self) -> None:
        """Go on leading if the target has not taken over in time."""
        if self._state.now_ms >= self._deadline_ms:
            self.abandon()

    def abandon(self) -> None:
        """Hand over to nobody."""
        self._target = NO_REPLICA
