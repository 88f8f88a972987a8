"""The table of services and backend servers: columns, rules, edits, replication."""

from cinderway.table._columns import Column, allowed_values, format_cell, parse_cell
from cinderway.table._conversation import (
    TABLE,
    EntryReport,
    EntryStatus,
    FollowTable,
    HeardReport,
    ReadStatus,
    ReadTable,
    RemoveReplica,
    ReplicaStatus,
    StatusAnswer,
    SubmitEdit,
    TableAnswer,
)
from cinderway.table._csv import changes_from_csv, export_csv
from cinderway.table._edits import Action, Change, Edit, EditAnswer, EditOutcome
from cinderway.table._machine import TableMachine, build_initial_snapshot
from cinderway.table._rows import (
    COLUMNS,
    TABLE_LEVEL,
    AnswerMode,
    Bias,
    ServerRow,
    ServerState,
    ServiceRow,
    Sheet,
)
from cinderway.table._table import RowKey, Table, TableDelta

__all__ = [
    "COLUMNS",
    "TABLE",
    "TABLE_LEVEL",
    "Action",
    "AnswerMode",
    "Bias",
    "Change",
    "Column",
    "Edit",
    "EditAnswer",
    "EntryReport",
    "EntryStatus",
    "FollowTable",
    "HeardReport",
    "ReadStatus",
    "ReadTable",
    "RemoveReplica",
    "ReplicaStatus",
    "RowKey",
    "ServerRow",
    "ServerState",
    "ServiceRow",
    "Sheet",
    "StatusAnswer",
    "SubmitEdit",
    "Table",
    "TableAnswer",
    "TableDelta",
    "TableMachine",
    "EditOutcome",
    "allowed_values",
    "changes_from_csv",
    "export_csv",
    "format_cell",
    "build_initial_snapshot",
    "parse_cell",
]
