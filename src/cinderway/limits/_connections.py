"""Divide a server's connection limit among the entries, without coordination."""

from dataclasses import dataclass

# With fewer, an entry could not send two concurrent requests to one server.
MINIMUM_PER_ENTRY = 2
# Subsets are chosen by hashing, so some servers are in more subsets than the mean.
# Only this share of a server's connection limit is planned for.
HASHING_MARGIN = 0.7


@dataclass(frozen=True)
class ConnectionPlan:
    """The servers of a service that one entry uses, and connections to each."""

    subset_size: int
    per_entry: int


def plan_connections(
    connection_limit: int, entries: int, servers: int
) -> ConnectionPlan:
    """Return the plan by which all entries together respect a server's limit.

    While the limit allows two or more connections per entry, all entries use all
    servers, and the limit always holds. With more entries, each uses a subset of the
    servers, and the limit holds with a margin over the mean. With too few servers for
    such subsets the limit cannot be kept, and each entry uses a single connection.
    """
    per_entry = connection_limit // max(entries, 1)
    if per_entry >= MINIMUM_PER_ENTRY or servers == 0:
        return ConnectionPlan(servers, max(per_entry, 1))
    entries_per_server = connection_limit / MINIMUM_PER_ENTRY * HASHING_MARGIN
    subset_size = int(entries_per_server * servers / entries)
    if subset_size == 0:
        # Too few servers for the fleet: fall back to one connection to one server.
        return ConnectionPlan(1, 1)
    return ConnectionPlan(subset_size, MINIMUM_PER_ENTRY)
