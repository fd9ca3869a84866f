"""Chooses a backend server for one attempt: values in, choice and reason out."""

from collections.abc import Collection, Sequence

import msgspec

from verbenawind.kernel import ServerView
from verbenawind.kernel.messages import Location

__all__ = ["Choice", "choose_engine"]


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """A chosen server and why; ``server_id`` is None when none may take the request."""

    server_id: str | None
    reason: str
    considered: int


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
