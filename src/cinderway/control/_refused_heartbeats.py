"""Say once of each server why its heartbeats are refused. Pure.

A writer whose heartbeats cannot be read goes on sending them every second or so; a line
for each would drown what else a log has to say.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from cinderway._ids import ServerName

# Servers whose last refusal is remembered; beyond that, the oldest is told again.
SERVERS_KEPT = 256


@dataclass
class RefusedHeartbeats:
    """How many heartbeats were refused, and what was last said of each server."""

    count: int = 0
    _said: OrderedDict[ServerName, str] = field(default_factory=OrderedDict)

    def is_news(self, server: ServerName, reason: str) -> bool:
        """Count a refusal; whether its reason was not the server's last one."""
        self.count += 1
        is_news = self._said.get(server) != reason
        self._said[server] = reason
        self._said.move_to_end(server)
        if len(self._said) > SERVERS_KEPT:
            self._said.popitem(last=False)
        return is_news
