"""Counts of requests in flight at backend servers, by the source that reported them.

Each source (an entry or a replica) reports the absolute number of its own requests in
flight at a server. A lost report is therefore corrected by the next one, and the counts
of a source that has disconnected can be removed. Does no I/O.
"""

from collections import Counter
from collections.abc import Hashable, KeysView

from cinderway._ids import ServerName


class InFlightCounts:
    """The requests in flight of each source, and their sum at each server."""

    def __init__(self):
        self._by_source: dict[Hashable, dict[ServerName, int]] = {}
        self._totals: Counter[ServerName] = Counter()

    def total(self, server: ServerName) -> int:
        """Return how many requests are in flight at a server."""
        return self._totals[server]

    def record(self, source: Hashable, server: ServerName, count: int) -> None:
        """Record a source's count at a server; it replaces the source's earlier one."""
        counts = self._by_source.setdefault(source, {})
        self._totals[server] += count - counts.pop(server, 0)
        if count:
            counts[server] = count
        if not counts:
            del self._by_source[source]
        if not self._totals[server]:
            del self._totals[server]

    def remove_source(self, source: Hashable) -> KeysView[ServerName]:
        """Remove all counts of a source; return the servers that they were for."""
        counts = self._by_source.pop(source, {})
        for server, count in counts.items():
            self._totals[server] -= count
            if not self._totals[server]:
                del self._totals[server]
        return counts.keys()
