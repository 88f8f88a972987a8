"""The in-memory table of a replica or an entry: rows, revisions, digest, deltas."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import ServerName, ServiceName
from cinderway.table._columns import parse_cell
from cinderway.table._rows import COLUMNS, ROW_TYPES, ServerRow, ServiceRow, Sheet
from cinderway.wire import Message

TOMBSTONE_LIMIT = 10_000


class RowKey(NamedTuple):
    """Identifies a row by its sheet and name."""

    sheet: Sheet
    name: str


class CellData(Message, frozen=True):
    """A cell that was set, with the table revision at which it was set."""

    column: str
    value: str
    revision: int


class RowData(Message, frozen=True):
    """A row: the revisions that created and last changed it, and its set cells."""

    sheet: Sheet
    name: str
    created_revision: int
    changed_revision: int
    cells: list[CellData]


class RemovedRow(Message, frozen=True):
    """A removed row, with the table revision at which it was removed."""

    sheet: Sheet
    name: str
    revision: int


class TableDelta(Message, frozen=True):
    """The changes after `base_revision`; the whole table if that is 0.

    `digest` is the digest of the whole table at `revision`.
    """

    base_revision: int
    revision: int
    digest: int
    rows: list[RowData]
    removed: list[RemovedRow]


@dataclass(frozen=True)
class Row:
    """A row together with its typed values, parsed once."""

    data: RowData
    typed: ServiceRow | ServerRow

    def cell_revision(self, column: str) -> int:
        """Return a cell's revision; a cell never set has its row's created revision."""
        for cell in self.data.cells:
            if cell.column == column:
                return cell.revision
        return self.data.created_revision

    def cell_value(self, column: str) -> str:
        """Return a cell's text; "" if it was never set, so that the default applies."""
        for cell in self.data.cells:
            if cell.column == column:
                return cell.value
        return ""


def parse_row(data: RowData) -> Row:
    """Return a row with its typed values; raises CELL_INVALID, naming the column."""
    columns = COLUMNS[data.sheet]
    values = {cell.column: cell.value for cell in data.cells}
    missing = [
        name for name, c in columns.items() if c.is_required and name not in values
    ]
    unknown = [name for name in values if name not in columns]
    if missing or unknown:
        problem = (
            f"missing columns {missing}" if missing else f"unknown columns {unknown}"
        )
        raise CinderwayError(
            ErrorCode.CELL_INVALID,
            f"{data.sheet.value} row {data.name!r}: {problem}",
            step=Step.CHECK_EDIT,
        )
    try:
        typed = {name: parse_cell(columns[name], text) for name, text in values.items()}
    except CinderwayError as error:
        raise CinderwayError(
            error.code,
            f"{data.sheet.value} row {data.name!r}, {error.detail}",
            step=Step.CHECK_EDIT,
        ) from error
    return Row(data, ROW_TYPES[data.sheet](name=data.name, **typed))


