"""The messages that replicas exchange, and the records that they store."""

import enum
from dataclasses import dataclass

import msgspec

from cinderway._ids import NO_REPLICA, Address, ReplicaId
from cinderway.wire import Conversation, Message


class EntryKind(enum.IntEnum):
    """The kind of content that a log entry holds."""

    NOTHING = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Entry(Message, frozen=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Member(msgspec.Struct, frozen=True):
    """A replica of the group: a voter, or a learner that only receives the log."""

    address: Address
    is_voter: bool


class Membership(msgspec.Struct, frozen=True):
    """All replicas of the group, by id.

    `tolerated_losses` is the number of disks that may be lost at once while members are
    replaced, which sets the quorums; 0 stands for plain majorities. It is 0 as long as
    a voter does not know these quorums, and in logs of builds that did not.
    `counts_all_proofs` tells whether proven losses count without spare voters, too; it
    is false under the same conditions.
    """

    cluster_id: int
    members: dict[ReplicaId, Member]
    tolerated_losses: int = 0
    counts_all_proofs: bool = False

    @property
    def voters(self) -> frozenset[ReplicaId]:
        """Ids of the replicas that have a vote."""
        return frozenset(
            replica_id for replica_id, member in self.members.items() if member.is_voter
        )

    def with_member(self, replica_id: ReplicaId, member: Member) -> "Membership":
        """Return the membership with one replica added or replaced."""
        return msgspec.structs.replace(
            self, members={**self.members, replica_id: member}
        )

    def without(self, replica_id: ReplicaId) -> "Membership":
        """Return the membership with one replica removed."""
        remaining = {k: v for k, v in self.members.items() if k != replica_id}
        return msgspec.structs.replace(self, members=remaining)

    def encode(self) -> bytes:
        """Return the encoded form that log entries and snapshots store."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def decode(data: bytes) -> "Membership":
        """Return the membership that `encode` encoded as `data`."""
        return msgspec.msgpack.decode(data, type=Membership)


NO_MEMBERSHIP = Membership(0, {})


class Snapshot(Message, frozen=True):
    """The complete state of the state machine as of a committed index."""

    index: int
    term: int
    membership: bytes
    data: bytes


EMPTY_SNAPSHOT = Snapshot(0, 0, NO_MEMBERSHIP.encode(), b"")


class HardState(msgspec.Struct, frozen=True):
    """The term and vote; they are durable before any message that relies on them."""

    term: int = 0
    voted_for: ReplicaId = NO_REPLICA


class VoteRequest(Message, frozen=True):
    """Asks for a vote, or with `is_pre_vote` whether a vote would be granted.

    Requests carry the address to reply to: a replica that has only an old snapshot so
    far may not find the sender in the membership that it knows.
    """

    sender: ReplicaId
    target: ReplicaId
    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool
    sender_address: Address
    # 0 in requests of builds that did not send it.
    cluster_id: int = 0
    # Identifies a pre-vote request to one voter. A new replica at the voter's address
    # returns it in a join request, which proves that the voter's disk is lost.
    nonce: int = 0


class VoteReply(Message, frozen=True):
    """Answer to VoteRequest."""

    sender: ReplicaId
    target: ReplicaId
    term: int
    is_granted: bool
    is_pre_vote: bool


class AppendRequest(Message, frozen=True):
    """The leader's heartbeat, with the entries that follow `previous_index`.

    `round` counts the leader's broadcasts; the reply returns it, which lets the leader
    confirm reads. `silent_members` are those that the leader has no contact with.
    """

    sender: ReplicaId
    target: ReplicaId
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: list[Entry]
    sender_address: Address
    silent_members: list[ReplicaId] = []


class AppendReply(Message, frozen=True):
    """Answer to AppendRequest.

    If `is_match` is false, `match_index` is a hint: the next request should continue
    after it.
    """

    sender: ReplicaId
    target: ReplicaId
    term: int
    is_match: bool
    match_index: int
    round: int
    # False in replies of builds without such quorums.
    supports_proven_losses: bool = False
    # Whether the sender is about to stop and gives up its vote if it can be spared.
    is_leaving: bool = False
    # False in replies of builds that count proofs only if there are spare voters.
    supports_all_proofs: bool = False


class SnapshotRequest(Message, frozen=True):
    """The leader's snapshot, for a replica that needs entries already compacted."""

    sender: ReplicaId
    target: ReplicaId
    term: int
    snapshot: Snapshot
    sender_address: Address


class TakeOver(Message, frozen=True):
    """A leader that is about to stop asks the best follower to stand at once."""

    sender: ReplicaId
    target: ReplicaId
    term: int


class JoinRequest(Message, frozen=True):
    """A replica that is not a member asks to join the group as a learner.

    `cluster_id` is 0 if its data folder is new; otherwise it was a member before.
    `answered_nonce` is that of the vote request which this request answers, or 0.
    """

    sender: ReplicaId
    target: ReplicaId
    address: Address
    cluster_id: int
    answered_nonce: int = 0


ReplicaMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | TakeOver
    | JoinRequest
)

REPLICATION = Conversation("replication", 1, ReplicaMessage.__args__)


@dataclass(frozen=True)
class OutgoingMessage:
    """A message and the address to send it to."""

    address: Address
    message: ReplicaMessage
