"""Which services get requests of different kinds, or of client accounts. Pure."""

from cinderway._ids import ServiceName
from cinderway.catalog._sheet import RouteSheet


def find_services_with_mixed_work(sheet: RouteSheet) -> frozenset[ServiceName]:
    """Return the services whose routes differ in kind, priority or objective.

    If the sheet has client accounts, these are all services that routes refer to.
    """
    work: dict[ServiceName, set[tuple]] = {}
    for route in sheet.routes:
        described = (route.kind, route.priority, route.objective_ms)
        for part in route.used_parts:
            work.setdefault(part.service, set()).add(described)
    if sheet.accounts:
        return frozenset(work)
    return frozenset(name for name, kinds in work.items() if len(kinds) > 1)
