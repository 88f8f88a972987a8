"""Declaration and parsing of settings fields.

A declaration holds the parser, the help text and the default of one field; the names
of its flag and its environment variable are derived from the field's name.
"""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cinderway._errors import CinderwayError, ErrorCode, Step

ENVIRONMENT_PREFIX = "CINDERWAY_"
# Marks a setting without a default.
REQUIRED = object()


@dataclass(frozen=True)
class Setting:
    """The declaration of one setting.

    `parse` returns the value of a text or raises ValueError; `allowed` describes the
    valid texts in help and error messages.
    """

    parse: Callable[[str], Any]
    allowed: str
    help: str
    default: Any = REQUIRED


def setting(
    parse: Callable[[str], Any], allowed: str, help: str, default: Any = REQUIRED
) -> Any:
    """Declare a settings field; `default` is a text that `parse` accepts."""
    return dataclasses.field(
        metadata={"setting": Setting(parse, allowed, help, default)}
    )


def settings_of(settings_class: type) -> dict[str, Setting]:
    """Return the declarations of a settings class by field name."""
    return {f.name: f.metadata["setting"] for f in dataclasses.fields(settings_class)}


def get_flag(name: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def environment_variable_of(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def parse_settings(settings_class: type, given: dict[str, str | None]) -> Any:
    """Parse the texts of all settings and return the settings object.

    Raises CinderwayError with SETTING_INVALID if a setting is invalid or missing; the
    message names the given text and the allowed ones.
    """
    values = {}
    for name, declared in settings_of(settings_class).items():
        text = given.get(name)
        if text is None:
            text = declared.default
        if text is REQUIRED:
            raise _build_invalid_error(name, "nothing", declared.allowed)
        values[name] = parse_setting(name, declared, text)
    return settings_class(**values)


def parse_setting(name: str, declared: Setting, text: str) -> Any:
    """Parse the text of one setting and return its value.

    Raises CinderwayError with SETTING_INVALID; the message does not show the
    text of a key.
    """
    try:
        return declared.parse(text)
    except (ValueError, KeyError):
        shown = "a value" if "key" in name else repr(text)
        raise _build_invalid_error(name, shown, declared.allowed) from None


def _build_invalid_error(name: str, given: str, allowed: str) -> CinderwayError:
    return CinderwayError(
        ErrorCode.SETTING_INVALID,
        f"{get_flag(name)} ({environment_variable_of(name)}): "
        f"given {given}; allowed: {allowed}",
        step=Step.START,
    )
