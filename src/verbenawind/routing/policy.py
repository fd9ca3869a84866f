"""How a daemon routes; benches set the ways that are weighed side by side."""

import msgspec

__all__ = ["RoutingPolicy"]


class RoutingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Which mechanisms are in force.

    ``max_queued`` bounds the requests that wait at this daemon for one pool or service. With
    ``fair`` callers share by weight and applications go first, otherwise first come, first
    served. With ``shed`` a request that would miss its deadline is refused on arrival. With
    ``limited`` engines get no more than their adaptive limit. With ``affinity`` prompts go to
    the preferred engines of their prefix. With ``reserve`` applications keep their share.
    """

    max_queued: int = 20_000
    fair: bool = True
    shed: bool = True
    limited: bool = True
    affinity: bool = True
    reserve: bool = True
