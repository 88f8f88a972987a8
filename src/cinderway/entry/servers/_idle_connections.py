"""The idle connections of one entry, and which of them a request may use.

It does no I/O but ask a connection whether its server has closed it. Connections that
are to be closed are handed to the caller, which closes them.
"""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, Protocol, TypeVar

from cinderway._ids import Address, ServiceName
from cinderway._operators import Metrics
from cinderway.limits import (
    CLOSES_HALF_LIFE_MS,
    LOSS_WEIGHT,
    ConnectionLifetimes,
    ConnectionPaths,
    ConnectTimeout,
    ReuseRisk,
    decide_reuse,
)

DEFAULT_CONNECTION_LIMIT = 64
# A server that closes connections at once whose idle ages differ by more than this
# factor has stopped. That is one event, and says nothing about idle ages.
SAME_AGE_FACTOR = 2.0
# A server that also breaks new connections fails requests, and does not close idle
# connections early. Bursts of failures last some seconds.
NEW_BREAK_VALID_MS = 10_000
# Interval of dropping what was learnt of servers that are no longer used. The tables
# may have thousands of lines, so that this is not done with each sweep.
DROP_INTERVAL_MS = 60_000


class ConnectionUse(Enum):
    """Which kind of connection a request was sent on."""

    NEW = "new"
    KEPT = "kept"
    # A connection of another entry.
    RELAYED = "relayed"


class EndCause(Enum):
    """Why a connection ended, as a label of metrics."""

    # Seen before a request was written to it.
    CLOSED_IDLE = "closed-idle"
    # The server closed it before it read the request: nothing ran.
    CLOSED_BEFORE_READ = "closed-before-read"
    # It broke under a request, which may have run.
    LOST_KEPT = "lost-kept"
    LOST_NEW = "lost-new"
    # Closed by this entry: by age, or because the server's limit was reached.
    EXPIRED = "expired"
    SURPLUS = "surplus"


class Connection(Protocol):
    """An open connection to a backend server."""

    address: Address
    service: ServiceName
    # How long it may be idle by what the server announced.
    idle_limit_ms: int

    def is_closed_by_server(self) -> bool:
        """Whether its end, or data that belongs to no request, is waiting."""


C = TypeVar("C", bound=Connection)


@dataclass(frozen=True)
class ReuseTerms:
    """What decides for a request whether it uses a kept connection.

    `loss_cost_ms` is None for a request that may be repeated: it uses any connection.
    """

    service: ServiceName = ServiceName("")
    loss_cost_ms: float | None = None
    connection_limit: int = DEFAULT_CONNECTION_LIMIT


DEFAULT_TERMS = ReuseTerms()


@dataclass
class _Idle(Generic[C]):
    connection: C
    since_ms: int
    seen_open_at_ms: int

    @property
    def until_ms(self) -> int:
        return self.since_ms + self.connection.idle_limit_ms


@dataclass
class _CloseOutcomes:
    """Closes under a request: whether it was proven that it had not been read."""

    updated_at_ms: int
    proven: float = 0.0
    unproven: float = 0.0

    def record(self, now_ms: int, *, is_proven: bool) -> None:
        """Record a close; those of before lose weight with age."""
        weight = self._compute_weight(now_ms)
        self.updated_at_ms = now_ms
        self.proven = self.proven * weight + is_proven
        self.unproven = self.unproven * weight + (not is_proven)

    def compute_unproven_share(self, now_ms: int) -> float:
        """Return the share to expect of the next close."""
        # One assumed unproven close: until there are observations, nothing is proven.
        weight = self._compute_weight(now_ms)
        unproven = self.unproven * weight + 1
        return unproven / (unproven + self.proven * weight)

    def _compute_weight(self, now_ms: int) -> float:
        return 0.5 ** ((now_ms - self.updated_at_ms) / CLOSES_HALF_LIFE_MS)


