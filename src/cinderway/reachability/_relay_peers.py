"""Chooses the entry that relays a request to a server that cannot be connected to."""

import random
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum

from cinderway._ids import Address


class PeerFailure(Enum):
    """Why an entry did not relay a request."""

    # It cannot connect to servers of the service either.
    CUT_OFF = "cut-off"
    # It relays as many requests as it may.
    BUSY = "busy"
    LEAVING = "leaving"
    # It does not list the server, or must not send it a request now.
    SERVER_UNUSABLE = "server-unusable"
    # It could not be connected to.
    UNREACHABLE = "unreachable"
    # It could not connect to the server that was chosen.
    SERVER_UNREACHABLE = "server-unreachable"


# How long an entry is not asked again. One that is cut off, or that has no power, stays
# so for seconds; one that is busy has room again when a request ends.
AVOID_MS = {
    PeerFailure.CUT_OFF: 1_000,
    PeerFailure.BUSY: 100,
    PeerFailure.LEAVING: 10_000,
    PeerFailure.SERVER_UNUSABLE: 0,
    PeerFailure.UNREACHABLE: 2_000,
    PeerFailure.SERVER_UNREACHABLE: 300,
}
# Number of random candidates of which the one with the fewest relayed requests is used.
CANDIDATES = 2


@dataclass
class RelayPeers:
    """The other entries, those of the own data hall first. Does no I/O."""

    own_hall: Collection[Address] = ()
    other_halls: Collection[Address] = ()
    _avoided_until_ms: dict[Address, int] = field(default_factory=dict)
    _in_flight: Counter[Address] = field(default_factory=Counter)

    def choose(
        self, tried: Collection[Address], now_ms: int, rng: random.Random
    ) -> Address | None:
        """Return the entry to ask next; None if there is none."""
        for hall in (self.own_hall, self.other_halls):
            usable = [peer for peer in hall if self._is_usable(peer, tried, now_ms)]
            if usable:
                drawn = rng.sample(usable, min(CANDIDATES, len(usable)))
                return min(drawn, key=self._in_flight.__getitem__)
        return None

    def has_usable(self, now_ms: int) -> bool:
        """Whether there is an entry to ask."""
        peers = (*self.own_hall, *self.other_halls)
        return any(self._is_usable(peer, (), now_ms) for peer in peers)

    def record_failure(self, peer: Address, failure: PeerFailure, now_ms: int) -> None:
        """Record that an entry did not relay a request."""
        self._avoided_until_ms = {
            avoided: until_ms
            for avoided, until_ms in self._avoided_until_ms.items()
            if now_ms < until_ms
        }
        self._avoided_until_ms[peer] = now_ms + AVOID_MS[failure]

    def record_begin(self, peer: Address) -> None:
        """Count a request that an entry is asked to relay."""
        self._in_flight[peer] += 1

    def record_end(self, peer: Address) -> None:
        """Count the end of a request that an entry was asked to relay."""
        self._in_flight[peer] -= 1
        if not self._in_flight[peer]:
            del self._in_flight[peer]

    def _is_usable(
        self, peer: Address, tried: Collection[Address], now_ms: int
    ) -> bool:
        return peer not in tried and self._avoided_until_ms.get(peer, 0) <= now_ms
