"""The replicated state machine that applies edits to the table.

Its state depends only on the sequence of edits, so every replica gives the same answer
to the same edit.
"""

from collections import OrderedDict
from collections.abc import Callable
from functools import partial

import msgspec
import xxhash

from cinderway._errors import CinderwayError, ErrorCode
from cinderway._ids import EditId
from cinderway.table._edits import Action, Change, Edit, EditAnswer, accepted, refused
from cinderway.table._rows import COLUMNS
from cinderway.table._rules import check_rules
from cinderway.table._table import (
    CellData,
    Row,
    RowData,
    RowKey,
    Table,
    TableDelta,
    parse_row,
)

REMEMBERED_EDITS_LIMIT = 20_000


class RememberedEdit(msgspec.Struct, frozen=True):
    """The sequence, content digest and answer of an edit whose id was used."""

    sequence: int
    content_digest: int
    answer: EditAnswer


class MachineState(msgspec.Struct, frozen=True):
    """The format of the snapshot."""

    sequence: int
    forgotten_sequence: int
    table: TableDelta
    remembered: list[tuple[EditId, RememberedEdit]]


class _Refusal(Exception):
    def __init__(self, answer: EditAnswer):
        super().__init__(answer.detail)
        self.answer = answer


class TableMachine:
    """Applies edits one after another.

    Guarantees: an edit takes effect wholly or not at all, and at most once. While an
    edit's id is remembered, a resend of the same content gets the same answer; after
    that it is refused. `sequence` counts every new edit, accepted or refused, except
    those refused as too old; `table.revision` rises by one with each accepted edit.
    """

    def __init__(self, remembered_limit: int = REMEMBERED_EDITS_LIMIT):
        self.table = Table()
        self.sequence = 0
        self._remembered_limit = remembered_limit
        self._remembered: OrderedDict[EditId, RememberedEdit] = OrderedDict()
        # Ids of edits up to this sequence are no longer remembered.
        self._forgotten_sequence = 0

    def apply(self, index: int, data: bytes) -> EditAnswer:
        """Apply the edit in a log entry."""
        return self.apply_edit(Edit.decode(data))

    def apply_edit(self, edit: Edit) -> EditAnswer:
        """Apply an edit, or return the earlier answer if it is a resend."""
        content_digest = xxhash.xxh3_64_intdigest(edit.encode())
        remembered = self._remembered.get(edit.edit_id)
        if remembered is not None:
            if remembered.content_digest == content_digest:
                return remembered.answer
            return refused(
                ErrorCode.EDIT_ID_REUSED,
                f"edit id {edit.edit_id} was already used for a different edit",
            )
        # A resend carries the same seen sequence as the first sending, which is lower
        # than the edit's own sequence. So this refuses every resend of an edit whose id
        # is no longer remembered.
        if edit.seen_sequence < self._forgotten_sequence:
            return refused(
                ErrorCode.EDIT_TOO_OLD,
                f"the edit is based on sequence {edit.seen_sequence}, but edits up to "
                f"{self._forgotten_sequence} are forgotten: read the table again",
            )
        self.sequence += 1
        answer = self._try_edit(edit)
        self._remember(edit.edit_id, content_digest, answer)
        return answer

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return self.capture_snapshot()()

    def capture_snapshot(self) -> Callable[[], bytes]:
        """Return a function that encodes the state as of this call.

        It needs no deep copy: the parts of the state are immutable.
        """
        state = MachineState(
            self.sequence,
            self._forgotten_sequence,
            self.table.delta_since(0),
            list(self._remembered.items()),
        )
        return partial(msgspec.msgpack.encode, state)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; b"" stands for the empty state."""
        self.__init__(self._remembered_limit)
        if not data:
            return
        state = msgspec.msgpack.decode(data, type=MachineState)
        self.sequence = state.sequence
        self._forgotten_sequence = state.forgotten_sequence
        self._remembered = OrderedDict(state.remembered)
        self.table.install(state.table)

    def _try_edit(self, edit: Edit) -> EditAnswer:
        revision = self.table.revision + 1
        try:
            touched = _touched_rows(self.table, edit, revision)
            check_rules(self.table, touched)
        except _Refusal as refusal:
            return refusal.answer
        except CinderwayError as error:
            return refused(error.code, error.detail)
        for key, row in touched.items():
            if row is None:
                self.table.remove(key, revision)
            else:
                self.table.put(row)
        self.table.revision = revision
        return accepted(revision)

    def _remember(
        self, edit_id: EditId, content_digest: int, answer: EditAnswer
    ) -> None:
        self._remembered[edit_id] = RememberedEdit(
            self.sequence, content_digest, answer
        )
        while len(self._remembered) > self._remembered_limit:
            _, forgotten = self._remembered.popitem(last=False)
            self._forgotten_sequence = forgotten.sequence


def build_initial_snapshot(first_revision: int) -> bytes:
    """Return the snapshot of an empty table at a given revision.

    Entries never go back to an older revision, so a control group that is created
    anew must start above every revision that an entry has in force.
    """
    table = TableDelta(0, first_revision, 0, [], [])
    return msgspec.msgpack.encode(MachineState(0, 0, table, []))


def _touched_rows(table: Table, edit: Edit, revision: int) -> dict[RowKey, Row | None]:
    drafts: dict[RowKey, _Draft] = {}
    for change in edit.changes:
        key = RowKey(change.sheet, change.row)
        draft = drafts.get(key)
        if draft is None:
            draft = drafts[key] = _Draft(key, table.get(key))
        draft.apply_change(change, revision)
    return {key: draft.build_row(revision) for key, draft in drafts.items()}


class _Draft:
    """A row to which the changes of an edit are being applied."""

    def __init__(self, key: RowKey, before: Row | None):
        self.key = key
        self._before = before
        self._exists = before is not None
        self._created_revision = before.data.created_revision if before else 0
        self._cells = (
            {cell.column: cell for cell in before.data.cells} if before else {}
        )

    def apply_change(self, change: Change, revision: int) -> None:
        match change.action:
            case Action.CREATE:
                self._create(revision)
            case Action.SET:
                self._set(change, revision)
            case Action.REMOVE:
                self._remove(change)

    def build_row(self, revision: int) -> Row | None:
        if not self._exists:
            return None
        cells = sorted(self._cells.values(), key=lambda cell: cell.column)
        data = RowData(
            self.key.sheet, self.key.name, self._created_revision, revision, cells
        )
        return parse_row(data)

    def _create(self, revision: int) -> None:
        if self._exists:
            raise _Refusal(
                refused(
                    ErrorCode.REVISION_CONFLICT,
                    f"{self._label} already exists",
                    revision=self._created_revision,
                )
            )
        self._exists = True
        self._created_revision = revision
        self._cells = {}

    def _set(self, change: Change, revision: int) -> None:
        self._require_exists()
        if change.column not in COLUMNS[self.key.sheet]:
            raise _Refusal(
                refused(
                    ErrorCode.CELL_INVALID,
                    f"{self._label}: unknown column {change.column!r}; known columns: "
                    + ", ".join(COLUMNS[self.key.sheet]),
                )
            )
        if self._created_revision != revision:
            self._require_current_revision(change)
        self._cells[change.column] = CellData(change.column, change.value, revision)

    def _require_current_revision(self, change: Change) -> None:
        current = self._before.cell_revision(change.column)
        if current != change.seen_revision:
            raise _Refusal(
                refused(
                    ErrorCode.REVISION_CONFLICT,
                    f"{self._label}, column {change.column}: edit based on revision "
                    f"{change.seen_revision}, current is {current}",
                    revision=current,
                    winner_value=self._before.cell_value(change.column),
                )
            )

    def _remove(self, change: Change) -> None:
        self._require_exists()
        current = self._before.data.changed_revision if self._before else 0
        if current != change.seen_revision:
            raise _Refusal(
                refused(
                    ErrorCode.REVISION_CONFLICT,
                    f"{self._label}: edit based on revision {change.seen_revision}, "
                    f"current is {current}",
                    revision=current,
                )
            )
        self._exists = False

    def _require_exists(self) -> None:
        if not self._exists:
            raise _Refusal(
                refused(ErrorCode.REVISION_CONFLICT, f"{self._label} does not exist")
            )

    @property
    def _label(self) -> str:
        return f"{self.key.sheet.value} row {self.key.name!r}"
