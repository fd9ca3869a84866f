"""Switches for the routing mechanisms; benchmarks set them to compare variants."""

import msgspec

__all__ = ["RoutingPolicy"]


class RoutingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Which routing mechanisms are enabled.

    Attributes:
        max_queued: Maximum number of requests queued at this daemon per pool or service.
        fair: Callers share slots by weight and application requests take precedence over
            rollouts. Otherwise requests are served in order of arrival.
        shed: A request that is predicted to miss its deadline is refused on arrival.
        limited: The requests in flight on each engine stay within its adaptive limit.
        affinity: Prompts are routed to the preferred engines of their prefix.
        reserve: Slots are kept free for application requests.
    """

    max_queued: int = 20_000
    fair: bool = True
    shed: bool = True
    limited: bool = True
    affinity: bool = True
    reserve: bool = True
