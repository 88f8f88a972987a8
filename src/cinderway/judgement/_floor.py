"""The floor: the capacity of a service that ejections must leave in use."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from cinderway._ids import ServerName
from cinderway.table import ServiceRow

FULL_PERCENT = 100


@dataclass(frozen=True)
class Capacity:
    """The properties of a backend server that the floor depends on.

    `is_available` is false for a server that is draining, cold or without weight; it
    does not count as capacity, whatever the cause. `is_condemned` is true for a server
    that should be ejected; a higher `score` means stronger evidence against it.
    """

    server: ServerName
    slots: int
    is_available: bool
    is_condemned: bool
    score: float


def compute_floor_slots(service: ServiceRow, table_slots: int) -> int:
    """Return the floor in slots: the larger of the service's two floor settings."""
    share_slots = math.ceil(table_slots * service.floor_percent / FULL_PERCENT)
    return max(service.floor_slots, share_slots)


def permitted_ejections(
    servers: Iterable[Capacity], floor_slots: int
) -> frozenset[ServerName]:
    """Return the condemned servers that may be ejected.

    The available servers that are not ejected keep at least `floor_slots` slots. If
    they have fewer even without any ejection, nothing is ejected. Servers with the
    lowest score are reinstated first. The result depends on the current state only, so
    a server is reinstated at once when capacity falls for another reason.
    """
    servers = list(servers)
    condemned = sorted(
        (server for server in servers if server.is_condemned),
        key=lambda server: (server.score, server.server),
    )
    healthy_slots = sum(
        server.slots
        for server in servers
        if server.is_available and not server.is_condemned
    )
    ejected = {server.server for server in condemned}
    for least_bad in condemned:
        if healthy_slots >= floor_slots:
            break
        ejected.discard(least_bad.server)
        if least_bad.is_available:
            healthy_slots += least_bad.slots
    return frozenset(ejected)