class Table:
    """All rows at one revision, indexed for the rule checks and for routing.

    Rows are kept in the order of their last change, so that the cost of a delta depends
    on the number of changed rows and not on the size of the table.
    """

    def __init__(self):
        self.revision = 0
        self.digest = 0
        self._rows: OrderedDict[RowKey, Row] = OrderedDict()
        self._removed: OrderedDict[RowKey, int] = OrderedDict()
        self._min_delta_base = 0
        self._servers_of: dict[ServiceName, dict[ServerName, ServerRow]] = {}
        self._services: dict[ServiceName, ServiceRow] = {}
        self._owners: dict[tuple[Sheet, str], str] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, key: RowKey) -> Row | None:
        """Return a row, or None."""
        return self._rows.get(key)

    def rows(self, sheet: Sheet) -> list[Row]:
        """Return the rows of a sheet, sorted by name."""
        found = [row for key, row in self._rows.items() if key.sheet is sheet]
        return sorted(found, key=lambda row: row.data.name)

    def services(self) -> list[ServiceRow]:
        """Return all services, in the order of their last change."""
        return list(self._services.values())

    def service(self, name: ServiceName) -> ServiceRow | None:
        """Return a service's row, or None."""
        row = self._rows.get(RowKey(Sheet.SERVICES, name))
        return row.typed if row else None

    def servers_of(self, service: ServiceName) -> dict[ServerName, ServerRow]:
        """Return a service's backend servers by name; the caller must not modify it."""
        return self._servers_of.get(service, {})

    def find_owner(self, sheet: Sheet, text: str) -> str | None:
        """Return the name of the row that has a unique value of a sheet, or None."""
        return self._owners.get((sheet, text))

    # Changes.

    def put(self, row: Row) -> None:
        """Add a row, or replace the row that has the same key."""
        key = RowKey(row.data.sheet, row.data.name)
        self._unindex(key)
        self._removed.pop(key, None)
        self._rows[key] = row
        self._rows.move_to_end(key)
        self.digest ^= _compute_row_digest(row.data)
        self._index(row.typed)

    def remove(self, key: RowKey, revision: int) -> None:
        """Remove a row and keep a tombstone with the revision of the removal."""
        if key not in self._rows:
            return
        self._unindex(key)
        del self._rows[key]
        self._removed[key] = revision
        self._removed.move_to_end(key)
        while len(self._removed) > TOMBSTONE_LIMIT:
            _, oldest_revision = self._removed.popitem(last=False)
            self._min_delta_base = oldest_revision

    def delta_since(self, revision: int) -> TableDelta:
        """Return the changes after a revision.

        The delta is the whole table if the changes since then are not known.
        """
        base = revision
        if revision < self._min_delta_base or revision > self.revision:
            base = 0
        rows = [row.data for row in self._changed_after(base)]
        removed = [
            RemovedRow(key.sheet, key.name, removal_revision)
            for key, removal_revision in self._removed.items()
            if removal_revision > base and base > 0
        ]
        return TableDelta(base, self.revision, self.digest, rows[::-1], removed)

    def install(self, delta: TableDelta) -> bool:
        """Apply a delta; returns False if it is not newer or its base not reached yet.

        Never goes back: a delta to an older or equal revision changes nothing. Raises
        FRAME_INVALID if the resulting digest differs from the delta's; this table must
        not be used any more after that.
        """
        if delta.revision <= self.revision or delta.base_revision > self.revision:
            return False
        if delta.base_revision == 0:
            self._clear()
            # A whole table does not say which rows were removed earlier, so a follower
            # behind this revision needs the whole table from here too.
            self._min_delta_base = delta.revision
        for removed in delta.removed:
            self.remove(RowKey(removed.sheet, removed.name), removed.revision)
        for row_data in delta.rows:
            self.put(parse_row(row_data))
        self.revision = delta.revision
        if self.digest != delta.digest:
            raise CinderwayError(
                ErrorCode.FRAME_INVALID,
                f"the table at revision {delta.revision} has digest {self.digest:x}, "
                f"expected {delta.digest:x}",
                step=Step.RECEIVE,
            )
        return True

    def _changed_after(self, revision: int) -> Iterator[Row]:
        for row in reversed(self._rows.values()):
            if row.data.changed_revision <= revision:
                return
            yield row

    def _clear(self) -> None:
        revision = self.revision
        self.__init__()
        self.revision = revision

    def _index(self, typed: ServiceRow | ServerRow) -> None:
        sheet = Sheet.SERVICES if isinstance(typed, ServiceRow) else Sheet.SERVERS
        for text in unique_values(typed):
            self._owners[sheet, text] = typed.name
        match typed:
            case ServiceRow():
                self._services[typed.name] = typed
            case ServerRow():
                self._servers_of.setdefault(typed.service, {})[typed.name] = typed

    def _unindex(self, key: RowKey) -> None:
        row = self._rows.get(key)
        if row is None:
            return
        self.digest ^= _compute_row_digest(row.data)
        for text in unique_values(row.typed):
            # If one edit moved the value to another row, that row may already own it.
            if self._owners.get((key.sheet, text)) == key.name:
                del self._owners[key.sheet, text]
        match row.typed:
            case ServiceRow():
                del self._services[key.name]
            case ServerRow(service=service):
                self._servers_of[service].pop(key.name, None)


def unique_values(typed: ServiceRow | ServerRow) -> frozenset[str]:
    """Return the values of a row that no other row of its sheet may have."""
    match typed:
        case ServiceRow(routes=routes):
            return routes
        case ServerRow(address=address):
            return frozenset({address})


def _compute_row_digest(data: RowData) -> int:
    parts = [data.sheet.value, data.name, str(data.created_revision)]
    for cell in sorted(data.cells, key=lambda cell: cell.column):
        parts += [cell.column, cell.value, str(cell.revision)]
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())
