"""A leader's view of each member, and the next member change."""

from collections.abc import Callable
from dataclasses import dataclass

from cinderway._ids import Address, ReplicaId
from cinderway.replication._messages import Member, Membership


@dataclass
class Progress:
    """How far one member's log is known to match the leader's.

    `joined_at_index` is the index of the membership entry that added the member. A
    learner below it has not even received that entry, so it has not caught up, however
    short the log is. `round` is the latest broadcast round that the member answered.
    `supports_proven_losses` and `supports_all_proofs` are None until the member has
    answered this leader.
    """

    next_index: int
    last_heard_ms: int
    joined_at_index: int
    match_index: int = 0
    round: int = 0
    snapshot_retry_at_ms: int = 0
    supports_proven_losses: bool | None = None
    supports_all_proofs: bool | None = None
    is_leaving: bool = False


def next_membership(
    membership: Membership,
    joining: dict[ReplicaId, Address],
    is_caught_up: Callable[[ReplicaId], bool],
) -> Membership | None:
    """Return the membership after the next single change, or None if none is due.

    A replica that joins from the address of an existing member has replaced that
    member after the loss of its data folder, since two processes cannot listen on one
    address. The old replica id is removed first: voters {A, B, old} and {A, B, new}
    have majorities without a common replica, so swapping them in one step is not safe.
    """
    for replica_id, address in joining.items():
        if replica_id in membership.members:
            continue
        replaced = find_member_at(membership, address)
        if replaced is not None:
            return membership.without(replaced)
        return membership.with_member(replica_id, Member(address, is_voter=False))
    for replica_id, member in membership.members.items():
        if not member.is_voter and is_caught_up(replica_id):
            return membership.with_member(
                replica_id, Member(member.address, is_voter=True)
            )
    return None


def find_member_at(membership: Membership, address: Address) -> ReplicaId | None:
    """Return the member that has an address, if any."""
    for replica_id, member in membership.members.items():
        if member.address == address:
            return replica_id
    return None