@dataclass
class IdleConnections(Generic[C]):
    """Idle connections by server, the youngest last; none of them is in use."""

    connect_timeout: ConnectTimeout
    metrics: Metrics = field(default_factory=Metrics)
    lifetimes: ConnectionLifetimes = field(default_factory=ConnectionLifetimes)
    paths: ConnectionPaths = field(default_factory=ConnectionPaths)
    # Open connections by server, both idle and in use.
    open: Counter[Address] = field(default_factory=Counter)
    _idle: dict[Address, deque[_Idle[C]]] = field(default_factory=dict)
    _outcomes: dict[ServiceName, _CloseOutcomes] = field(default_factory=dict)
    _new_break_at_ms: dict[Address, int] = field(default_factory=dict)
    _discarded: list[C] = field(default_factory=list)
    _drop_at_ms: int = 0

    def keep(self, connection: C, limit: int, now_ms: int) -> bool:
        """Keep a connection that became idle; False if the server has enough."""
        idle = self._idle.setdefault(connection.address, deque())
        is_surplus = len(idle) >= limit or self.open[connection.address] > limit
        if is_surplus or connection.idle_limit_ms <= 0:
            self.record_end(connection.service, EndCause.SURPLUS)
            return False
        idle.append(_Idle(connection, now_ms, now_ms))
        return True

    def give_back(self, connection: C, since_ms: int, now_ms: int) -> None:
        """Keep a connection that was taken and not used: it is idle since then."""
        idle = self._idle.get(connection.address, deque())
        together = [*idle, _Idle(connection, since_ms, now_ms)]
        together.sort(key=lambda each: each.since_ms)
        self._idle[connection.address] = deque(together)

    @property
    def is_empty(self) -> bool:
        """Whether no connection is idle."""
        return not any(self._idle.values())

    def take(self, server: Address, terms: ReuseTerms, now_ms: int) -> C | None:
        """Return the youngest idle connection if the request may use it, else None."""
        idle = self._idle.get(server)
        while idle:
            youngest = idle[-1]
            if now_ms >= youngest.until_ms:
                idle.pop()
                self._discard(youngest, EndCause.EXPIRED, now_ms)
            elif youngest.connection.is_closed_by_server():
                idle.pop()
                self._record_closed([youngest], now_ms)
            elif not self._may_use(server, youngest, terms, now_ms):
                return None
            else:
                idle.pop()
                self._record_idle(youngest, now_ms)
                return youngest.connection
        return None

    def has_usable(self, server: Address, terms: ReuseTerms, now_ms: int) -> bool:
        """Whether the request may use an idle connection, without asking the socket."""
        idle = self._idle.get(server)
        return bool(
            idle
            and now_ms < idle[-1].until_ms
            and self._may_use(server, idle[-1], terms, now_ms)
        )

    def pop_oldest_if_full(self, server: Address, terms: ReuseTerms) -> None:
        """Discard the oldest idle connection if a new one would exceed the limit."""
        idle = self._idle.get(server)
        if idle and self.open[server] >= terms.connection_limit:
            oldest = idle.popleft().connection
            self.record_end(oldest.service, EndCause.SURPLUS)
            self._discarded.append(oldest)

    def sweep(self, now_ms: int) -> None:
        """Discard the connections that servers closed, and those that are too old."""
        for server, idle in list(self._idle.items()):
            closed, kept = [], deque()
            for each in idle:
                if each.connection.is_closed_by_server():
                    closed.append(each)
                elif now_ms >= each.until_ms:
                    self._discard(each, EndCause.EXPIRED, now_ms)
                else:
                    each.seen_open_at_ms = now_ms
                    kept.append(each)
            self._record_closed(closed, now_ms)
            if kept:
                self._idle[server] = kept
            else:
                del self._idle[server]
        if now_ms >= self._drop_at_ms:
            self._drop_at_ms = now_ms + DROP_INTERVAL_MS
            self.lifetimes.drop_old(now_ms)
            self.paths.drop_old(now_ms)
            self._drop_old_breaks(now_ms)

    def pop_discarded(self) -> list[C]:
        """Return the connections to close, once."""
        discarded, self._discarded = self._discarded, []
        return discarded

    # What happened to requests.

    def record_opened(self, service: ServiceName, server: Address) -> None:
        """Count a connection that was opened."""
        self.open[server] += 1
        self.metrics.count(
            "server_connections_total", {"service": service, "event": "opened"}
        )

    def record_reused(self, service: ServiceName) -> None:
        """Count a request that is sent on a kept connection."""
        self.metrics.count(
            "server_connections_total", {"service": service, "event": "reused"}
        )

    def record_rejected(
        self, service: ServiceName, server: Address, now_ms: int
    ) -> None:
        """Record a connection that could not be opened."""
        self.paths.record_rejected(server, now_ms)
        self.metrics.count(
            "server_connections_total", {"service": service, "event": "rejected"}
        )

    def record_closed(self, server: Address) -> None:
        """Count a connection as no longer open."""
        self.open[server] -= 1
        if self.open[server] <= 0:
            del self.open[server]

    def record_end(self, service: ServiceName, cause: EndCause) -> None:
        """Count the end of a connection by its cause."""
        self.metrics.count(
            "server_connections_ended_total",
            {"service": service, "cause": cause.value},
        )

    def record_lost_new(
        self, service: ServiceName, server: Address, now_ms: int
    ) -> None:
        """Record that a new connection broke under its request."""
        self._new_break_at_ms[server] = now_ms
        self.record_end(service, EndCause.LOST_NEW)

    def record_lost_kept(
        self,
        service: ServiceName,
        server: Address,
        idle_age_ms: float,
        now_ms: int,
        *,
        is_proven: bool,
    ) -> None:
        """Record that a kept connection broke under its request.

        `is_proven`: the server closed it before it read the request. How soon it broke
        is not considered: a busy entry or server adds more than a round trip.
        """
        cause = EndCause.CLOSED_BEFORE_READ if is_proven else EndCause.LOST_KEPT
        self.record_end(service, cause)
        if not is_proven and self._breaks_new_ones(server, now_ms):
            return
        outcomes = self._outcomes.setdefault(service, _CloseOutcomes(now_ms))
        outcomes.record(now_ms, is_proven=is_proven)
        self.lifetimes.record_close(
            service, server, idle_age_ms, now_ms, 1.0 if is_proven else LOSS_WEIGHT
        )

    def compute_unproven_share(self, service: ServiceName, now_ms: int) -> float:
        """Return the share of closes under a request after which it may have run."""
        outcomes = self._outcomes.get(service)
        return 1.0 if outcomes is None else outcomes.compute_unproven_share(now_ms)

    def _breaks_new_ones(self, server: Address, now_ms: int) -> bool:
        at_ms = self._new_break_at_ms.get(server)
        return at_ms is not None and now_ms - at_ms <= NEW_BREAK_VALID_MS

    # The rule.

    def _may_use(
        self, server: Address, idle: _Idle[C], terms: ReuseTerms, now_ms: int
    ) -> bool:
        if terms.loss_cost_ms is None:
            return True
        risk = ReuseRisk(
            self.lifetimes.compute_close_rate(
                terms.service, server, now_ms - idle.since_ms, now_ms
            ),
            self.paths.connect_ms(server),
            self.compute_unproven_share(terms.service, now_ms),
            terms.loss_cost_ms,
        )
        new = self.paths.compute_cost(
            server,
            self.connect_timeout.current_ms,
            # A new connection takes the place of the oldest idle one: it exceeds the
            # limit only if there is no other.
            is_near_limit=self.open[server] > terms.connection_limit,
        )
        return decide_reuse(new, risk).is_reused

    # Ends of idle connections.

    def _record_idle(self, idle: _Idle[C], until_ms: float) -> None:
        connection = idle.connection
        self.lifetimes.record_idle(
            connection.service,
            connection.address,
            until_ms - idle.since_ms,
            round(until_ms),
        )

    def _discard(self, idle: _Idle[C], cause: EndCause, now_ms: int) -> None:
        self._record_idle(idle, now_ms)
        self.record_end(idle.connection.service, cause)
        self._discarded.append(idle.connection)

    def _record_closed(self, closed: list[_Idle[C]], now_ms: int) -> None:
        """Record connections to one server that were found closed at one time."""
        ages_ms = [_closed_age_ms(idle, now_ms) for idle in closed]
        weight = 1 / len(closed) if _is_stop(ages_ms) else 1.0
        for idle, age_ms in zip(closed, ages_ms, strict=True):
            connection = idle.connection
            self.lifetimes.record_idle(
                connection.service, connection.address, age_ms, now_ms
            )
            self.lifetimes.record_close(
                connection.service, connection.address, age_ms, now_ms, weight
            )
            self.record_end(connection.service, EndCause.CLOSED_IDLE)
            self._discarded.append(connection)

    def _drop_old_breaks(self, now_ms: int) -> None:
        for server in [
            server
            for server, at_ms in self._new_break_at_ms.items()
            if now_ms - at_ms > NEW_BREAK_VALID_MS
        ]:
            del self._new_break_at_ms[server]


def _closed_age_ms(idle: _Idle, now_ms: int) -> float:
    """Return the idle age at a close: between the last look at it and this one."""
    return (idle.seen_open_at_ms + now_ms) / 2 - idle.since_ms


def _is_stop(ages_ms: Iterable[float]) -> bool:
    ages_ms = sorted(ages_ms)
    return len(ages_ms) > 1 and ages_ms[-1] > SAME_AGE_FACTOR * max(ages_ms[0], 1.0)
