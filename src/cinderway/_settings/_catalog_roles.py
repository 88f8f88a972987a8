"""Settings of the roles that serve by the service catalog."""

from dataclasses import dataclass
from pathlib import Path

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
    integer,
    number_or,
    parse_address,
    parse_flag,
    parse_name,
    parse_optional_address,
)
from cinderway.table import Bias


@dataclass(frozen=True, kw_only=True)
class CatalogControlSettings:
    """Settings of a control replica that keeps the service catalog."""

    settings_file: str = settings_file_field()
    data_hall: DataHall = setting(parse_name, NAME_FORM, "Data hall that it stands in.")
    listen: Address = listen_field()
    http_listen: Address = setting(
        parse_address,
        ADDRESS_FORM,
        "Where operators and backend servers make their calls.",
    )
    seeds: tuple[Address, ...] = seeds_field()
    is_first_start: bool = setting(
        parse_flag,
        "true | false",
        "Whether the fleet starts for the first time ever: the first seed founds.",
        "false",
    )
    tolerated_losses: int = setting(
        integer(0, 7),
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
        integer(0, 100),
        "0 to 100 % of slots",
        "Ejection leaves a service at least this share of its slots.",
        "70",
    )
    retry_percent: int = setting(
        integer(0, 100),
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
    allowance_window_s: float = setting(
        number_or(5.0),
        "a number above 0, or nothing for 5",
        "Span in which client accounts' requests are counted against rate and burst.",
        "",
    )
    allowance_overshoot_ratio: float = setting(
        number_or(0.0),
        "a number, 0 or above, or nothing for 0",
        "What accounts may send beyond rate and burst, as a part of them.",
        "",
    )
    allowance_slack_requests: float = setting(
        number_or(0.0),
        "a number, 0 or above, or nothing for 0",
        "What accounts may send beyond rate and burst in a span, besides.",
        "",
    )
    data_folder: Path = setting(Path, "a folder's path", "Where state is kept.")
    shared_key: bytes = shared_key_field()
    operators_listen: Address = operators_listen_field()
    log_format: str = log_format_field()
    log_level: str = log_level_field()


@dataclass(frozen=True, kw_only=True)
class CatalogEntrySettings:
    """Settings of an entry that serves by the service catalog."""

    settings_file: str = settings_file_field()
    name: EntryName = setting(parse_name, NAME_FORM, "Name of this entry in the fleet.")
    data_hall: DataHall = setting(parse_name, NAME_FORM, "Data hall that it stands in.")
    callers_listen: Address = setting(
        parse_address, ADDRESS_FORM, "Where callers' HTTP requests are taken."
    )
    seeds: tuple[Address, ...] = seeds_field()
    control_port: int = setting(
        integer(1, 65_535),
        "1 to 65535",
        "Port at which control replicas talk to the fleet's own processes.",
    )
    peers_listen: Address = setting(
        parse_optional_address,
        f"{ADDRESS_FORM}, or nothing",
        "UDP address at which the hall's entries hear each other without control.",
        "",
    )
    shared_key: bytes = shared_key_field()
    operators_listen: Address = operators_listen_field()
    drain_ms: int = setting(
        integer(0, 600_000),
        "0 to 600000 ms",
        "How long a stopping entry goes on accepting while the balancer's list lags.",
        "2500",
    )
    stop_limit_ms: int = setting(
        integer(100, 3_600_000),
        "100 to 3600000 ms",
        "A stopping entry ends by then, whatever still runs.",
        "60000",
    )
    lone_retry_percent: int = setting(
        integer(0, 100),
        "0 to 100 % of a service's requests",
        "Second tries of this entry while it has no control replica to share with.",
        "5",
    )
    attempt_header: bytes = header_field(
        "Header by which callers name a try; answers must carry it back.",
        "cinderway-attempt",
    )
    deadline_header: bytes = header_field(
        "Header that carries the milliseconds left.", "cinderway-deadline-ms"
    )
    expected_header: bytes = header_field(
        "Header that names the server a request is meant for.", "cinderway-expected"
    )
    not_run_header: bytes = header_field(
        "Header by which a server says that it did not run a request.",
        "cinderway-not-run",
    )
    load_header: bytes = header_field(
        "Header in which a server tells requests running, waiting and slots.",
        "cinderway-load",
    )
    leaving_header: bytes = header_field(
        "Header in any answer by which a server says that it leaves.",
        "cinderway-drain",
    )
    limit_header: bytes = header_field(
        "Header in any answer by which a server names how many requests a second it "
        "takes from all entries together.",
        "cinderway-rate-limit",
    )
    seal_header: bytes = header_field(
        "Header that every successful answer of a server carries, if any.", ""
    )
    account_header: bytes = header_field(
        "Header that tells servers a request's account; a caller's own is dropped.",
        "cinderway-account",
    )
    log_format: str = log_format_field()
    log_level: str = log_level_field()
