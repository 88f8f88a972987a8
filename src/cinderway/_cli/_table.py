"""`cinderway table`: show, set, import, export, columns, status, remove-replica."""

import getpass
import sys
import uuid
from pathlib import Path
from typing import Annotated

import anyio
import typer

from cinderway._cli._operator import OPERATOR_NAME, call_control
from cinderway._cli._options import with_settings
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import EditId
from cinderway._launch import EXIT_FAILED
from cinderway._settings import OperatorSettings
from cinderway.table import (
    COLUMNS,
    TABLE,
    Action,
    Change,
    Edit,
    EditAnswer,
    EditOutcome,
    ReadStatus,
    ReadTable,
    RemoveReplica,
    RowKey,
    Sheet,
    StatusAnswer,
    SubmitEdit,
    Table,
    TableAnswer,
    allowed_values,
    changes_from_csv,
    export_csv,
    format_cell,
    parse_cell,
)
from cinderway.wire import Identity, call_once

STATUS_TIMEOUT_S = 3.0

table = typer.Typer(help="Read and edit the table.", no_args_is_help=True)

SheetArgument = Annotated[Sheet, typer.Argument(help="Which sheet.")]
EditIdOption = Annotated[
    str | None,
    typer.Option(
        "--edit-id", help="Id of an edit whose answer was lost, to send it again."
    ),
]


@table.command()
@with_settings(OperatorSettings)
def show(settings: OperatorSettings, sheet: SheetArgument) -> None:
    """Print a sheet, with the revision of each cell that was set."""
    _, current = _read_table(settings)
    print(f"revision {current.revision}")
    for row in current.rows(sheet):
        print(row.data.name)
        for name in COLUMNS[sheet]:
            text = format_cell(getattr(row.typed, name))
            is_set = any(cell.column == name for cell in row.data.cells)
            origin = f"revision {row.cell_revision(name)}" if is_set else "default"
            print(f"  {name:22} {text:30} {origin}")


@table.command("set")
@with_settings(OperatorSettings)
def set_cell(
    settings: OperatorSettings,
    sheet: SheetArgument,
    row: Annotated[str, typer.Argument(help="The row's name.")],
    column: Annotated[str, typer.Argument(help="The column's name.")],
    value: Annotated[str, typer.Argument(help="The new value.")],
    seen_revision: Annotated[
        int | None,
        typer.Option(
            help="The cell's revision that you saw; by default, the newest one."
        ),
    ] = None,
    edit_id: EditIdOption = None,
    seen_sequence: Annotated[
        int | None, typer.Option(help="With --edit-id: as printed the first time.")
    ] = None,
) -> None:
    """Set one cell. Refused if the cell was changed after the revision that you saw."""
    declared = COLUMNS[sheet].get(column)
    if declared is None:
        raise CinderwayError(
            ErrorCode.CELL_INVALID,
            f"no column {column!r}; the columns are " + ", ".join(COLUMNS[sheet]),
            step=Step.CHECK_EDIT,
        )
    text = format_cell(parse_cell(declared, value))
    answer, current = _read_table(settings)
    current_row = current.get(RowKey(sheet, row))
    if seen_revision is None:
        seen_revision = current_row.cell_revision(column) if current_row else 0
    change = Change(Action.SET, sheet, row, column, text, seen_revision)
    sequence = answer.sequence if seen_sequence is None else seen_sequence
    _submit(settings, sequence, [change], edit_id)


@table.command("import")
@with_settings(OperatorSettings)
def import_csv(
    settings: OperatorSettings,
    services: Annotated[Path | None, typer.Option(help="CSV of services.")] = None,
    servers: Annotated[Path | None, typer.Option(help="CSV of servers.")] = None,
) -> None:
    """Change the table to match CSV files, in one edit: all changes or none."""
    answer, current = _read_table(settings)
    changes: list[Change] = []
    for sheet, path in ((Sheet.SERVICES, services), (Sheet.SERVERS, servers)):
        if path is not None:
            changes += changes_from_csv(current, sheet, _read_text(path))
    if not changes:
        print(f"no changes to revision {current.revision}")
        return
    _submit(settings, answer.sequence, changes, None)


@table.command("export")
@with_settings(OperatorSettings)
def export(settings: OperatorSettings, sheet: SheetArgument) -> None:
    """Print a sheet as CSV."""
    _, current = _read_table(settings)
    print(export_csv(current, sheet), end="")


