"""Chooses a backend server for one attempt: values in, choice and reason out."""

from collections.abc import Collection, Mapping, Sequence

import msgspec

from verbenawind.kernel import ServerView
from verbenawind.kernel.messages import Location

__all__ = ["Choice", "choose_engine", "choose_service_host", "distance"]


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """A chosen server and why; ``server_id`` is None when none may take the request now.

    ``usable`` is False when none could take it even if it were idle.
    """

    server_id: str | None
    reason: str
    considered: int
    usable: bool = True


def choose_engine(
    views: Sequence[ServerView],
    *,
    model: str,
    min_version: int | None,
    location: Location,
    in_flight: dict[str, int],
    limit: int,
    excluded: Collection[str],
    now_s: float,
) -> Choice:
    """Return the least loaded, nearest usable engine that serves the model freshly enough."""
    candidates = [
        view
        for view in views
        if view.server.server_id not in excluded
        and view.usable(now_s)
        and _serves(view, model, min_version)
        and in_flight.get(view.server.server_id, 0) < limit
    ]
    if not candidates:
        return Choice(server_id=None, reason="no usable engine", considered=len(views))

    def cost(view: ServerView) -> tuple[int, int, str]:
        server = view.server
        distance = (server.location.region != location.region) + (
            server.location.zone != location.zone
        )
        return in_flight.get(server.server_id, 0), distance, server.server_id

    best = min(candidates, key=cost)
    return Choice(
        server_id=best.server.server_id,
        reason="least in flight, then nearest",
        considered=len(views),
    )


def _serves(view: ServerView, model: str, min_version: int | None) -> bool:
    status = view.status.model(model) if view.status else None
    if status is None:
        return False
    if min_version is None:
        return True
    return status.active_version is not None and status.active_version >= min_version


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
    )


def distance(there: Location, here: Location) -> int:
    """Return 0 within a zone, 1 within a region, 2 between regions."""
    if there.region != here.region:
        return 2
    return int(there.zone != here.zone)
