"""The work that a replica requests from its driver."""

from dataclasses import dataclass, field

from cinderway.replication._messages import (
    AppendRequest,
    Entry,
    HardState,
    OutgoingMessage,
    Snapshot,
)


@dataclass(frozen=True)
class ConfirmedRead:
    """A confirmed read, which may be answered once `index` is applied."""

    read_id: int
    index: int


@dataclass
class Output:
    """What the driver must do, in the order of the fields.

    The snapshot, hard state and entries are made durable, then the messages are sent,
    the committed entries applied and the reads answered.
    """

    snapshot: Snapshot | None = None
    hard_state: HardState | None = None
    entries: list[Entry] = field(default_factory=list)
    outgoing: list[OutgoingMessage] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    reads: list[ConfirmedRead] = field(default_factory=list)

    def take_early_messages(self) -> list[OutgoingMessage]:
        """Remove and return the messages that need not wait for the disk.

        A leader may send its entries while it is still writing them, because it counts
        its own copy only once that is synced. A new term, vote or snapshot must be
        durable first, so with one of them no message is sent early.
        """
        if self.hard_state is not None or self.snapshot is not None:
            return []
        early = [m for m in self.outgoing if isinstance(m.message, AppendRequest)]
        self.outgoing = [m for m in self.outgoing if m not in early]
        return early

    @property
    def has_records(self) -> bool:
        """Whether there is anything to make durable."""
        return bool(self.snapshot or self.hard_state or self.entries)
