"""Selects the backend server for one attempt, as pure functions without I/O."""

from collections.abc import Mapping, Sequence

import msgspec

from verbenawind.kernel import ServerView
from verbenawind.kernel.messages import Location

__all__ = [
    "OTHER_REGION_DISTANCE",
    "Candidate",
    "Choice",
    "CrossRegionCost",
    "Tier",
    "choose_engine",
    "choose_service_host",
    "distance",
]

OTHER_REGION_DISTANCE = 2
_MAX_LOAD_TO_MEAN = 1.25
_BYTES_PER_GIB = 2.0**30


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a server selection, with its reason.

    ``server_id`` is None if no server can accept the request now. ``usable`` is False if no
    server could accept it even when idle. ``considered`` is the number of servers examined.
    ``is_first_preference`` tells whether the server is the most preferred one of the prefix.
    """

    server_id: str | None
    reason: str
    considered: int
    usable: bool = True
    distance: int = 0
    is_first_preference: bool = False


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """An engine that serves a recent enough version of the model, not leaving and not suspected.

    ``preference`` is its rank among the preferred engines of the prefix, None if it is not among
    them. ``load`` is the estimated number of requests on it, this daemon's and others', divided
    by its capacity. ``free`` is the number of slots that this daemon may still use on it.
    """

    server_id: str
    preference: int | None
    load: float
    free: int


class Tier(msgspec.Struct, frozen=True, kw_only=True):
    """The candidates at one distance, and the expected queue wait for them, in seconds."""

    distance: int
    candidates: tuple[Candidate, ...]
    considered: int
    wait_s: float = 0.0


class CrossRegionCost(msgspec.Struct, frozen=True, kw_only=True):
    """The cost of serving a request from another region."""

    size_bytes: int
    price_per_gib: float
    waiting_price_per_s: float
    added_s: float

    def price(self) -> float:
        """Return the price of the transferred bytes plus that of the added latency."""
        bytes_price = self.size_bytes / _BYTES_PER_GIB * self.price_per_gib
        return bytes_price + self.added_s * self.waiting_price_per_s


def choose_engine(tiers: Sequence[Tier], cross_region: CrossRegionCost) -> Choice:
    """Return an engine of the nearest tier that has a free slot.

    If nearer engines exist but are all busy, another region is chosen only when waiting for them
    costs more than the cross-region request. Within a tier a preferred engine of the prefix is
    chosen unless its load exceeds 1.25 times the mean of the engines with free slots.
    """
    considered = 0
    nearer: Tier | None = None
    for tier in tiers:
        considered += tier.considered
        if not tier.candidates:
            continue
        free = [candidate for candidate in tier.candidates if candidate.free > 0]
        if free and tier.distance == OTHER_REGION_DISTANCE and nearer is not None:
            waiting_price = nearer.wait_s * cross_region.waiting_price_per_s
            if waiting_price <= cross_region.price():
                return _no_choice(
                    "waiting for a nearer engine costs less than using another region", considered
                )
        if free:
            return _choose_in_tier(free, tier.distance, considered)
        nearer = nearer or tier
    if nearer is None:
        return msgspec.structs.replace(_no_choice("no usable engine", considered), usable=False)
    return _no_choice("every usable engine is at its concurrency limit", considered)


def _no_choice(reason: str, considered: int) -> Choice:
    return Choice(server_id=None, reason=reason, considered=considered)


def _choose_in_tier(free: Sequence[Candidate], tier_distance: int, considered: int) -> Choice:
    max_load = _MAX_LOAD_TO_MEAN * sum(candidate.load for candidate in free) / len(free)
    preferred = [candidate for candidate in free if candidate.preference is not None]
    for candidate in sorted(preferred, key=lambda item: item.preference or 0):
        if candidate.load <= max(max_load, 1.0 / candidate.free):
            return Choice(
                server_id=candidate.server_id,
                reason=f"preference {candidate.preference} of the prefix, within the load bound",
                considered=considered,
                distance=tier_distance,
                is_first_preference=candidate.preference == 0,
            )
    best = min(free, key=lambda item: (item.load, item.server_id))
    return Choice(
        server_id=best.server_id,
        reason=f"least loaded engine, load {best.load:.2f}",
        considered=considered,
        distance=tier_distance,
        is_first_preference=best.preference == 0,
    )


def choose_service_host(
    views: Sequence[ServerView],
    *,
    location: Location,
    in_flight: Mapping[str, int],
    limit: int,
    now_s: float,
) -> Choice:
    """Return the nearest host of a service with a free slot, the least loaded one among equals."""
    usable = [view for view in views if view.usable(now_s)]
    free = [view for view in usable if in_flight.get(view.server.server_id, 0) < limit]
    if not free:
        reason = "every host is at its concurrency limit" if usable else "no usable host"
        return Choice(server_id=None, reason=reason, considered=len(views), usable=bool(usable))

    def rank(view: ServerView) -> tuple[int, int, str]:
        server_id = view.server.server_id
        return distance(view.server.location, location), in_flight.get(server_id, 0), server_id

    best = min(free, key=rank)
    return Choice(
        server_id=best.server.server_id,
        reason="nearest host with a free slot, then fewest requests in flight",
        considered=len(views),
        distance=distance(best.server.location, location),
    )


def distance(other: Location, own: Location) -> int:
    """Return 0 within one zone, 1 within one region, 2 between regions."""
    if other.region != own.region:
        return OTHER_REGION_DISTANCE
    return int(other.zone != own.zone)
