"""What connecting to each server costs, as this entry saw it. Pure."""

from dataclasses import dataclass, field

from cinderway._ids import Address
from cinderway.limits._connection_reuse import NewConnectionCost

# The same gain as for the connect timeout (RFC 6298, section 2.3).
TIME_GAIN = 1 / 8
# A server that rejects connections does so to several in a row, so that each outcome
# moves the share by a fourth.
REJECTED_GAIN = 1 / 4
# Assumed for a path without observations: a handshake between data halls.
ASSUMED_CONNECT_MS = 3.0
KEPT_FOR_MS = 600_000


@dataclass
class _Path:
    updated_at_ms: int
    connect_ms: float | None = None
    rejected_share: float = 0.0


@dataclass
class ConnectionPaths:
    """The paths from one entry to all servers."""

    _paths: dict[Address, _Path] = field(default_factory=dict)
    # Over all paths, for those without observations.
    _usual_connect_ms: float | None = None

    def record_connected(self, server: Address, connect_ms: float, now_ms: int) -> None:
        """Record how long a handshake took."""
        path = self._path(server, now_ms)
        path.connect_ms = _smooth(path.connect_ms, connect_ms)
        path.rejected_share *= 1 - REJECTED_GAIN
        self._usual_connect_ms = _smooth(self._usual_connect_ms, connect_ms)

    def record_rejected(self, server: Address, now_ms: int) -> None:
        """Record a connection that the server refused or did not answer."""
        path = self._path(server, now_ms)
        path.rejected_share += REJECTED_GAIN * (1 - path.rejected_share)

    def connect_ms(self, server: Address) -> float:
        """Return the usual time of a handshake with a server."""
        path = self._paths.get(server)
        known_ms = path.connect_ms if path is not None else None
        if known_ms is None:
            known_ms = self._usual_connect_ms
        return ASSUMED_CONNECT_MS if known_ms is None else known_ms

    def compute_cost(
        self, server: Address, rejected_ms: float, *, is_near_limit: bool
    ) -> NewConnectionCost:
        """Return the cost of a new connection to a server."""
        path = self._paths.get(server)
        rejected_share = path.rejected_share if path is not None else 0.0
        return NewConnectionCost(
            self.connect_ms(server), rejected_share, rejected_ms, is_near_limit
        )

    def drop_old(self, now_ms: int) -> None:
        """Drop paths that were not used for a long time."""
        for server in [
            server
            for server, path in self._paths.items()
            if now_ms - path.updated_at_ms > KEPT_FOR_MS
        ]:
            del self._paths[server]

    def _path(self, server: Address, now_ms: int) -> _Path:
        path = self._paths.setdefault(server, _Path(now_ms))
        path.updated_at_ms = now_ms
        return path


def _smooth(known_ms: float | None, observed_ms: float) -> float:
    if known_ms is None:
        return observed_ms
    return known_ms + TIME_GAIN * (observed_ms - known_ms)
