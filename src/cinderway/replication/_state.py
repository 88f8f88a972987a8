"""What all parts of a replica share: its log, term, role, clock and output.

The parts (elections, both sides of the log, membership changes, reads) change this
state and nothing else of each other, except through the methods they are given.
"""

import enum
from dataclasses import dataclass

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import NO_REPLICA, Address, ReplicaId
from cinderway.replication._log import Log
from cinderway.replication._messages import (
    Entry,
    EntryKind,
    HardState,
    Membership,
    Outgoing,
    ReplicaMessage,
    Snapshot,
)
from cinderway.replication._output import Output
from cinderway.replication._progress import Progress


class Role(enum.Enum):
    """What a replica is at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Timing:
    """Intervals of the protocol in milliseconds."""

    heartbeat_ms: int = 60
    election_min_ms: int = 400
    election_max_ms: int = 800
    # Until a replica has heard a leader since its start: a group that was killed whole
    # has none to wait for. A pre-vote disturbs nobody who does hear one.
    startup_min_ms: int = 400
    startup_max_ms: int = 800
    # A leader that has not heard a quorum for this long steps down: until then its
    # followers take it for one.
    quorum_silent_ms: int = 800
    # A voter that is silent for this long makes room once another took its place.
    replace_silent_ms: int = 5_000


class ReplicaState:
    """The state of one replica, and the few changes that several parts make to it."""

    def __init__(
        self,
        replica_id: ReplicaId,
        address: Address,
        log: Log,
        hard_state: HardState,
        timing: Timing,
        now_ms: int,
    ):
        self.replica_id = replica_id
        self.address = address
        self.log = log
        self.hard_state = hard_state
        self.timing = timing
        self.now_ms = now_ms
        self.role = Role.FOLLOWER
        self.leader_id = NO_REPLICA
        self.leader_heard_at_ms: int | None = None
        self.commit_index = log.snapshot.index
        self.persisted_index = log.last_index
        # Of each member, itself too; only a leader keeps it.
        self.progress: dict[ReplicaId, Progress] = {}
        self.output = Output()
        # The newest word of a leader that had committed in its term: up to which index
        # it had committed, and when that was heard.
        self.told_commit_index = 0
        self.told_at_ms: int | None = None
        self._handed_out_index = log.snapshot.index
        self._has_caught_up = False
        self.caught_up_index = 0

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """The membership in effect here."""
        return self.log.membership

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads; another may already have replaced it."""
        return self.role is Role.LEADER

    @property
    def has_caught_up(self) -> bool:
        """Whether what is committed here held all that was acknowledged, once at least.

        A replica that has just started knows only a part of it until a leader, or its
        own election, has told it more; it must not show that part as the state.
        """
        if self.is_leader and self.has_committed_in_term:
            self._note_caught_up(self.commit_index)
        return self._has_caught_up

    @property
    def has_committed_in_term(self) -> bool:
        """Whether the newest committed entry is of the current term."""
        return self.log.term_at(self.commit_index) == self.term

    def silent_members(self) -> list[ReplicaId]:
        """Members the leader has not heard from for an election timeout."""
        if not self.is_leader:
            return []
        return self.silent_since(self.now_ms - self.timing.election_max_ms)

    def silent_since(self, oldest_ms: int) -> list[ReplicaId]:
        """Other members that were last heard before a point in time."""
        return [
            replica_id
            for replica_id, progress in self.progress.items()
            if replica_id != self.replica_id and progress.last_heard_ms < oldest_ms
        ]

    def note_told(self, commit_index: int) -> None:
        """Note a leader's word on what is committed, all of which is held here."""
        self.told_commit_index = commit_index
        self.told_at_ms = self.now_ms
        self._note_caught_up(commit_index)

    def _note_caught_up(self, index: int) -> None:
        if not self._has_caught_up:
            self._has_caught_up = True
            self.caught_up_index = index

    def set_hard_state(self, hard_state: HardState) -> None:
        """Take a new term or vote, to be made durable before anything is sent."""
        self.hard_state = hard_state
        self.output.hard_state = hard_state

    # The replica's own copy of the log.

    def append_own(self, kind: EntryKind, data: bytes) -> int:
        """Append a new entry of the current term and return its index."""
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self.append([entry])
        return entry.index

    def append(self, entries: list[Entry]) -> None:
        """Add entries in place of whatever stands at their indexes and after."""
        if not entries:
            return
        self.persisted_index = min(self.persisted_index, entries[0].index - 1)
        self.log.append(entries)
        pending = self.output.entries
        while pending and pending[-1].index >= entries[0].index:
            pending.pop()
        pending.extend(entries)

    def install(self, snapshot: Snapshot) -> None:
        """Put a leader's snapshot in place of what it covers."""
        self.log.compact(snapshot)
        self.commit_index = snapshot.index
        self._handed_out_index = snapshot.index
        self.persisted_index = snapshot.index
        self.output.snapshot = snapshot
        self.output.entries = self.log.entries_from(snapshot.index + 1)

    def take_committed(self) -> list[Entry]:
        """Return the entries that were committed since the last call."""
        first_index = self._handed_out_index + 1
        count = self.commit_index - self._handed_out_index
        self._handed_out_index = self.commit_index
        return self.log.entries_from(first_index, count)

    # Messages and refusals.

    def send(self, message: ReplicaMessage) -> None:
        """Send to a member, at the address that the membership gives it."""
        member = self.membership.members.get(message.target)
        if member is not None:
            self.answer(member.address, message)

    def answer(self, address: Address, message: ReplicaMessage) -> None:
        """Send to an address; who asked need not be a member yet."""
        self.output.outgoing.append(Outgoing(address, message))

    def require_leader(self) -> None:
        """Refuse what only a leader may do."""
        if not self.is_leader:
            raise self.not_leader("this replica does not lead")

    def not_leader(self, detail: str) -> CinderwayError:
        """Return a refusal that names the leader, as far as it is known."""
        leader = self.membership.members.get(self.leader_id)
        return CinderwayError(
            ErrorCode.NOT_LEADER,
            detail,
            step=Step.PROPOSE,
            peer=leader.address if leader else "",
        )
