"""Classes of work, and the services that different classes share."""

from dataclasses import dataclass

from cinderway._ids import RouteName, ServiceName
from cinderway.catalog import RouteSheet


@dataclass(frozen=True)
class WorkClass:
    """Requests of one route and urgency at one service.

    Priority 0 is the most urgent. `objective_ms` is 0 if the route has no objective.
    """

    service: ServiceName
    route: RouteName
    priority: int
    objective_ms: int


def find_shared_services(sheet: RouteSheet) -> set[ServiceName]:
    """Return the services that routes of different work or different urgency share.

    The sheet does not say how long requests take; routes of another kind or objective
    are taken to do other work. Where accounts have priorities of their own, one route
    alone carries work of different urgency.
    """
    kinds: dict[ServiceName, set[tuple]] = {}
    for route in sheet.routes:
        for part in route.used_parts:
            kind = (route.kind, route.priority, route.objective_ms)
            kinds.setdefault(part.service, set()).add(kind)
    priorities = {account.priority for account in sheet.accounts or []} - {None}
    return {
        service
        for service, found in kinds.items()
        if len(found) > 1 or priorities - {priority for _, priority, _ in found}
    }
