"""When a restarted entry may serve with the table that it received.

An entry has no disk, so after a restart it does not know which revision it had in
force. Serving with an older table would revert an accepted configuration; not serving
removes capacity. The entry serves once one of these holds:

1. The control leader, confirmed by a quorum, sent the table: no newer revision was ever
   acknowledged.
2. Control is unreachable, at least two other entries that are serving themselves (or
   one, if only one is configured) sent their tables, and none of them has seen this
   entry report a newer revision than it has now. Entries report their revision to each
   other each second, and a revision is in force on all of them within seconds, so both
   of those entries would have to be partitioned off for longer than this entry was.

Otherwise the entry stays not ready: the load balancer has other entries, and a single
entry without a table cannot route requests anyway.
"""

from dataclasses import dataclass, field

from cinderway._ids import Address

PEERS_NEEDED = 2
# How long to wait for the leader before relying on peers, which is the second choice.
LEADER_GRACE_MS = 2_000


@dataclass
class TrustEvidence:
    """What other processes have reported since this entry started."""

    is_confirmed_by_leader: bool = False
    own_revision: int = 0
    trusted_peers: set[Address] = field(default_factory=set)

    def record_own_revision(self, revision: int) -> None:
        """Record the highest revision that some process has seen this entry report."""
        self.own_revision = max(self.own_revision, revision)

    def record_trusted_peer(self, address: Address) -> None:
        """Record that an entry that is serving itself sent its table."""
        self.trusted_peers.add(address)


def can_trust_table(
    evidence: TrustEvidence, *, revision: int, configured_peers: int, waited_ms: int
) -> bool:
    """Whether this entry may serve with the table at `revision`."""
    if revision == 0 or revision < evidence.own_revision:
        return False
    if evidence.is_confirmed_by_leader:
        return True
    if waited_ms < LEADER_GRACE_MS:
        return False
    needed = min(PEERS_NEEDED, configured_peers)
    return needed > 0 and len(evidence.trusted_peers) >= needed
