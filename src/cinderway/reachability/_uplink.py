"""Detects that an entry can open no connection to a service's backend servers. Pure.

A server that cannot be connected to has failed, or the entry's own path to the servers
is cut. Connections to the service's other servers tell the two apart.
"""

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum

from cinderway._ids import Address, ServiceName

# Servers in a row that cannot be connected to before the entry counts as cut off: two
# servers often fail at the same time, three that are tried in a row rarely do.
CUT_OFF_AFTER_SERVERS = 3
# More are not kept while an uplink is in doubt, which is settled within a second.
DEFERRED_LIMIT = 1_000


class UplinkState(Enum):
    """Whether connections to a service's servers can be opened."""

    CONNECTED = "connected"
    # A server could not be connected to or fell silent, and nothing has shown since
    # that another one can be reached.
    IN_DOUBT = "in-doubt"
    CUT_OFF = "cut-off"


@dataclass(frozen=True)
class UplinkChange:
    """A change of the state of the paths to one service's servers."""

    service: ServiceName
    before: UplinkState
    after: UplinkState


ChangeListener = Callable[[UplinkChange], None]
Observation = Callable[[], None]


@dataclass
class Uplink:
    """The results of opening connections to the servers of one service.

    `server_count` is the number of servers that the entry may connect to; fewer failed
    ones than CUT_OFF_AFTER_SERVERS suffice if there are no more.
    """

    service: ServiceName
    server_count: Callable[[], int] = lambda: CUT_OFF_AFTER_SERVERS
    on_change: ChangeListener | None = None
    state: UplinkState = UplinkState.CONNECTED
    last_connected_at_ms: int | None = None
    # The servers that could not be connected to since the last opened connection.
    unreachable: set[Address] = field(default_factory=set)
    _deferred: deque[Observation] = field(
        default_factory=lambda: deque(maxlen=DEFERRED_LIMIT)
    )

    @property
    def is_cut_off(self) -> bool:
        """Whether no server can be connected to."""
        return self.state is UplinkState.CUT_OFF

    @property
    def is_urgent(self) -> bool:
        """Whether connections fail, or failures wait to be recorded."""
        return bool(self.unreachable or self._deferred)

    def record_connected(self, now_ms: int) -> None:
        """Record that a connection to a server was opened."""
        self.last_connected_at_ms = now_ms
        self.unreachable.clear()
        self._set_state(UplinkState.CONNECTED)

    def record_answer(self) -> None:
        """Record a server's answer; it says nothing about opening connections."""
        if self.state is UplinkState.IN_DOUBT and not self.unreachable:
            self._set_state(UplinkState.CONNECTED)

    def record_unreachable(self, server: Address) -> None:
        """Record that a connection to a server could not be opened."""
        self.unreachable.add(server)
        if len(self.unreachable) >= self._compute_required_failures():
            self._set_state(UplinkState.CUT_OFF)
        else:
            self.doubt()

    def doubt(self) -> None:
        """Require proof that a server can be reached, unless the uplink is cut off."""
        if self.state is UplinkState.CONNECTED:
            self._set_state(UplinkState.IN_DOUBT)

    def defer(self, record: Observation) -> None:
        """Record a failure that the loss of this uplink would explain as well.

        It is recorded once a server can be reached, and dropped if none can.
        """
        if self.is_cut_off:
            return
        self._deferred.append(record)
        self.doubt()

    def record_silence(self, record: Observation) -> None:
        """Record that a server is late with an answer, and doubt the uplink.

        Entries must learn at once of servers that hang. The failure is deferred only
        if connections fail, too.
        """
        if self.unreachable:
            self.defer(record)
            return
        record()
        self.doubt()

    def _compute_required_failures(self) -> int:
        return max(min(CUT_OFF_AFTER_SERVERS, self.server_count()), 1)

    def _set_state(self, state: UplinkState) -> None:
        if state is self.state:
            return
        before, self.state = self.state, state
        deferred, self._deferred = self._deferred, deque(maxlen=DEFERRED_LIMIT)
        if state is UplinkState.CONNECTED:
            for record in deferred:
                record()
        elif state is UplinkState.IN_DOUBT:
            self._deferred = deferred
        if self.on_change is not None:
            self.on_change(UplinkChange(self.service, before, state))


@dataclass
class Uplinks:
    """The uplinks of one entry, one for each service.

    `count_servers` returns how many servers of a service the entry may connect to.
    """

    count_servers: Callable[[ServiceName], int] = lambda service: CUT_OFF_AFTER_SERVERS
    listeners: list[ChangeListener] = field(default_factory=list)
    _by_service: dict[ServiceName, Uplink] = field(default_factory=dict)

    def of(self, service: ServiceName) -> Uplink:
        """Return the uplink to a service's servers."""
        found = self._by_service.get(service)
        if found is None:
            found = self._by_service[service] = Uplink(
                service, lambda: self.count_servers(service), self._notify
            )
        return found

    def keep_only(self, services: Collection[ServiceName]) -> None:
        """Forget the uplinks of all services but these."""
        self._by_service = {
            service: uplink
            for service, uplink in self._by_service.items()
            if service in services
        }

    def find_in_state(self, state: UplinkState) -> list[Uplink]:
        """Return the uplinks that are in a state."""
        return [u for u in self._by_service.values() if u.state is state]

    def _notify(self, change: UplinkChange) -> None:
        if change.after is UplinkState.CUT_OFF:
            # The cause is rarely one service's alone.
            for uplink in self.find_in_state(UplinkState.CONNECTED):
                uplink.doubt()
        for listener in self.listeners:
            listener(change)
