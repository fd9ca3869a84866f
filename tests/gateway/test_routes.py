"""Tests of route matching by host and prefix, and of the weights of services."""

import math

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from verbenawind.gateway import (
    GatewayConfiguration,
    IngressLimits,
    Route,
    RouteKind,
    RouteTable,
    ServiceShare,
    service_of,
)

LIMITS = IngressLimits(
    max_header_bytes=1, max_body_bytes=1, header_timeout_s=1.0, idle_timeout_s=1.0
)


def route(prefix: str, host: str = "a.example", *shares: ServiceShare) -> Route:
    """Return a route for a path prefix, which is also its name."""
    return Route(
        name=prefix,
        host=host,
        path_prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        timeout_s=math.inf,
        target_latency_s=0.2,
        max_attempts=2,
        priority=0,
        services=shares or (ServiceShare(service="s", weight=1.0),),
    )


def table(*routes: Route) -> RouteTable:
    """Return a route table for these routes."""
    return RouteTable(GatewayConfiguration(version=1, routes=routes, services={}, limits=LIMITS))


class TestMatch:
    def test_longest_prefix_wins(self) -> None:
        """The longest matching prefix determines the route."""
        routes = table(route("/"), route("/a/"), route("/a/b/"))
        for path, prefix in (
            ("/", "/"),
            ("/x", "/"),
            ("/a", "/"),
            ("/a/", "/a/"),
            ("/a/b", "/a/"),
            ("/a/b/c/d", "/a/b/"),
        ):
            found = routes.match("a.example", path)
            assert found is not None and found.path_prefix == prefix

    def test_host_is_matched_first(self) -> None:
        """Each host has its own routes. The port and the case of the host are ignored."""
        routes = table(route("/a/"), route("/b/", "b.example"))
        assert routes.match("b.example", "/a/x") is None
        assert routes.match("B.example:8080", "/b/x") is not None

    @given(
        st.lists(st.sampled_from(["/", "/a/", "/a/b/", "/ab/", "/a/b/c/"]), unique=True),
        st.text("/abc"),
    )
    def test_agrees_with_linear_search(self, prefixes: list[str], tail: str) -> None:
        """The result is that of a linear search through all prefixes."""
        path = f"/{tail}"
        expected = max((p for p in prefixes if path.startswith(p)), key=len, default=None)
        found = table(*map(route, prefixes)).match("a.example", path)
        assert (found.path_prefix if found else None) == expected


class TestShares:
    def test_weights_are_respected(self) -> None:
        """Requests are distributed by weight, and a request id always maps to the same service."""
        shared = route(
            "/",
            "a.example",
            ServiceShare(service="big", weight=90.0),
            ServiceShare(service="small", weight=10.0),
        )
        services = [service_of(shared, f"r{number}") for number in range(2000)]
        assert 120 < services.count("small") < 280
        assert services == [service_of(shared, f"r{number}") for number in range(2000)]


class TestRoutesWithoutServices:
    def test_route_without_services_names_a_service_without_servers(self) -> None:
        """A configuration whose weights are all zero must not fail each request and each item."""
        empty = msgspec.structs.replace(route("/a/"), services=())
        assert service_of(empty, "x") == ""
