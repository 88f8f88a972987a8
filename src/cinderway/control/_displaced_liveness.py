"""Detects whether a displaced server is alive. Does no I/O.

A server is displaced when another server registers at its address; that other one may
have stopped before and only its heartbeat arrived late. Heartbeats that a network
partition held up arrive in one burst when it heals and do not show that their sender is
still alive; a live server keeps sending them.
"""

from dataclasses import dataclass, field

from cinderway._ids import ServerName

# Longer than one heartbeat interval (1.5 s), so that at least three heartbeats must
# have arrived.
ALIVE_AFTER_MS = 2_000
# A longer gap between heartbeats starts a new streak: the platform sends one every
# 1.5 s.
MAX_HEARTBEAT_GAP_MS = 5_000


@dataclass
class DisplacedLiveness:
    """Tracks the streak of heartbeats of each displaced server.

    A streak is the times of its first and of its last heartbeat.
    """

    _streaks: dict[ServerName, tuple[int, int]] = field(default_factory=dict)

    def record_heartbeat(self, server: ServerName, now_ms: int) -> bool:
        """Record a heartbeat; return whether the server has proved to be alive."""
        self._streaks = {
            name: streak
            for name, streak in self._streaks.items()
            if now_ms - streak[1] < MAX_HEARTBEAT_GAP_MS
        }
        streak_start_ms, _ = self._streaks.get(server, (now_ms, now_ms))
        self._streaks[server] = (streak_start_ms, now_ms)
        return now_ms - streak_start_ms >= ALIVE_AFTER_MS
