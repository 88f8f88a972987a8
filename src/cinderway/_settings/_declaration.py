"""How a settings field is declared and parsed.

A declaration holds the parser, the help text and the default of one field; the names
of its flag and its environment variable are derived from the field's name.
"""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cinderway._errors import CinderwayError, ErrorCode, Step

ENVIRONMENT_PREFIX = "CINDERWAY_"
# The default of a setting that has to be given.
REQUIRED = object()


@dataclass(frozen=True)
class Setting:
    """How a setting is read: `parse` returns its value or raises ValueError."""

    parse: Callable[[str], Any]
    allowed: str
    help: str
    default: Any = REQUIRED


def setting(
    parse: Callable[[str], Any], allowed: str, help: str, default: Any = REQUIRED
) -> Any:
    """Declare a settings field; the default is given as text."""
    return dataclasses.field(
        metadata={"setting": Setting(parse, allowed, help, default)}
    )


def settings_of(kind: type) -> dict[str, Setting]:
    """Return a settings class's declarations by field name."""
    return {f.name: f.metadata["setting"] for f in dataclasses.fields(kind)}


def flag_of(name: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def environment_variable_of(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def parse_settings(kind: type, given: dict[str, str | None]) -> Any:
    """Return the checked settings object.

    Raises CinderwayError with SETTING_INVALID, saying what was given and allowed.
    """
    values = {}
    for name, declared in settings_of(kind).items():
        text = given.get(name)
        if text is None:
            text = declared.default
        if text is REQUIRED:
            raise _invalid(name, "nothing", declared.allowed)
        values[name] = parse_setting(name, declared, text)
    return kind(**values)


def parse_setting(name: str, declared: Setting, text: str) -> Any:
    """Return one setting's value; raises CinderwayError with SETTING_INVALID.

    The text of a key is not shown in the error.
    """
    try:
        return declared.parse(text)
    except (ValueError, KeyError):
        shown = "a value" if "key" in name else repr(text)
        raise _invalid(name, shown, declared.allowed) from None


def _invalid(name: str, given: str, allowed: str) -> CinderwayError:
    return CinderwayError(
        ErrorCode.SETTING_INVALID,
        f"{flag_of(name)} ({environment_variable_of(name)}): "
        f"given {given}; allowed: {allowed}",
        step=Step.START,
    )
