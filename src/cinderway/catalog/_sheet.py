"""The route sheet: routes, services, client accounts and limits on callers.

A sheet is replaced as a whole. Operators number its versions; the highest version wins.
The bytes that the operator sent are kept, so that reading the sheet back returns
exactly these.
"""

from collections import Counter
from enum import Enum

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import ServiceName
from cinderway.catalog._accounts import AccountRow, check_accounts

# Defaults for values that a sheet does not give.
DEFAULT_HEADER_LIMIT_BYTES = 16 * 1024
DEFAULT_BODY_LIMIT_BYTES = 64 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 3_000
DEFAULT_IDLE_TIMEOUT_MS = 15_000
DEFAULT_CONNECTION_LIMIT = 200


class RouteKind(Enum):
    """How often a request of a route may run, and which part of it is large.

    REPEATABLE and DOWNLOAD requests may run more than once; ONCE and UPLOAD requests
    run at most once. The answers of DOWNLOAD and the bodies of UPLOAD are large.
    """

    REPEATABLE = "repeatable"
    ONCE = "once"
    DOWNLOAD = "download"
    UPLOAD = "upload"

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RouteKind.REPEATABLE, RouteKind.DOWNLOAD)


class _Row(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all rows. Fields that this build does not know are ignored."""


class SplitPart(_Row, frozen=True, kw_only=True):
    """One of several services among which a route's requests are split by weight."""

    service: ServiceName
    weight: float


class RouteRow(_Row, frozen=True, kw_only=True):
    """One route: which requests it matches, where they go and which limits apply.

    Exactly one of `service` and `split` says where requests go. `objective_ms` is the
    time within which an answer counts as good. Priority 0 is the highest. A public
    route accepts requests without a key even if the sheet has accounts.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind = RouteKind.REPEATABLE
    timeout_ms: int
    objective_ms: int = 0
    priority: int = 0
    service: ServiceName | None = None
    split: list[SplitPart] | None = None
    server_limit: int | None = None
    is_public: bool = False

    @property
    def parts(self) -> list[SplitPart]:
        """The services that receive this route's requests, with their weights."""
        if self.split:
            return self.split
        return [SplitPart(service=self.service, weight=1.0)] if self.service else []

    @property
    def used_parts(self) -> list[SplitPart]:
        """The parts that get requests: those with a weight, or all if none has one."""
        return [part for part in self.parts if part.weight > 0] or self.parts

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind.is_repeatable


class ServiceEntry(_Row, frozen=True, kw_only=True):
    """One service that routes can refer to."""

    name: ServiceName
    probe_path: str = ""
    connection_limit: int = DEFAULT_CONNECTION_LIMIT


class CallerLimits(_Row, frozen=True, kw_only=True):
    """Limits on the size of a caller's requests, and its timeouts.

    `header_timeout_ms` limits how long a caller may take to send the headers, and
    `idle_timeout_ms` how long its connection may be idle.
    """

    header_limit_bytes: int = DEFAULT_HEADER_LIMIT_BYTES
    body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES
    header_timeout_ms: int = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS


class RouteSheet(_Row, frozen=True, kw_only=True):
    """A whole route sheet with the operator's version number.

    If `accounts` is given, even as an empty list, requests need the key of an account.
    """

    version: int
    routes: list[RouteRow]
    services: list[ServiceEntry]
    limits: CallerLimits = CallerLimits()
    accounts: list[AccountRow] | None = None


_decoder = msgspec.json.Decoder(RouteSheet, strict=True)


def decode_sheet(body: bytes) -> RouteSheet:
    """Decode a sheet from JSON and validate it.

    Raises CinderwayError with SHEET_INVALID, and a detail that says what was given and
    what is allowed.
    """
    try:
        sheet = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid(f"the sheet cannot be decoded: {error}") from error
    _check_version(sheet)
    _check_services(sheet)
    for route in sheet.routes:
        _check_route(route, {service.name for service in sheet.services})
    _check_unique_prefixes(sheet)
    check_accounts(sheet.accounts or [])
    return sheet


def decode_new_sheet(body: bytes) -> RouteSheet:
    """Decode a sheet that an operator submits; stricter than `decode_sheet`.

    Rules that earlier builds did not have are checked only here: a sheet that is
    already in the log must be decoded alike by all builds.
    """
    sheet = decode_sheet(body)
    for route in sheet.routes:
        if route.service is not None and route.split:
            raise _invalid(
                f"route {route.name!r} has both service and split; one is allowed"
            )
    return sheet


def _check_version(sheet: RouteSheet) -> None:
    if sheet.version < 0:
        raise _invalid(f"version: given {sheet.version}; allowed: 0 and above")


def _check_services(sheet: RouteSheet) -> None:
    counts = Counter(service.name for service in sheet.services)
    for name, count in counts.items():
        if count > 1:
            raise _invalid(f"service {name!r} occurs {count} times; once is allowed")


def _check_route(route: RouteRow, services: set[ServiceName]) -> None:
    if not route.host:
        raise _invalid(f"route {route.name!r}: the host is empty")
    if route.timeout_ms <= 0:
        raise _invalid(
            f"route {route.name!r}: timeout_ms: given {route.timeout_ms}; "
            "allowed: above 0"
        )
    if not route.parts:
        raise _invalid(f"route {route.name!r} names no service")
    for part in route.parts:
        if part.service not in services:
            raise _invalid(
                f"route {route.name!r}: service {part.service!r} is not in the sheet"
            )
        if not part.weight >= 0:
            raise _invalid(
                f"route {route.name!r}: weight: given {part.weight}; "
                "allowed: 0 and above"
            )


def _check_unique_prefixes(sheet: RouteSheet) -> None:
    prefix_counts = Counter(
        (route.host.lower(), route.path_prefix) for route in sheet.routes
    )
    for (host, prefix), count in prefix_counts.items():
        if count > 1:
            raise _invalid(
                f"{count} routes have host {host!r} and path prefix {prefix!r}; "
                "one is allowed"
            )


def _invalid(detail: str) -> CinderwayError:
    return CinderwayError(ErrorCode.SHEET_INVALID, detail, step=Step.CHECK_EDIT)
