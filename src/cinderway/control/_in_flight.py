"""Requests under way at backend servers, by who told of them. Pure.

Each teller says how many of its own are under way at a server now, so a word that was
lost is put right by the next one, and a teller that is gone takes its share along.
"""

from collections import Counter
from collections.abc import Hashable, KeysView

from cinderway._ids import ServerName


class InFlight:
    """What each teller has under way, and the sum at each server."""

    def __init__(self):
        self._by_teller: dict[Hashable, dict[ServerName, int]] = {}
        self._totals: Counter[ServerName] = Counter()

    def total(self, server: ServerName) -> int:
        """Return how many requests are under way at a server."""
        return self._totals[server]

    def note(self, teller: Hashable, server: ServerName, count: int) -> None:
        """Take a teller's word; it replaces what the teller said of that server."""
        counts = self._by_teller.setdefault(teller, {})
        self._totals[server] += count - counts.pop(server, 0)
        if count:
            counts[server] = count
        if not counts:
            del self._by_teller[teller]
        if not self._totals[server]:
            del self._totals[server]

    def forget(self, teller: Hashable) -> KeysView[ServerName]:
        """Drop all that a teller said; return the servers that this concerns."""
        counts = self._by_teller.pop(teller, {})
        for server, count in counts.items():
            self._totals[server] -= count
            if not self._totals[server]:
                del self._totals[server]
        return counts.keys()
