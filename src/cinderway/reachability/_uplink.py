"""Detects that an entry can open no connection to any backend server. Pure.

A server that cannot be connected to has failed, or the entry's own path to the servers
is cut. Connections to other servers tell the two apart.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from cinderway._ids import Address

# Servers in a row that cannot be connected to before the entry counts as cut off: two
# servers often fail at the same time, three that are tried in a row rarely do.
CUT_OFF_AFTER_SERVERS = 3


class UplinkState(Enum):
    """Whether connections to backend servers can be opened."""

    CONNECTED = "connected"
    # A server could not be connected to, and no connection was opened since.
    IN_DOUBT = "in-doubt"
    CUT_OFF = "cut-off"


# Called with the states before and after a change.
StateListener = Callable[[UplinkState, UplinkState], None]


@dataclass
class Uplink:
    """The results of opening connections to backend servers, over all services.

    `server_count` is the number of servers that the entry may connect to; fewer failed
    ones than CUT_OFF_AFTER_SERVERS suffice if there are no more.
    """

    server_count: Callable[[], int] = lambda: CUT_OFF_AFTER_SERVERS
    on_change: StateListener | None = None
    state: UplinkState = UplinkState.CONNECTED
    last_connected_at_ms: int | None = None
    # The servers that could not be connected to since the last opened connection.
    unreachable: set[Address] = field(default_factory=set)

    @property
    def is_cut_off(self) -> bool:
        """Whether no server can be connected to."""
        return self.state is UplinkState.CUT_OFF

    def record_connected(self, now_ms: int) -> None:
        """Record that a connection to a server was opened."""
        self.last_connected_at_ms = now_ms
        self.unreachable.clear()
        self._set_state(UplinkState.CONNECTED)

    def record_unreachable(self, server: Address) -> None:
        """Record that a connection to a server could not be opened."""
        self.unreachable.add(server)
        if len(self.unreachable) >= self._compute_required_failures():
            self._set_state(UplinkState.CUT_OFF)
        elif self.state is UplinkState.CONNECTED:
            self._set_state(UplinkState.IN_DOUBT)

    def _compute_required_failures(self) -> int:
        return max(min(CUT_OFF_AFTER_SERVERS, self.server_count()), 1)

    def _set_state(self, state: UplinkState) -> None:
        if state is self.state:
            return
        before, self.state = self.state, state
        if self.on_change is not None:
            self.on_change(before, state)
