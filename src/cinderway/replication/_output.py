"""What a replica asks of its driver."""

from dataclasses import dataclass, field

from cinderway.replication._messages import (
    AppendRequest,
    Entry,
    HardState,
    Outgoing,
    Snapshot,
)


@dataclass(frozen=True)
class ConfirmedRead:
    """A read that may be answered once `index` is applied."""

    read_id: int
    index: int


@dataclass
class Output:
    """What the driver must do, in the order of the fields."""

    snapshot: Snapshot | None = None
    hard_state: HardState | None = None
    entries: list[Entry] = field(default_factory=list)
    outgoing: list[Outgoing] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    reads: list[ConfirmedRead] = field(default_factory=list)

    def take_early(self) -> list[Outgoing]:
        """Return, and take out, the messages that need not wait for the disk.

        A leader's entries may travel while it writes them itself: it counts its own
        copy only once that is synced. A new term or vote must be durable first.
        """
        if self.hard_state is not None or self.snapshot is not None:
            return []
        early = [m for m in self.outgoing if isinstance(m.message, AppendRequest)]
        self.outgoing = [m for m in self.outgoing if m not in early]
        return early

    @property
    def has_records(self) -> bool:
        """Whether anything must be made durable."""
        return bool(self.snapshot or self.hard_state or self.entries)
