"""Settings of the roles that use the service table, and of operators' commands."""

from dataclasses import dataclass
from pathlib import Path

from cinderway._ids import Address, DataHall, EntryName
from cinderway._settings._declaration import setting
from cinderway._settings._fields import (
    ADDRESS_FORM,
    NAME_FORM,
    listen_field,
    log_format_field,
    log_level_field,
    operators_listen_field,
    shared_key_field,
)
from cinderway._settings._parsers import (
    integer_parser,
    parse_address,
    parse_addresses,
    parse_groups,
    parse_name,
    parse_url,
)


@dataclass(frozen=True, kw_only=True)
class ReplicaSettings:
    """Settings of a control or ledger replica."""

    listen: Address = listen_field()
    peers: tuple[Address, ...] = setting(
        parse_addresses,
        f"comma-separated {ADDRESS_FORM}",
        "All replicas of the group.",
    )
    data_folder: Path = setting(
        Path, "a folder's path", "Folder for the replica's state."
    )
    shared_key: bytes = shared_key_field()
    operators_listen: Address = operators_listen_field()
    compact_at_kib: int = setting(
        integer_parser(64, 1_048_576),
        "64 to 1048576 KiB",
        "Size of the log at which a snapshot replaces it.",
        "4096",
    )
    log_format: str = log_format_field()
    log_level: str = log_level_field()


@dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of an entry that routes requests by the service table."""

    name: EntryName = setting(parse_name, NAME_FORM, "Name of this entry in the fleet.")
    data_hall: DataHall = setting(
        parse_name, NAME_FORM, "Data hall in which the process runs."
    )
    listen: Address = listen_field()
    callers_listen: Address = setting(
        parse_address, ADDRESS_FORM, "Address for callers' HTTP requests."
    )
    control: tuple[Address, ...] = setting(
        parse_addresses, f"comma-separated {ADDRESS_FORM}", "All control replicas."
    )
    ledger: tuple[tuple[Address, ...], ...] = setting(
        parse_groups,
        "ledger groups separated by ;, each comma-separated IP-number:port",
        "All ledger replicas; the value must be the same on every entry.",
        "",
    )
    peers: tuple[Address, ...] = setting(
        parse_addresses,
        f"comma-separated {ADDRESS_FORM}",
        "Some other entries, to join the fleet while no control replica is reachable.",
        "",
    )
    shared_key: bytes = shared_key_field()
    operators_listen: Address = operators_listen_field()
    platform_list: str = setting(
        parse_url,
        "http://IP-number:port/path, or nothing",
        "URL of the platform's list of live and leaving instances.",
        "",
    )
    caller_header: str = setting(
        parse_name,
        "a header's name",
        "Request header with the caller's name; without it, the IP number is used.",
        "X-Caller",
    )
    drain_ms: int = setting(
        integer_parser(0, 600_000),
        "0 to 600000 ms",
        "How long a stopping entry still accepts connections, as the load balancer "
        "removes it with a delay.",
        "5000",
    )
    body_limit_kib: int = setting(
        integer_parser(1, 1_048_576),
        "1 to 1048576 KiB",
        "Largest request body that is accepted.",
        "1024",
    )
    answer_limit_kib: int = setting(
        integer_parser(1, 1_048_576),
        "1 to 1048576 KiB",
        "Largest response that is buffered; larger ones need a streaming service.",
        "4096",
    )
    log_format: str = log_format_field()
    log_level: str = log_level_field()


@dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of the operators' commands."""

    control: tuple[Address, ...] = setting(
        parse_addresses, f"comma-separated {ADDRESS_FORM}", "All control replicas.", ""
    )
    ledger: tuple[tuple[Address, ...], ...] = setting(
        parse_groups,
        "ledger groups separated by ;, each comma-separated IP-number:port",
        "All ledger replicas.",
        "",
    )
    shared_key: bytes = shared_key_field()
