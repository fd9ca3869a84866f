"""Chooses a backend server for one attempt: values in, choice and reason out."""

from collections.abc import Mapping, Sequence

import msgspec

from verbenawind.kernel import ServerView
from verbenawind.kernel.messages import Location

__all__ = [
    "OTHER_REGION",
    "Candidate",
    "Choice",
    "CrossingCost",
    "Tier",
    "choose_engine",
    "choose_service_host",
    "distance",
]

OTHER_REGION = 2
_BOUNDED_LOAD = 1.25
_BYTES_PER_GIB = 2.0**30


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """A chosen server and why; ``server_id`` is None when none may take the request now.

    ``usable`` is False when none could take it even if it were idle.
    """

    server_id: str | None
    reason: str
    considered: int
    usable: bool = True
    distance: int = 0
    affine: bool = False


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """An engine that serves the model freshly enough and is neither leaving nor suspected.

    ``preference`` is its place among the prefix's preferred engines, None when it is none of
    them; ``load`` is the corrected load relative to its capacity; ``free`` counts slots.
    """

    server_id: str
    preference: int | None
    load: float
    free: int


class Tier(msgspec.Struct, frozen=True, kw_only=True):
    """The candidates at one distance, and the wait that is likely there, in seconds."""

    distance: int
    candidates: tuple[Candidate, ...]
    considered: int
    wait_s: float = 0.0


class CrossingCost(msgspec.Struct, frozen=True, kw_only=True):
    """What it costs to serve a request from another region."""

    size_bytes: int
    price_per_gib: float
    waiting_price_per_s: float
    added_s: float

    def price(self) -> float:
        """Return the price of the bytes and of the added time."""
        bytes_price = self.size_bytes / _BYTES_PER_GIB * self.price_per_gib
        return bytes_price + self.added_s * self.waiting_price_per_s


def choose_engine(tiers: Sequence[Tier], crossing: CrossingCost) -> Choice:
    """Return an engine of the nearest tier that has a free slot.

    Another region is chosen only when waiting nearer costs more than crossing. Within a tier a
    preferred engine of the prefix is taken unless its load exceeds 1.25 times the mean.
    """
    considered = 0
    nearer: Tier | None = None
    for tier in tiers:
        considered += tier.considered
        if not tier.candidates:
            continue
        free = [candidate for candidate in tier.candidates if candidate.free > 0]
        if free and tier.distance == OTHER_REGION and nearer is not None:
            waiting = nearer.wait_s * crossing.waiting_price_per_s
            if waiting <= crossing.price():
                return _none("waiting nearer costs less than crossing regions", considered)
        if free:
            return _within(free, tier.distance, considered)
        nearer = nearer or tier
    if nearer is None:
        return msgspec.structs.replace(_none("no usable engine", considered), usable=False)
    return _none("every usable engine is at its limit", considered)


def _none(reason: str, considered: int) -> Choice:
    return Choice(server_id=None, reason=reason, considered=considered)


def _within(free: Sequence[Candidate], far: int, considered: int) -> Choice:
    bound = _BOUNDED_LOAD * sum(candidate.load for candidate in free) / len(free)
    preferred = [candidate for candidate in free if candidate.preference is not None]
    for candidate in sorted(preferred, key=lambda item: item.preference or 0):
        if candidate.load <= max(bound, 1.0 / candidate.free):
            return Choice(
                server_id=candidate.server_id,
                reason=f"preferred {candidate.preference} of the prefix within bounded load",
                considered=considered,
                distance=far,
                affine=candidate.preference == 0,
            )
    best = min(free, key=lambda item: (item.load, item.server_id))
    return Choice(
        server_id=best.server_id,
        reason=f"least loaded at {best.load:.2f}",
        considered=considered,
        distance=far,
        affine=best.preference == 0,
    )


def choose_service_host(
    views: Sequence[ServerView],
    *,
    location: Location,
    in_flight: Mapping[str, int],
    limit: int,
    now_s: float,
) -> Choice:
    """Return the nearest host of a plain service with a free slot, the least loaded of those."""
    usable = [view for view in views if view.usable(now_s)]
    free = [view for view in usable if in_flight.get(view.server.server_id, 0) < limit]
    if not free:
        reason = "every host is at its limit" if usable else "no usable host"
        return Choice(server_id=None, reason=reason, considered=len(views), usable=bool(usable))

    def rank(view: ServerView) -> tuple[int, int, str]:
        server_id = view.server.server_id
        return distance(view.server.location, location), in_flight.get(server_id, 0), server_id

    best = min(free, key=rank)
    return Choice(
        server_id=best.server.server_id,
        reason="nearest with a free slot, then least in flight",
        considered=len(views),
        distance=distance(best.server.location, location),
    )


def distance(there: Location, here: Location) -> int:
    """Return 0 within a zone, 1 within a region, 2 between regions."""
    if there.region != here.region:
        return OTHER_REGION
    return int(there.zone != here.zone)