@table.command()
def columns(sheet: SheetArgument) -> None:
    """Print the columns of a sheet with their allowed values and defaults."""
    for name, declared in COLUMNS[sheet].items():
        default = "required" if declared.is_required else format_cell(declared.default)
        print(f"{name}\n  {declared.help}")
        print(f"  allowed: {allowed_values(declared.kind)}; default: {default}")


@table.command()
@with_settings(OperatorSettings)
def status(settings: OperatorSettings) -> None:
    """Print the control group and the entries, as each control replica sees them."""
    identity = Identity(OPERATOR_NAME, settings.shared_key)
    answers: dict[str, StatusAnswer] = {}
    for address in settings.control:
        try:
            answers[address] = anyio.run(
                call_once, address, TABLE, identity, ReadStatus(), STATUS_TIMEOUT_S
            )
        except CinderwayError as error:
            print(f"control {address}: {error}")
    for address, answer in answers.items():
        _print_replica(address, answer)
    current = [answer for answer in answers.values() if answer.is_current]
    for replica in current[0].replicas if current else ():
        if replica.is_silent:
            print(f"CUT OFF: replica {replica.replica_id:x} at {replica.address}")
    _print_entries(list(answers.values()))
    if not current:
        print("no replica is confirmed by a quorum: edits are refused for now")
        raise typer.Exit(EXIT_FAILED)


@table.command()
@with_settings(OperatorSettings)
def remove_replica(
    settings: OperatorSettings,
    replica_id: Annotated[
        str, typer.Argument(help="The replica's id, as status prints it.")
    ],
) -> None:
    """Remove a control replica that will not come back from the group."""
    call_control(settings, RemoveReplica(int(replica_id, 16)))
    print("the removal has started; see `cinderway table status`")


def _print_replica(address: str, answer: StatusAnswer) -> None:
    confirmed = "confirmed by a quorum" if answer.is_current else "not confirmed"
    print(
        f"control {address}: {answer.role}, term {answer.term}, "
        f"revision {answer.revision}, {confirmed}"
    )
    if not answer.is_current:
        return
    for replica in answer.replicas:
        role = "voter" if replica.is_voter else "learner, not repaired yet"
        state = "silent" if replica.is_silent else "heard"
        print(
            f"  replica {replica.replica_id:x} at {replica.address}: {role}, {state}, "
            f"log up to {replica.match_index} of {answer.commit_index}"
        )


def _print_entries(answers: list[StatusAnswer]) -> None:
    newest_by_name = {}
    for answer in answers:
        for entry in answer.entries:
            known = newest_by_name.get(entry.name)
            if known is None or entry.heard_ago_ms < known.heard_ago_ms:
                newest_by_name[entry.name] = entry
    for name, entry in sorted(newest_by_name.items()):
        print(
            f"entry {name} in {entry.data_hall}: {entry.state}, "
            f"revision {entry.revision}, last heard from {entry.heard_ago_ms} ms ago"
        )


def _read_table(settings: OperatorSettings) -> tuple[TableAnswer, Table]:
    answer = call_control(settings, ReadTable())
    current = Table()
    current.install(answer.delta)
    return answer, current


def _read_text(path: Path) -> str:
    try:
        return path.read_text()
    except OSError as error:
        raise CinderwayError(
            ErrorCode.CSV_INVALID, f"{path}: {error.strerror}", step=Step.READ_CSV
        ) from error


def _submit(
    settings: OperatorSettings,
    sequence: int,
    changes: list[Change],
    edit_id: str | None,
) -> None:
    operator = getpass.getuser()
    edit = Edit(EditId(edit_id or str(uuid.uuid4())), operator, sequence, changes)
    resend_options = f"--edit-id {edit.edit_id} --seen-sequence {sequence}"
    try:
        answer: EditAnswer = call_control(settings, SubmitEdit(edit))
    except CinderwayError as error:
        print(f"no answer; resend with {resend_options}", file=sys.stderr)
        raise error
    if answer.verdict is EditOutcome.ACCEPTED:
        print(f"accepted at revision {answer.revision}")
        return
    print(f"refused: [{answer.code}] {answer.detail}", file=sys.stderr)
    if answer.winner_value:
        print(f"the winner's value: {answer.winner_value}", file=sys.stderr)
    raise typer.Exit(EXIT_FAILED)
