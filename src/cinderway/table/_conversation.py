"""The messages about the table between operators, entries and control replicas."""

from cinderway._ids import Address, DataHall, EntryName, ReplicaId
from cinderway.table._edits import Edit, EditAnswer
from cinderway.table._table import TableDelta
from cinderway.wire import Conversation, Done, Failure, Message


class EntryReport(Message, frozen=True):
    """An entry's own state, sent with each FollowTable request as its heartbeat."""

    name: EntryName
    data_hall: DataHall
    address: Address
    revision: int
    digest: int
    table_level: int
    is_leaving: bool


class HeardReport(Message, frozen=True):
    """An entry's report relayed by another process, with its age."""

    report: EntryReport
    ago_ms: int


class FollowTable(Message, frozen=True):
    """Request what changed after a revision; a long poll of up to `wait_ms`.

    With `must_be_current`, only a leader that a quorum has confirmed may answer.
    """

    report: EntryReport
    known_revision: int
    wait_ms: int
    must_be_current: bool


class ReadTable(Message, frozen=True):
    """Request the whole current table from the leader."""


class TableAnswer(Message, frozen=True):
    """The table's change since the revision asked for.

    `sequence` is the edit sequence at the read. `is_current` is set only if a quorum
    confirmed that nothing newer had been acknowledged, `is_trusted` only if the
    answering entry itself serves callers with this table. `own_revision` is the highest
    revision that the answering process ever received in the requesting entry's reports.
    `heard` is a sample of the entry reports that it knows.
    """

    delta: TableDelta
    sequence: int
    is_current: bool
    is_trusted: bool
    own_revision: int
    heard: list[HeardReport]


class SubmitEdit(Message, frozen=True):
    """Ask the leader to apply an edit."""

    edit: Edit


class ReadStatus(Message, frozen=True):
    """Request a control replica's view of the control group and the fleet."""


class ReplicaStatus(Message, frozen=True):
    """The state of a replica as known to the answering replica."""

    replica_id: ReplicaId
    address: Address
    is_voter: bool
    is_silent: bool
    match_index: int


class EntryStatus(Message, frozen=True):
    """The last report of an entry that the answering control replica received."""

    name: EntryName
    data_hall: DataHall
    address: Address
    revision: int
    heard_ago_ms: int
    state: str


class StatusAnswer(Message, frozen=True):
    """The state of the control group and of the fleet, as known to one replica."""

    replica_id: ReplicaId
    role: str
    term: int
    leader: Address
    is_current: bool
    revision: int
    commit_index: int
    replicas: list[ReplicaStatus]
    entries: list[EntryStatus]


class RemoveReplica(Message, frozen=True):
    """Ask the leader to remove a replica from the group."""

    replica_id: ReplicaId


TABLE = Conversation(
    "table",
    1,
    (
        FollowTable,
        ReadTable,
        TableAnswer,
        SubmitEdit,
        EditAnswer,
        ReadStatus,
        StatusAnswer,
        RemoveReplica,
        Done,
        Failure,
    ),
)
