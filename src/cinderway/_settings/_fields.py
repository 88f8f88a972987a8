"""Declarations of fields that several settings classes share."""

from typing import Any

from cinderway._settings._declaration import REQUIRED, setting
from cinderway._settings._parsers import (
    SHARED_KEY_MIN_CHARACTERS,
    one_of,
    parse_address,
    parse_header,
    parse_key,
    parse_nonempty_addresses,
)

ADDRESS_FORM = "IP-number:port, port 0 to 65535"
NAME_FORM = "1 to 63 of A-Z a-z 0-9 . _ -"


def listen_field(default: Any = REQUIRED) -> Any:
    """Declare the address for messages from other processes and operators."""
    return setting(
        parse_address,
        ADDRESS_FORM,
        "Address at which other cinderway processes and operators reach this one.",
        default,
    )


def operators_listen_field() -> Any:
    """Declare the address of the operators' port."""
    return setting(
        parse_address,
        ADDRESS_FORM,
        "Address at which /metrics, /healthz and /readyz are served.",
        "127.0.0.1:0",
    )


def shared_key_field() -> Any:
    """Declare the key with which processes of the fleet authenticate."""
    return setting(
        parse_key,
        f"at least {SHARED_KEY_MIN_CHARACTERS} characters",
        "Key that all processes of the fleet and its operators share.",
    )


def log_format_field() -> Any:
    """Declare the format of log lines."""
    return setting(
        one_of("human", "json"),
        "human | json",
        "Format of log lines.",
        "human",
    )


def log_level_field() -> Any:
    """Declare the minimum level of log lines."""
    return setting(
        one_of("debug", "info", "warning", "error"),
        "debug | info | warning | error",
        "Minimum level of the log lines to write.",
        "info",
    )


def settings_file_field() -> Any:
    """Declare the path of the settings file."""
    return setting(
        str,
        "a TOML file's path, or nothing",
        "File with more settings by name, which is reloaded when it changes.",
        "",
    )


def seeds_field() -> Any:
    """Declare the replicas through which a process finds the control group."""
    return setting(
        parse_nonempty_addresses,
        f"comma-separated {ADDRESS_FORM}, at least one",
        "HTTP addresses of some catalog control replicas, in the same order "
        "everywhere.",
    )


def header_field(help: str, default: str) -> Any:
    """Declare a setting for the name of a header."""
    return setting(parse_header, "a header's name, or nothing", help, default)
