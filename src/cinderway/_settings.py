"""Settings: one immutable, checked object a role, from flags and environment.

Each field is declared once; its flag, its environment variable, its help and its
check all come from that declaration.
"""

import dataclasses
import re
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, DataHall, EntryName
from cinderway.table import Bias

ENVIRONMENT_PREFIX = "CINDERWAY_"
SHARED_KEY_MIN_CHARACTERS = 16
ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
URL = re.compile(r"http://[0-9a-fA-F.:\[\]]+(/\S*)?")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
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
        values[name] = _parsed(name, declared, text)
    return kind(**values)


def _parsed(name: str, declared: Setting, text: str) -> Any:
    try:
        return declared.parse(text)
    except (ValueError, KeyError):
        shown = "a value" if "key" in name else repr(text)
        raise _invalid(name, shown, declared.allowed) from None


def with_settings_file(given: dict[str, str | None]) -> dict[str, str | None]:
    """Return the texts given, completed from the settings file that they name.

    Flags and environment variables go before the file. Raises CinderwayError with
    SETTING_INVALID when the file cannot be read as TOML.
    """
    path = given.get("settings_file")
    if not path:
        return given
    texts = read_settings_file(Path(path))
    return {name: text or texts.get(name) for name, text in given.items()}


def read_settings_file(path: Path) -> dict[str, str]:
    """Return a settings file's values as texts; a list's parts joined by commas."""
    try:
        content = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise CinderwayError(
            ErrorCode.SETTING_INVALID,
            f"the settings file {path} cannot be read: {error}",
            step=Step.START,
        ) from error
    return {name: _text_of(value) for name, value in content.items()}


def changed_settings(settings: Any, texts: dict[str, str]) -> Any:
    """Return the settings with the values that a changed file gives.

    Raises CinderwayError with SETTING_INVALID and changes nothing if one is wrong.
    """
    values = {}
    for name, declared in settings_of(type(settings)).items():
        if name in texts:
            values[name] = _parsed(name, declared, texts[name])
    return dataclasses.replace(settings, **values)


def _text_of(value: Any) -> str:
    match value:
        case bool():
            return str(value).lower()
        case list():
            return ",".join(_text_of(part) for part in value)
        case _:
            return str(value)


def _invalid(name: str, given: str, allowed: str) -> CinderwayError:
    return CinderwayError(
        ErrorCode.SETTING_INVALID,
        f"{flag_of(name)} ({environment_variable_of(name)}): "
        f"given {given}; allowed: {allowed}",
        step=Step.START,
    )


def _parse_address(text: str) -> Address:
    match = ADDRESS.fullmatch(text)
    if match is None or int(match[2]) > 65535:
        raise ValueError(text)
    return Address(text)


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(_parse_address(part) for part in text.split(",") if part)


def _parse_groups(text: str) -> tuple[tuple[Address, ...], ...]:
    return tuple(_parse_addresses(group) for group in text.split(";") if group)


def _parse_url(text: str) -> str:
    if text and not URL.fullmatch(text):
        raise ValueError(text)
    return text


def _parse_name(text: str) -> str:
    if not NAME.fullmatch(text):
        raise ValueError(text)
    return text


def _parse_key(text: str) -> bytes:
    if len(text) < SHARED_KEY_MIN_CHARACTERS:
        raise ValueError(text)
    return text.encode()


