"""Finds the route of a request: the one of its host with the longest path prefix.

Path prefixes end with a slash and are compared as written. Hosts are compared without
the port and regardless of case. Pure: randomness is passed in.
"""

import random

from cinderway._ids import ServiceName
from cinderway.catalog._sheet import RouteRow, RouteSheet


class RouteIndex:
    """Routes by host and path prefix.

    The cost of a look-up grows with the number of segments of the path.
    """

    def __init__(self, sheet: RouteSheet):
        self._by_host: dict[str, dict[str, RouteRow]] = {}
        for route in sheet.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def match(self, host: str, path: str) -> RouteRow | None:
        """Return the route of a request, or None if no route matches."""
        prefixes = self._by_host.get(_strip_port(host).lower())
        if prefixes is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route


def pick_service(route: RouteRow, rng: random.Random) -> ServiceName:
    """Draw one of a route's services by weight, or evenly if all weights are 0."""
    parts = route.parts
    if len(parts) == 1:
        return parts[0].service
    weights = [part.weight for part in parts]
    if not sum(weights):
        weights = [1.0] * len(parts)
    return rng.choices([part.service for part in parts], weights)[0]


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
