"""How many votes elect a leader, and how many copies commit an entry.

A plain membership uses majorities. A membership with `tolerated_losses` is one whose
members are replaced while the group runs: a replaced member may be gone for good, still
voting by the books, at the moment at which that many disks are lost. Then fewer than a
majority may be left. Two things together keep such a group available:

- entries are on more than a majority of the members where a majority could vanish at
  once (`copies_needed`);
- a member whose disk is known to be lost is not waited for: its loss is proven by a new
  replica without any state that runs at its address (`Elections`).

Two quorums of one membership always have a member in common that took part in both,
provided that a proven loss precedes the first vote of the election that relies on it.
docs/design/quorums.md has the argument.
"""

from collections.abc import Callable, Iterable, Set

from cinderway._ids import ReplicaId
from cinderway.replication._messages import Membership

NONE_LOST: frozenset[ReplicaId] = frozenset()


def counts_proven_losses(membership: Membership) -> bool:
    """Whether a quorum may do without a voter that is proven to be lost."""
    tolerated = membership.tolerated_losses
    if tolerated == 0:
        return False
    if len(membership.voters) > 2 * tolerated + 1:
        return True
    return membership.counts_all_proofs and _max_reduction(membership) > 0


def _max_reduction(membership: Membership) -> int:
    """Return how many proven losses a quorum may do without at most.

    With more of them, two quorums could be disjoint.
    """
    return 2 * copies_needed(membership) - len(membership.voters) - 1


def copies_needed(membership: Membership) -> int:
    """Return on how many voters an entry must be to be committed.

    As many replacements as losses are tolerated can be under way at once, so that as
    many replaced members may vanish together with as many lost disks.
    """
    voters, tolerated = len(membership.voters), membership.tolerated_losses
    majority = voters // 2 + 1
    return max(majority, min(voters - tolerated, 2 * tolerated + 1))


def quorum_size(membership: Membership, lost: Set[ReplicaId] = NONE_LOST) -> int:
    """Return how many voters are a quorum, given the voters proven to be lost."""
    needed = copies_needed(membership)
    if not counts_proven_losses(membership):
        return needed
    proven = len(membership.voters & lost)
    return needed - min(proven, _max_reduction(membership))


def is_quorum(
    membership: Membership,
    ids: Iterable[ReplicaId],
    lost: Set[ReplicaId] = NONE_LOST,
) -> bool:
    """Whether the ids include a quorum; ids that are not voters do not count."""
    present = membership.voters.intersection(ids)
    return len(present) >= quorum_size(membership, lost)


def quorum_value(
    membership: Membership,
    value_of: Callable[[ReplicaId], int],
    lost: Set[ReplicaId] = NONE_LOST,
) -> int:
    """Return the largest value that a quorum has reached."""
    values = sorted(map(value_of, membership.voters), reverse=True)
    return values[quorum_size(membership, lost) - 1]