def _integer(minimum: int, maximum: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse


def _one_of(*options: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in options:
            raise ValueError(text)
        return text

    return parse


ADDRESS_FORM = "IP-number:port, port 0 to 65535"


def _listen(default: Any = REQUIRED) -> Any:
    return setting(
        _parse_address,
        ADDRESS_FORM,
        "Where other cinderway processes and operators reach this one.",
        default,
    )


def _operators() -> Any:
    return setting(
        _parse_address,
        ADDRESS_FORM,
        "Where /metrics, /healthz and /readyz are served.",
        "127.0.0.1:0",
    )


def _shared_key() -> Any:
    return setting(
        _parse_key,
        f"at least {SHARED_KEY_MIN_CHARACTERS} characters",
        "Key that all processes of the fleet and its operators share.",
    )


def _log_format() -> Any:
    return setting(
        _one_of("human", "json"), "human | json", "Form of the log lines.", "human"
    )


def _log_level() -> Any:
    return setting(
        _one_of("debug", "info", "warning", "error"),
        "debug | info | warning | error",
        "Least severe log lines to write.",
        "info",
    )


@dataclass(frozen=True, kw_only=True)
class ReplicaSettings:
    """Settings of a control or ledger replica."""

    listen: Address = _listen()
    peers: tuple[Address, ...] = setting(
        _parse_addresses,
        f"comma-separated {ADDRESS_FORM}",
        "All replicas of the group.",
    )
    data_folder: Path = setting(Path, "a folder's path", "Where state is kept.")
    shared_key: bytes = _shared_key()
    operators_listen: Address = _operators()
    compact_at_kib: int = setting(
        _integer(64, 1_048_576),
        "64 to 1048576 KiB",
        "Size of the log at which it is replaced by a snapshot.",
        "4096",
    )
    log_format: str = _log_format()
    log_level: str = _log_level()


@dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of an entry."""

    name: EntryName = setting(
        _parse_name, "1 to 63 of A-Z a-z 0-9 . _ -", "Name of this entry in the fleet."
    )
    data_hall: DataHall = setting(
        _parse_name, "1 to 63 of A-Z a-z 0-9 . _ -", "Data hall that it stands in."
    )
    listen: Address = _listen()
    callers_listen: Address = setting(
        _parse_address, ADDRESS_FORM, "Where callers' HTTP requests are taken."
    )
    control: tuple[Address, ...] = setting(
        _parse_addresses, f"comma-separated {ADDRESS_FORM}", "All control replicas."
    )
    ledger: tuple[tuple[Address, ...], ...] = setting(
        _parse_groups,
        "ledger groups separated by ;, each comma-separated IP-number:port",
        "All ledger replicas. The same value on every entry.",
        "",
    )
    peers: tuple[Address, ...] = setting(
        _parse_addresses,
        f"comma-separated {ADDRESS_FORM}",
        "Some other entries, to find the fleet by when control is away.",
        "",
    )
    shared_key: bytes = _shared_key()
    operators_listen: Address = _operators()
    platform_list: str = setting(
        _parse_url,
        "http://IP-number:port/path, or nothing",
        "The platform's list of live and leaving instances.",
        "",
    )
    caller_header: str = setting(
        _parse_name,
        "a header's name",
        "Request header that names the caller; without it the IP number does.",
        "X-Caller",
    )
    drain_ms: int = setting(
        _integer(0, 600_000),
        "0 to 600000 ms",
        "How long a stopping entry goes on accepting while the balancer's list lags.",
        "5000",
    )
    body_limit_kib: int = setting(
        _integer(1, 1_048_576),
        "1 to 1048576 KiB",
        "Largest request body that is taken.",
        "1024",
    )
    answer_limit_kib: int = setting(
        _integer(1, 1_048_576),
        "1 to 1048576 KiB",
        "Largest answer that is held whole; larger ones need a streaming service.",
        "4096",
    )
    log_format: str = _log_format()
    log_level: str = _log_level()


def _settings_file() -> Any:
    return setting(
        str,
        "a TOML file's path, or nothing",
        "File with further settings by name; it may change while the process runs.",
        "",
    )


def _seeds() -> Any:
    return setting(
        _parse_some_addresses,
        f"comma-separated {ADDRESS_FORM}, at least one",
        "HTTP addresses of some catalog control replicas, the same order everywhere.",
    )


def _parse_some_addresses(text: str) -> tuple[Address, ...]:
    addresses = _parse_addresses(text)
    if not addresses:
        raise ValueError(text)
    return addresses


def _parse_flag(text: str) -> bool:
    return {"true": True, "false": False}[_one_of("true", "false")(text.lower())]


def _header(help: str, default: str) -> Any:
    return setting(_parse_header, "a header's name, or nothing", help, default)


def _parse_header(text: str) -> bytes:
    return _parse_name(text).lower().encode() if text else b""


@dataclass(frozen=True, kw_only=True)
class CatalogControlSettings:
    """Settings of a control replica that keeps the service catalog."""

    settings_file: str = _settings_file()
    data_hall: DataHall = setting(
        _parse_name, "1 to 63 of A-Z a-z 0-9 . _ -", "Data hall that it stands in."
    )
    listen: Address = _listen()
    http_listen: Address = setting(
        _parse_address,
        ADDRESS_FORM,
        "Where operators and backend servers make their calls.",
    )
    seeds: tuple[Address, ...] = _seeds()
    is_first_start: bool = setting(
        _parse_flag,
        "true | false",
        "Whether the fleet starts for the first time ever: the first seed founds.",
        "false",
    )
    tolerated_losses: int = setting(
        _integer(0, 7),
        "0 to 7 replicas",
        "Replicas that may lose their disks at once; twice that and one must vote.",
        "1",
    )
    bias: Bias = setting(
        lambda text: Bias(text),
        "detect-soon | balanced | eject-rarely",
        "Which mistake detection should rather make.",
        "balanced",
    )
    floor_percent: int = setting(
        _integer(0, 100),
        "0 to 100 % of slots",
        "Ejection leaves a service at least this share of its slots.",
        "70",
    )
    retry_percent: int = setting(
        _integer(0, 100),
        "0 to 100 % of a service's requests",
        "Second tries and hedges of the entries that follow here, all together.",
        "10",
    )
    retry_burst: float = setting(
        float,
        "a number of requests",
        "Second tries in ten seconds beyond that share, for each such entry.",
        "1",
    )
    data_folder: Path = setting(Path, "a folder's path", "Where state is kept.")
    shared_key: bytes = _shared_key()
    operators_listen: Address = _operators()
    log_format: str = _log_format()
    log_level: str = _log_level()


@dataclass(frozen=True, kw_only=True)
class CatalogEntrySettings:
    """Settings of an entry that serves by the service catalog."""

    settings_file: str = _settings_file()
    name: EntryName = setting(
        _parse_name, "1 to 63 of A-Z a-z 0-9 . _ -", "Name of this entry in the fleet."
    )
    data_hall: DataHall = setting(
        _parse_name, "1 to 63 of A-Z a-z 0-9 . _ -", "Data hall that it stands in."
    )
    callers_listen: Address = setting(
        _parse_address, ADDRESS_FORM, "Where callers' HTTP requests are taken."
    )
    seeds: tuple[Address, ...] = _seeds()
    control_port: int = setting(
        _integer(1, 65_535),
        "1 to 65535",
        "Port at which control replicas talk to the fleet's own processes.",
    )
    shared_key: bytes = _shared_key()
    operators_listen: Address = _operators()
    drain_ms: int = setting(
        _integer(0, 600_000),
        "0 to 600000 ms",
        "How long a stopping entry goes on accepting while the balancer's list lags.",
        "2500",
    )
    stop_limit_ms: int = setting(
        _integer(100, 3_600_000),
        "100 to 3600000 ms",
        "A stopping entry ends by then, whatever still runs.",
        "60000",
    )
    lone_retry_percent: int = setting(
        _integer(0, 100),
        "0 to 100 % of a service's requests",
        "Second tries of this entry while it has no control replica to share with.",
        "5",
    )
    attempt_header: bytes = _header(
        "Header by which callers name a try; answers must carry it back.",
        "cinderway-attempt",
    )
    deadline_header: bytes = _header(
        "Header that carries the milliseconds left.", "cinderway-deadline-ms"
    )
    expected_header: bytes = _header(
        "Header that names the server a request is meant for.", "cinderway-expected"
    )
    not_run_header: bytes = _header(
        "Header by which a server says that it did not run a request.",
        "cinderway-not-run",
    )
    load_header: bytes = _header(
        "Header in which a server tells requests running, waiting and slots.",
        "cinderway-load",
    )
    seal_header: bytes = _header(
        "Header that every successful answer of a server carries, if any.", ""
    )
    log_format: str = _log_format()
    log_level: str = _log_level()


@dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of the operators' commands."""

    control: tuple[Address, ...] = setting(
        _parse_addresses, f"comma-separated {ADDRESS_FORM}", "All control replicas.", ""
    )
    ledger: tuple[tuple[Address, ...], ...] = setting(
        _parse_groups,
        "ledger groups separated by ;, each comma-separated IP-number:port",
        "All ledger replicas.",
        "",
    )
    shared_key: bytes = _shared_key()
