"""Deduplicates the log lines about refused heartbeats. Does no I/O.

A server whose heartbeats are invalid goes on sending them every second or so; a line
for each would flood the log.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from cinderway._ids import ServerName

# Servers whose last refusal is remembered; beyond that, the oldest is logged again.
MAX_REMEMBERED_SERVERS = 256


@dataclass
class RefusedHeartbeats:
    """The number of refused heartbeats, and the last reason for each server."""

    count: int = 0
    _last_reasons: OrderedDict[ServerName, str] = field(default_factory=OrderedDict)

    def record_refusal(self, server: ServerName, reason: str) -> bool:
        """Count a refusal; return whether its reason differs from the server's last."""
        self.count += 1
        is_new_reason = self._last_reasons.get(server) != reason
        self._last_reasons[server] = reason
        self._last_reasons.move_to_end(server)
        if len(self._last_reasons) > MAX_REMEMBERED_SERVERS:
            self._last_reasons.popitem(last=False)
        return is_new_reason
