"""Settings of the roles that use the service catalog."""

from dataclasses import dataclass
from pathlib import Path

from cinderway._bias import Bias
from cinderway._ids import Address, DataHall, EntryName
from cinderway._settings._declaration import setting
from cinderway._settings._fields import (
    ADDRESS_FORM,
    NAME_FORM,
    header_field,
    listen_field,
    log_format_field,
    log_level_field,
    operators_listen_field,
    seeds_field,
    settings_file_field,
    shared_key_field,
)
from cinderway._settings._parsers import (
    integer_parser,
    number_parser,
    parse_address,
    parse_boolean,
    parse_name,
    parse_optional_address,
)


@dataclass(frozen=True, kw_only=True)
class CatalogControlSettings:
    """Settings of a control replica that stores the service catalog."""

    settings_file: str = settings_file_field()
    data_hall: DataHall = setting(
        parse_name, NAME_FORM, "Data hall in which the process runs."
    )
    listen: Address = listen_field()
    http_listen: Address = setting(
        parse_address,
        ADDRESS_FORM,
        "Address of the HTTP interface for operators and backend servers.",
    )
    seeds: tuple[Address, ...] = seeds_field()
    is_first_start: bool = setting(
        parse_boolean,
        "true | false",
        "Whether the fleet starts for the first time; the first seed then bootstraps "
        "the group.",
        "false",
    )
    tolerated_losses: int = setting(
        integer_parser(0, 7),
        "0 to 7 replicas",
        "Number of replicas that may lose their disks at the same time; the group has "
        "twice as many voters plus one.",
        "1",
    )
    bias: Bias = setting(
        lambda text: Bias(text),
        "detect-soon | balanced | eject-rarely",
        "Which error failure detection should prefer: false alarms or late detection.",
        "balanced",
    )
    floor_percent: int = setting(
        integer_parser(0, 100),
        "0 to 100 % of slots",
        "Minimum share of a service's slots that ejections leave in use.",
        "70",
    )
    retry_percent: int = setting(
        integer_parser(0, 100),
        "0 to 100 % of a service's requests",
        "Limit on the retries and hedges of all entries that follow this replica, "
        "together.",
        "10",
    )
    retry_burst: float = setting(
        float,
        "a number of requests",
        "Retries in ten seconds beyond --retry-percent, for each such entry.",
        "1",
    )
    allowance_window_s: float = setting(
        number_parser(5.0),
        "a number above 0, or nothing for 5",
        "Window in which client accounts' requests count against rate and burst.",
        "",
    )
    allowance_overshoot_ratio: float = setting(
        number_parser(0.0),
        "a number, 0 or above, or nothing for 0",
        "Tolerated excess over accounts' rate and burst, as a fraction of them.",
        "",
    )
    allowance_slack_requests: float = setting(
        number_parser(0.0),
        "a number, 0 or above, or nothing for 0",
        "Requests in a window that are tolerated in addition to that excess.",
        "",
    )
    allowance_reserve_percent: int = setting(
        integer_parser(0, 90),
        "0 to 90 % of each account's limit",
        "Part of each account's limit that is divided among all entries, which use it "
        "without asking, also while control is unreachable.",
        "30",
    )
    data_folder: Path = setting(
        Path, "a folder's path", "Folder for the replica's state."
    )
    shared_key: bytes = shared_key_field()
    operators_listen: Address = operators_listen_field()
    log_format: str = log_format_field()
    log_level: str = log_level_field()


@dataclass(frozen=True, kw_only=True)
class CatalogEntrySettings:
    """Settings of an entry that routes requests by the service catalog."""

    settings_file: str = settings_file_field()
    name: EntryName = setting(parse_name, NAME_FORM, "Name of this entry in the fleet.")
    data_hall: DataHall = setting(
        parse_name, NAME_FORM, "Data hall in which the process runs."
    )
    callers_listen: Address = setting(
        parse_address, ADDRESS_FORM, "Address for callers' HTTP requests."
    )
    seeds: tuple[Address, ...] = seeds_field()
    control_port: int = setting(
        integer_parser(1, 65_535),
        "1 to 65535",
        "Port at which control replicas accept connections from the fleet's processes.",
    )
    peers_listen: Address = setting(
        parse_optional_address,
        f"{ADDRESS_FORM}, or nothing",
        "Address for other entries: UDP for gossip in the data hall while no control "
        "replica is reachable, TCP for requests that entries relay for each other.",
        "",
    )
    shared_key: bytes = shared_key_field()
    operators_listen: Address = operators_listen_field()
    drain_ms: int = setting(
        integer_parser(0, 600_000),
        "0 to 600000 ms",
        "How long a stopping entry still accepts connections, as the load balancer "
        "removes it with a delay.",
        "2500",
    )
    stop_limit_ms: int = setting(
        integer_parser(100, 3_600_000),
        "100 to 3600000 ms",
        "Time after which a stopping entry ends, even with requests in flight.",
        "60000",
    )
    caller_window_kib: int = setting(
        integer_parser(0, 1024),
        "0 to 1024 KiB, 0 for the operating system's own size",
        "TCP window of callers' connections: how much of each body may be under way to "
        "this entry, in front of its own messages.",
        "8",
    )
    server_window_kib: int = setting(
        integer_parser(0, 1024),
        "0 to 1024 KiB, 0 for the operating system's own size",
        "TCP window of connections to backend servers: how much of each answer may be "
        "under way to this entry, in front of its own messages.",
        "16",
    )
    large_bodies_at_once: int = setting(
        integer_parser(1, 10_000),
        "1 to 10000 bodies",
        "Number of large request bodies that are read at the same time.",
        "2",
    )
    pipelined_at_once: int = setting(
        integer_parser(1, 16),
        "1 to 16 requests",
        "Number of repeatable requests of one connection that run at the same time.",
        "1",
    )
    held_limit_mib: int = setting(
        integer_parser(1, 65_536),
        "1 to 65536 MiB",
        "Bound on the bodies and answers that this entry holds; beyond it new requests "
        "are refused, the largest bodies first, and answers over half of the room left "
        "are given up.",
        "48",
    )
    lone_retry_percent: int = setting(
        integer_parser(0, 100),
        "0 to 100 % of a service's requests",
        "Limit on the retries of this entry while it follows no control replica.",
        "5",
    )
    attempt_header: bytes = header_field(
        "Header with the id of an attempt, which every response must return.",
        "cinderway-attempt",
    )
    deadline_header: bytes = header_field(
        "Header with the milliseconds left until the deadline.", "cinderway-deadline-ms"
    )
    expected_header: bytes = header_field(
        "Header with the server that a request is meant for.", "cinderway-expected"
    )
    not_run_header: bytes = header_field(
        "Header with which a server reports that it did not run a request.",
        "cinderway-not-run",
    )
    load_header: bytes = header_field(
        "Header in which a server reports its running and waiting requests and slots.",
        "cinderway-load",
    )
    leaving_header: bytes = header_field(
        "Response header with which a server announces that it is shutting down.",
        "cinderway-drain",
    )
    limit_header: bytes = header_field(
        "Response header in which a server states how many requests a second it "
        "accepts from all entries together.",
        "cinderway-rate-limit",
    )
    seal_header: bytes = header_field(
        "Header that every successful response of a server must have, if set.", ""
    )
    account_header: bytes = header_field(
        "Header that tells servers a request's account; a caller's value is removed.",
        "cinderway-account",
    )
    log_format: str = log_format_field()
    log_level: str = log_level_field()
