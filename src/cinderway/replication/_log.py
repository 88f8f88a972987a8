"""The in-memory replicated log: a snapshot and the entries that follow it."""

from cinderway.replication._messages import (
    EMPTY_SNAPSHOT,
    Entry,
    EntryKind,
    Membership,
    Snapshot,
)


class Log:
    """Entries from `snapshot.index + 1` on, and the membership that they define.

    A membership takes effect as soon as its entry is in the log, committed or not,
    and is reverted when that entry is overwritten.
    """

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT, entries=()):
        self.snapshot = snapshot
        self._entries: list[Entry] = list(entries)
        self._memberships = [(snapshot.index, Membership.decode(snapshot.membership))]
        self._record_memberships(self._entries)

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def membership(self) -> Membership:
        """The current membership: the newest one in the log."""
        return self._memberships[-1][1]

    @property
    def previous_membership(self) -> Membership | None:
        """The membership before the current one; None if it is not in the log."""
        return self._memberships[-2][1] if len(self._memberships) > 1 else None

    @property
    def membership_index(self) -> int:
        """Index of the entry that introduced the current membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> Membership:
        """The membership as of an index, which must not be below the snapshot's."""
        return [m for at, m in self._memberships if at <= index][-1]

    def term_at(self, index: int) -> int | None:
        """Term of the entry at an index, or None if the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entries_from(self, index: int, limit: int | None = None) -> list[Entry]:
        """Return the entries from an index on, at most `limit` of them."""
        start = index - self.snapshot.index - 1
        stop = None if limit is None else start + limit
        return self._entries[start:stop]

    def append(self, entries: list[Entry]) -> None:
        """Append entries, overwriting everything at and after their first index."""
        if not entries:
            return
        first_index = entries[0].index
        del self._entries[first_index - self.snapshot.index - 1 :]
        while self._memberships[-1][0] >= first_index:
            self._memberships.pop()
        self._entries.extend(entries)
        self._record_memberships(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to a snapshot's index by the snapshot.

        Later entries are kept only if this log has the snapshot's term at its index.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            remaining = self.entries_from(snapshot.index + 1)
        else:
            remaining = []
        self.__init__(snapshot, remaining)

    def _record_memberships(self, entries: list[Entry]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.MEMBERSHIP:
                self._memberships.append((entry.index, Membership.decode(entry.data)))
