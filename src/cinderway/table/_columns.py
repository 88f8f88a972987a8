"""Column declarations: type, unit, range, default and help text in one place."""

import dataclasses
import re
from dataclasses import dataclass
from enum import Enum
from typing import Any

from cinderway._errors import CinderwayError, ErrorCode, Step

COLUMN_KEY = "column"


@dataclass(frozen=True)
class Integer:
    """An integer within a range, with a unit."""

    minimum: int
    maximum: int
    unit: str


@dataclass(frozen=True)
class Decimal:
    """A decimal number within a range, with a unit."""

    minimum: float
    maximum: float
    unit: str


@dataclass(frozen=True)
class Choice:
    """One of the values of an enumeration."""

    options: type[Enum]


@dataclass(frozen=True)
class Flag:
    """`yes` or `no`."""


@dataclass(frozen=True)
class Text:
    """Text that matches a pattern; `description` states in words what is allowed."""

    pattern: str
    description: str


@dataclass(frozen=True)
class TextSet:
    """A set of texts separated by whitespace, each matching a pattern."""

    pattern: str
    description: str


Kind = Integer | Decimal | Choice | Flag | Text | TextSet


@dataclass(frozen=True)
class Column:
    """A declared column; `level` is the table level (format) that introduced it."""

    kind: Kind
    help: str
    level: int = 1
    name: str = ""
    default: Any = None
    is_required: bool = False


def column(kind: Kind, *, help: str, level: int = 1, **default) -> Any:
    """Declare a dataclass field that is a column of the table."""
    declared = Column(kind, help, level)
    return dataclasses.field(metadata={COLUMN_KEY: declared}, **default)


def get_columns(row_type: type) -> dict[str, Column]:
    """Return the columns declared by a row type, by name."""
    columns = {}
    for field in dataclasses.fields(row_type):
        declared = field.metadata.get(COLUMN_KEY)
        if declared is None:
            continue
        is_required = field.default is dataclasses.MISSING
        columns[field.name] = dataclasses.replace(
            declared,
            name=field.name,
            default=None if is_required else field.default,
            is_required=is_required,
        )
    return columns


def allowed_values(kind: Kind) -> str:
    """Describe in words which values a column accepts."""
    match kind:
        case Integer(minimum, maximum, unit) | Decimal(minimum, maximum, unit):
            return f"{minimum} to {maximum} {unit}"
        case Choice(options):
            return " | ".join(option.value for option in options)
        case Flag():
            return "yes | no"
        case Text(description=description):
            return description
        case TextSet(description=description):
            return f"any number of: {description}"


def parse_cell(declared: Column, text: str) -> Any:
    """Return the typed value of a cell's text.

    Raises CinderwayError with CELL_INVALID; its detail names the given text and the
    allowed values.
    """
    value = _parse(declared.kind, text.strip())
    if value is None:
        raise CinderwayError(
            ErrorCode.CELL_INVALID,
            f"{declared.name}: given {text!r}; "
            f"allowed: {allowed_values(declared.kind)}",
            step=Step.CHECK_EDIT,
        )
    return value


def format_cell(value: Any) -> str:
    """Return the canonical text of a typed value."""
    match value:
        case bool():
            return "yes" if value else "no"
        case Enum():
            return value.value
        case frozenset():
            return " ".join(sorted(value))
        case _:
            return str(value)


def _parse(kind: Kind, text: str) -> Any:
    match kind:
        case Integer(minimum, maximum):
            if not re.fullmatch(r"-?[0-9]{1,15}", text):
                return None
            return int(text) if minimum <= int(text) <= maximum else None
        case Decimal(minimum, maximum):
            if not re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", text):
                return None
            return float(text) if minimum <= float(text) <= maximum else None
        case Choice(options):
            return next((o for o in options if o.value == text), None)
        case Flag():
            return {"yes": True, "no": False}.get(text)
        case Text(pattern):
            return text if re.fullmatch(pattern, text) else None
        case TextSet(pattern):
            parts = text.split()
            if all(re.fullmatch(pattern, part) for part in parts):
                return frozenset(parts)
            return None
