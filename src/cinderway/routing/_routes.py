"""Look-up of a path's service by the longest matching path prefix in the table."""

from dataclasses import dataclass

from cinderway._ids import ServiceName
from cinderway.table import ServiceRow


@dataclass(frozen=True)
class RouteMatch:
    """A request's service, and whether the request may run at most once."""

    service: ServiceRow
    is_run_once: bool


class RouteTable:
    """Path prefixes of all services, which match whole path segments.

    A look-up takes one step for each segment of the path.
    """

    def __init__(self, services: list[ServiceRow]):
        self._services: dict[str, ServiceRow] = {}
        self._run_once: dict[tuple[ServiceName, str], list[str]] = {}
        for service in services:
            for route in service.routes:
                self._services[_without_slash(route)] = service
            for rule in service.run_once_routes:
                method, _, prefix = rule.partition(":")
                prefixes = self._run_once.setdefault((service.name, method), [])
                prefixes.append(_without_slash(prefix))

    def match(self, method: str, path: str) -> RouteMatch | None:
        """Return the request's service, or None if no route covers the path."""
        prefix = _without_slash(path)
        while True:
            service = self._services.get(prefix)
            if service is not None:
                is_run_once = self._is_run_once(service, method, path)
                return RouteMatch(service, is_run_once)
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]

    def _is_run_once(self, service: ServiceRow, method: str, path: str) -> bool:
        prefixes = self._run_once.get((service.name, method), ())
        return any(_covers(prefix, path) for prefix in prefixes)


def _without_slash(path: str) -> str:
    return path.rstrip("/")


def _covers(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(prefix + "/")
