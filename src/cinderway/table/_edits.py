"""Edits of the table and the answers to them."""

from enum import Enum

import msgspec

from cinderway._errors import ErrorCode
from cinderway._ids import EditId
from cinderway.table._rows import Sheet
from cinderway.wire import Message


class Action(Enum):
    """What a change does."""

    CREATE = "create"
    SET = "set"
    REMOVE = "remove"


class Change(Message, frozen=True):
    """One change of an edit.

    `seen_revision` is the revision of the cell (SET) or row (REMOVE) that the operator
    saw when making the edit. It is ignored when a cell is set in a row that the same
    edit creates.
    """

    action: Action
    sheet: Sheet
    row: str
    column: str = ""
    value: str = ""
    seen_revision: int = 0


class Edit(Message, frozen=True):
    """Changes that take effect together or not at all.

    `seen_sequence` is the table's edit sequence when the operator read the table. It
    shows whether the edit's id may already have been dropped from the window of
    remembered edit ids.
    """

    edit_id: EditId
    operator: str
    seen_sequence: int
    changes: list[Change]

    def encode(self) -> bytes:
        """Return the bytes that are stored in the replicated log."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def decode(data: bytes) -> "Edit":
        """Return the edit that `encode` turned into these bytes."""
        return msgspec.msgpack.decode(data, type=Edit)


class EditOutcome(Enum):
    """Whether an edit took effect."""

    ACCEPTED = "accepted"
    REFUSED = "refused"


class EditAnswer(Message, frozen=True):
    """The final answer to an edit; every resend gets the same one.

    `revision` is the table revision that an accepted edit created. If an earlier edit
    won a race against this one, `revision` is the revision of the cell or row in
    conflict, 0 if that row does not exist, and `winner_value` the cell's current value.
    """

    verdict: EditOutcome
    revision: int
    code: str = ""
    detail: str = ""
    winner_value: str = ""


def accepted(revision: int) -> EditAnswer:
    """Return the answer to an edit that took effect."""
    return EditAnswer(EditOutcome.ACCEPTED, revision)


def refused(
    code: ErrorCode, detail: str, *, revision: int = 0, winner_value: str = ""
) -> EditAnswer:
    """Return the answer to an edit that did not take effect."""
    return EditAnswer(EditOutcome.REFUSED, revision, code.value, detail, winner_value)
