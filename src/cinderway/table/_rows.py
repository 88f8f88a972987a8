"""The two sheets of the table: services, and the backend servers behind them.

Columns are declared only here: the checks, the command-line help and the operators'
page of columns are derived from these declarations.
"""

from dataclasses import dataclass
from enum import Enum

from cinderway._bias import Bias
from cinderway._ids import Address, DataHall, ServerName, ServiceName
from cinderway.table._columns import (
    Choice,
    Column,
    Decimal,
    Flag,
    Integer,
    Text,
    TextSet,
    column,
    get_columns,
)

# Increased with each new column that an entry of an older version cannot handle.
TABLE_LEVEL = 1

NAME_PATTERN = r"[a-z0-9][a-z0-9.-]{0,62}"
NAME_DESCRIPTION = "1 to 63 characters of a-z 0-9 . -, starting with a letter or digit"
ADDRESS_PATTERN = r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}"
PATH_PATTERN = r"/[^\s?#]*"
RUN_ONCE_PATTERN = r"(POST|PUT|PATCH|DELETE):/[^\s?#]*"


class Sheet(Enum):
    """The sheet that a row belongs to."""

    SERVICES = "services"
    SERVERS = "servers"


class AnswerMode(Enum):
    """How a response is relayed to the caller: buffered whole, or streamed."""

    WHOLE = "whole"
    STREAM = "stream"


class ServerState(Enum):
    """The state of a backend server as set by an operator."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class ServiceRow:
    """One service and its configuration."""

    name: ServiceName
    routes: frozenset[str] = column(
        TextSet(PATH_PATTERN, "a path prefix such as /lookup"),
        default=frozenset(),
        help="Path prefixes of this service; the longest matching prefix wins.",
    )
    run_once_routes: frozenset[str] = column(
        TextSet(RUN_ONCE_PATTERN, "METHOD:/path-prefix such as POST:/readings"),
        default=frozenset(),
        help="Methods and path prefixes of requests that may run at most once.",
    )
    key_required: bool = column(
        Flag(),
        default=False,
        help="Refuse run-once requests without an Idempotency-Key header.",
    )
    answer_mode: AnswerMode = column(
        Choice(AnswerMode),
        default=AnswerMode.WHOLE,
        help="Buffer responses until they are complete, or stream them (downloads).",
    )
    floor_slots: int = column(
        Integer(0, 1_000_000, "slots"),
        default=0,
        help="Ejections never reduce the healthy capacity below this.",
    )
    floor_percent: int = column(
        Integer(0, 100, "% of slots"),
        default=50,
        help="Ejections leave at least this share of the table's slots healthy.",
    )
    probe_path: str = column(
        Text(r"(/[^\s?#]*)?", "a path, or empty"),
        default="",
        help="Path of GET probes, which test suspect servers by real, repeatable work.",
    )
    probes_per_s: int = column(
        Integer(0, 50, "probes/s"),
        default=5,
        help="Probes to each server; fewer while callers send it many requests.",
    )
    bias: Bias = column(
        Choice(Bias),
        default=Bias.BALANCED,
        help="Favour early detection of failures, or few ejections of healthy servers.",
    )
    request_timeout_ms: int = column(
        Integer(10, 3_600_000, "ms"),
        default=10_000,
        help="Deadline of requests that do not set their own.",
    )
    stall_timeout_ms: int = column(
        Integer(10, 600_000, "ms"),
        default=5_000,
        help="Streamed responses without progress for this long are resumed.",
    )
    queue_limit: int = column(
        Integer(0, 100_000, "requests"),
        default=64,
        help="Maximum requests waiting for a slot of this service on one entry.",
    )
    caller_limit: int = column(
        Integer(1, 100_000, "requests"),
        default=16,
        help="Maximum requests of one caller, waiting or in flight, on one entry.",
    )
    retry_percent: int = column(
        Integer(0, 100, "% of requests"),
        default=10,
        help="Maximum share that retries and hedges together add.",
    )
    slow_start_ms: int = column(
        Integer(0, 3_600_000, "ms"),
        default=5_000,
        help="Time for a new or returning server to reach its full share of traffic.",
    )
    claim_retention_s: int = column(
        Integer(60, 2_592_000, "s"),
        default=86_400,
        help="How long the outcome of a run-once request is kept.",
    )
    answer_kept_bytes: int = column(
        Integer(0, 262_144, "bytes"),
        default=16_384,
        help="Run-once responses up to this size are stored, and replayed to resends.",
    )
    objective_percent: float = column(
        Decimal(0, 99.999, "% of requests"),
        default=99.9,
        help="Service level objective: share of requests with a good response.",
    )
    objective_latency_ms: int = column(
        Integer(1, 3_600_000, "ms"),
        default=2_000,
        help="Responses whose first byte arrives later do not count as good.",
    )


@dataclass(frozen=True, kw_only=True)
class ServerRow:
    """One backend server and its configuration."""

    name: ServerName
    service: ServiceName = column(
        Text(NAME_PATTERN, NAME_DESCRIPTION),
        help="The service that this server belongs to.",
    )
    data_hall: DataHall = column(
        Text(NAME_PATTERN, NAME_DESCRIPTION), help="The data hall of this server."
    )
    address: Address = column(
        Text(ADDRESS_PATTERN, "IP-number:port"),
        help="Where this server accepts requests.",
    )
    weight: int = column(
        Integer(0, 1000, "(100 is a full share)"),
        default=100,
        help="Share of the traffic relative to its peers; 0: no new requests.",
    )
    slots: int = column(
        Integer(1, 10_000, "requests"),
        default=4,
        help="Requests that this server processes concurrently.",
    )
    connection_limit: int = column(
        Integer(1, 100_000, "connections"),
        default=200,
        help="Maximum open connections to this server from the whole fleet.",
    )
    state: ServerState = column(
        Choice(ServerState),
        default=ServerState.ACTIVE,
        help="leaving: no new requests; requests in flight finish.",
    )

    @property
    def accepts_requests(self) -> bool:
        """Whether the table allows new requests to be sent to this server."""
        return self.state is ServerState.ACTIVE and self.weight > 0

    @property
    def expected_name(self) -> ServerName:
        """The name that the server itself uses, sent to it as the expected name."""
        return self.name


ROW_TYPES: dict[Sheet, type] = {
    Sheet.SERVICES: ServiceRow,
    Sheet.SERVERS: ServerRow,
}
COLUMNS: dict[Sheet, dict[str, Column]] = {
    sheet: get_columns(row_type) for sheet, row_type in ROW_TYPES.items()
}
