"""The table as CSV: one file per sheet, one line per row."""

import csv
import io
from typing import Any

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.table._columns import Column, format_cell, parse_cell
from cinderway.table._edits import Action, Change
from cinderway.table._rows import COLUMNS, Sheet
from cinderway.table._table import Row, RowKey, Table

NAME_COLUMN = "name"


def export_csv(table: Table, sheet: Sheet) -> str:
    """Return a sheet as CSV with every column, defaults included."""
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow([NAME_COLUMN, *COLUMNS[sheet]])
    for row in table.rows(sheet):
        values = [format_cell(getattr(row.typed, name)) for name in COLUMNS[sheet]]
        writer.writerow([row.data.name, *values])
    return text.getvalue()


def changes_from_csv(table: Table, sheet: Sheet, text: str) -> list[Change]:
    """Return the changes that turn a sheet of the table into the sheet given as CSV.

    Columns missing from the CSV keep their values, and an empty cell stands for the
    default; rows missing from the CSV are removed. Raises CSV_INVALID, naming the line
    and the column.
    """
    reader = csv.reader(io.StringIO(text))
    header = _check_header(sheet, next(reader, []))
    changes: list[Change] = []
    seen_names: set[str] = set()
    for values in reader:
        if not values:
            continue
        if len(values) != len(header):
            raise _csv_error(
                reader.line_num, f"{len(values)} values for {len(header)} columns"
            )
        cells = dict(zip(header, values, strict=True))
        name = cells.pop(NAME_COLUMN)
        if name in seen_names:
            raise _csv_error(reader.line_num, f"{NAME_COLUMN}: {name!r} appears twice")
        seen_names.add(name)
        changes += _row_changes(table, sheet, name, cells, reader.line_num)
    changes += _removals(table, sheet, seen_names)
    return changes


def _check_header(sheet: Sheet, header: list[str]) -> list[str]:
    unknown = [name for name in header if name not in (NAME_COLUMN, *COLUMNS[sheet])]
    if NAME_COLUMN not in header or unknown or len(set(header)) != len(header):
        raise _csv_error(
            1,
            f"header {header}; allowed: {NAME_COLUMN} and any of "
            + ", ".join(COLUMNS[sheet]),
        )
    return header


def _row_changes(
    table: Table, sheet: Sheet, name: str, cells: dict[str, str], line: int
) -> list[Change]:
    before = table.get(RowKey(sheet, name))
    changes = []
    if before is None:
        changes.append(Change(Action.CREATE, sheet, name))
    for column_name, text in cells.items():
        declared = COLUMNS[sheet][column_name]
        try:
            value = _parse_cell_or_default(declared, text)
        except CinderwayError as error:
            raise _csv_error(line, error.detail) from error
        current = getattr(before.typed, column_name) if before else declared.default
        if value == current and not (before is None and declared.is_required):
            continue
        changes.append(
            Change(
                Action.SET,
                sheet,
                name,
                column_name,
                format_cell(value),
                _seen_revision(before, column_name),
            )
        )
    return changes


def _parse_cell_or_default(declared: Column, text: str) -> Any:
    # An empty cell means the default, as users of spreadsheets expect.
    if not text.strip() and not declared.is_required:
        return declared.default
    return parse_cell(declared, text)


def _seen_revision(before: Row | None, column_name: str) -> int:
    return before.cell_revision(column_name) if before else 0


def _removals(table: Table, sheet: Sheet, kept: set[str]) -> list[Change]:
    return [
        Change(
            Action.REMOVE,
            sheet,
            row.data.name,
            seen_revision=row.data.changed_revision,
        )
        for row in table.rows(sheet)
        if row.data.name not in kept
    ]


def _csv_error(line: int, detail: str) -> CinderwayError:
    return CinderwayError(
        ErrorCode.CSV_INVALID, f"line {line}: {detail}", step=Step.READ_CSV
    )
