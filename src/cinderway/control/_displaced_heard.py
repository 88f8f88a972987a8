"""Tell a displaced server that lives from late heartbeats of one that does not. Pure.

What a cut held up arrives in one burst when it ends; who lives is heard again and
again.
"""

from dataclasses import dataclass, field

from cinderway._ids import ServerName

# More than one heartbeat's interval (1.5 s), so that at least three must have come.
ALIVE_AFTER_MS = 2_000
# Heartbeats further apart than this are no row: the platform's come every 1.5 s.
ROW_ENDS_AFTER_MS = 5_000


@dataclass
class DisplacedHeard:
    """Since when each displaced server is heard in a row, and when it was last."""

    _rows: dict[ServerName, tuple[int, int]] = field(default_factory=dict)

    def is_alive(self, server: ServerName, now_ms: int) -> bool:
        """Note a heartbeat; whether the server is heard for long enough."""
        self._rows = {
            name: row
            for name, row in self._rows.items()
            if now_ms - row[1] < ROW_ENDS_AFTER_MS
        }
        since_ms, _ = self._rows.get(server, (now_ms, now_ms))
        self._rows[server] = (since_ms, now_ms)
        return now_ms - since_ms >= ALIVE_AFTER_MS
