"""Linearizable reads without a log entry per read (Ongaro, section 6.4).

A leader confirms a read once a quorum has answered a round of messages that was sent
after the read was requested: this proves that no other leader had committed anything
newer when the read was requested.
"""

from cinderway._ids import ReplicaId
from cinderway.replication._output import ConfirmedRead
from cinderway.replication._state import ReplicaState


class LinearizableReads:
    """Tracks a leader's broadcast rounds, and the reads that wait for a quorum."""

    def __init__(self, state: ReplicaState):
        self._state = state
        self.round = 0
        # Pairs of the round that a quorum must answer first, and the read.
        self._pending: list[tuple[int, ConfirmedRead]] = []

    def request(self, read_id: int) -> None:
        """Add a read that is confirmed by the next round."""
        state = self._state
        state.require_leader()
        if not state.has_committed_in_term:
            raise state.not_leader_error(
                "the leader has not committed an entry in its term yet"
            )
        read = ConfirmedRead(read_id, state.commit_index)
        self._pending.append((self.round + 1, read))

    def start_round(self) -> None:
        """Start a new broadcast round; its messages carry the new number."""
        self.round += 1

    def confirm(self) -> None:
        """Output the reads whose round a quorum has answered."""
        confirmed = self._state.reached_by_quorum(self._round_of)
        while self._pending and self._pending[0][0] <= confirmed:
            self._state.output.reads.append(self._pending.pop(0)[1])

    def drop(self) -> None:
        """Discard pending reads, as this replica can no longer confirm them."""
        self._pending = []

    def _round_of(self, replica_id: ReplicaId) -> int:
        if replica_id == self._state.replica_id:
            return self.round
        progress = self._state.progress.get(replica_id)
        return progress.round if progress else 0
