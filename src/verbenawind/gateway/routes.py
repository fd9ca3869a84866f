"""Finds the route of a request by its host and longest path prefix."""

from collections.abc import Mapping

import xxhash

from verbenawind.gateway.types import GatewayConfiguration, Route

__all__ = ["RouteTable", "service_of"]

_HASH_SPACE = 2**32


class RouteTable:
    """The routes of one configuration, by host.

    Args:
        configuration: The configuration in force.
    """

    __slots__ = ("_by_host", "configuration")

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest path prefix that matches.

        Args:
            host: The Host header, with or without a port.
            path: The path without its query.
        """
        routes: Mapping[str, Route] = self._by_host.get(host.partition(":")[0].lower(), {})
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def service_of(route: Route, request_id: str) -> str:
    """Return the service for a request. The same request id always maps to the same service.

    A route without services has the service of no name, which has no servers.
    """
    if not route.services:
        return ""
    if len(route.services) == 1:
        return route.services[0].service
    point = xxhash.xxh32_intdigest(request_id.encode()) / _HASH_SPACE
    point *= sum(share.weight for share in route.services)
    for share in route.services:
        point -= share.weight
        if point < 0:
            return share.service
    return route.services[-1].service
