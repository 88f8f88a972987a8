"""Reads that are not stale, without an entry in the log (Ongaro, section 6.4).

A leader answers a read once a quorum has answered a round of messages that was sent
after the read was asked: no other leader can have committed anything by then.
"""

from cinderway._ids import ReplicaId
from cinderway.replication._output import ConfirmedRead
from cinderway.replication._progress import quorum_value
from cinderway.replication._state import ReplicaState


class Reads:
    """A leader's reads that wait for a quorum, and the rounds of its messages."""

    def __init__(self, state: ReplicaState):
        self._state = state
        self.round = 0
        # Each with the round that must be answered first.
        self._waiting: list[tuple[int, ConfirmedRead]] = []

    def ask(self, read_id: int) -> None:
        """Let a read wait for the next round."""
        state = self._state
        state.require_leader()
        if not state.has_committed_in_term:
            raise state.not_leader("the leader has not committed in its term yet")
        read = ConfirmedRead(read_id, state.commit_index)
        self._waiting.append((self.round + 1, read))

    def start_round(self) -> None:
        """Number the messages that are sent next."""
        self.round += 1

    def confirm(self) -> None:
        """Hand out the reads whose round a quorum has answered."""
        confirmed = quorum_value(self._state.membership.voters, self._round_of)
        while self._waiting and self._waiting[0][0] <= confirmed:
            self._state.output.reads.append(self._waiting.pop(0)[1])

    def drop(self) -> None:
        """Forget reads that this replica can no longer confirm."""
        self._waiting = []

    def _round_of(self, replica_id: ReplicaId) -> int:
        if replica_id == self._state.replica_id:
            return self.round
        progress = self._state.progress.get(replica_id)
        return progress.round if progress else 0
