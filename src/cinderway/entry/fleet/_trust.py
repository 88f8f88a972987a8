"""When a restarted entry may serve by the table that it got.

An entry has no disk, so it cannot know what it had in force before it restarted.
Serving by an older table would revert an accepted configuration; not serving takes
capacity away. It serves once one of these holds:

1. The control leader, confirmed by a quorum, gave it the table: nothing newer was
   ever acknowledged.
2. Control is away, and at least two other entries that are serving themselves (or
   one, where only one is configured) gave it theirs, and none of those heard it
   report a newer revision than it has now. Entries report their revision to each
   other each second, and a revision is in force on all of them within seconds, so
   two of them would both have to be behind a cut for longer than this entry was.

With neither it stays not ready: the balancer has other entries, and a single one
without a table cannot route anyway.
"""

from dataclasses import dataclass, field

from cinderway._ids import Address

PEERS_NEEDED = 2
# How long the leader is given first. Peers' word is the second choice.
LEADER_FIRST_MS = 2_000


@dataclass
class TrustEvidence:
    """What has been heard since the start."""

    is_confirmed_by_leader: bool = False
    own_revision: int = 0
    trusted_peers: set[Address] = field(default_factory=set)

    def note_own_revision(self, revision: int) -> None:
        """Note the highest revision that somebody heard this entry report."""
        self.own_revision = max(self.own_revision, revision)

    def note_trusted_peer(self, address: Address) -> None:
        """Note that a serving entry gave its table."""
        self.trusted_peers.add(address)


def may_trust(
    evidence: TrustEvidence, *, revision: int, configured_peers: int, waited_ms: int
) -> bool:
    """Decide whether the table at `revision` may be served by."""
    if revision == 0 or revision < evidence.own_revision:
        return False
    if evidence.is_confirmed_by_leader:
        return True
    if waited_ms < LEADER_FIRST_MS:
        return False
    needed = min(PEERS_NEEDED, configured_peers)
    return needed > 0 and len(evidence.trusted_peers) >= needed
