"""What is known of one request on a sheet's route, for its log line."""

from cinderway._errors import CinderwayError
from cinderway._ids import AccountName, ServiceName
from cinderway.catalog import RouteRow
from cinderway.entry.callers._holdings import UNLIMITED_HOLDING
from cinderway.entry.callers._permits import RequestPermit
from cinderway.entry.callers._requests import CallerRequest
from cinderway.reports import RequestLine
from cinderway.reports._request_line import NO_VALUE


class RequestRecord:
    """Collects what the log line of one request needs, while the request is served."""

    def __init__(self, started_at_ms: int, attempt_header: bytes | None):
        self.started_at_ms = started_at_ms
        self.attempt_id = (attempt_header or b"").decode("latin-1")
        self.route: RouteRow | None = None
        self.permit: RequestPermit | None = None
        self.holding = UNLIMITED_HOLDING
        self.service: ServiceName | None = None
        self.request: CallerRequest | None = None
        self.error: CinderwayError | None = None

    @property
    def account_name(self) -> AccountName | None:
        """The client account that the request belongs to, if any."""
        return self.permit.identity.account_name if self.permit is not None else None

    @property
    def was_sent(self) -> bool:
        """Whether the request may have reached a server."""
        return self.request is not None and bool(self.request.tried_servers)

    @property
    def route_name(self) -> str:
        """The route's name; NO_VALUE if no route matches."""
        return self.route.name if self.route else NO_VALUE

    def build_log_line(
        self, outcome: str, duration_ms: int, revision: int, age_ms: int
    ) -> RequestLine:
        """Build the request's log line; `revision` and `age_ms` are the catalog's."""
        return RequestLine(
            name=self.attempt_id or "unnamed",
            outcome=outcome,
            duration_ms=duration_ms,
            route=self.route_name,
            service=self.service or NO_VALUE,
            servers=tuple(self.request.tried_servers) if self.request else (),
            revision=revision,
            age_ms=age_ms,
            account=self.account_name or NO_VALUE,
            connections=tuple(use.value for use in self.request.connection_uses)
            if self.request
            else (),
        )
