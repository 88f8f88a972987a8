"""The settings file: a TOML file with settings by name."""

import dataclasses
import tomllib
from pathlib import Path
from typing import Any

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._settings._declaration import parse_setting, settings_of


def with_settings_file(given: dict[str, str | None]) -> dict[str, str | None]:
    """Add the values from the settings file, if `given` names one.

    Flags and environment variables take precedence over the file. Raises CinderwayError
    with SETTING_INVALID if the file cannot be read or is not valid TOML.
    """
    path = given.get("settings_file")
    if not path:
        return given
    texts = read_settings_file(Path(path))
    return {name: text or texts.get(name) for name, text in given.items()}


def read_settings_file(path: Path) -> dict[str, str]:
    """Return the values in a settings file as texts; list items joined by commas.

    Raises CinderwayError with SETTING_INVALID if the file cannot be read or is not
    valid TOML.
    """
    try:
        content = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise CinderwayError(
            ErrorCode.SETTING_INVALID,
            f"cannot read the settings file {path}: {error}",
            step=Step.START,
        ) from error
    return {name: _format_value(value) for name, value in content.items()}


def changed_settings(settings: Any, texts: dict[str, str]) -> Any:
    """Return a copy of the settings with the values from a changed file.

    Raises CinderwayError with SETTING_INVALID if one of the values is invalid.
    """
    values = {}
    for name, declared in settings_of(type(settings)).items():
        if name in texts:
            values[name] = parse_setting(name, declared, texts[name])
    return dataclasses.replace(settings, **values)


def _format_value(value: Any) -> str:
    match value:
        case bool():
            return str(value).lower()
        case list():
            return ",".join(_format_value(part) for part in value)
        case _:
            return str(value)
