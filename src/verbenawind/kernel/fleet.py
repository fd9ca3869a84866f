"""A daemon's soft state about backend servers: which exist, which are leaving, their status."""

from collections.abc import Callable, Sequence

from verbenawind.clock import Clock
from verbenawind.kernel.messages import (
    BackendKind,
    BackendServer,
    EngineStatus,
    Location,
)

__all__ = ["Fleet", "ServerView"]

# Peer reports are ignored for this long after this daemon observed the engine itself.
_OWN_OBSERVATION_MAX_AGE_S = 1.0


class ServerView:
    """The known state of one incarnation of a backend server."""

    __slots__ = ("leaving", "observed_at_s", "server", "status", "status_at_s", "suspected_until_s")

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.leaving = False
        self.suspected_until_s = 0.0
        self.status: EngineStatus | None = None
        self.status_at_s = 0.0
        self.observed_at_s = float("-inf")

    def usable(self, now_s: float) -> bool:
        """Return whether new work may be sent to the server at monotonic time *now_s*."""
        return not self.leaving and self.suspected_until_s <= now_s


class Fleet:
    """Views of all known backend servers; losing them costs time but not correctness.

    Args:
        clock: Time source for observations.
        location: Location of this daemon.
    """

    __slots__ = (
        "_clock",
        "_groups",
        "_leaving_listeners",
        "_observation_listeners",
        "_views",
        "location",
    )

    def __init__(self, clock: Clock, location: Location) -> None:
        self._clock = clock
        self.location = location
        self._views: dict[str, ServerView] = {}
        self._groups: dict[tuple[BackendKind, str], dict[str, ServerView]] = {}
        self._leaving_listeners: list[Callable[[ServerView], None]] = []
        self._observation_listeners: list[Callable[[EngineStatus], None]] = []

    def view(self, server_id: str) -> ServerView | None:
        """Return the view of a server, or None if the server is unknown."""
        return self._views.get(server_id)

    def group(self, kind: BackendKind, group: str) -> Sequence[ServerView]:
        """Return the views of the servers of one pool or service."""
        return tuple(self._groups.get((kind, group), {}).values())

    def all(self) -> Sequence[ServerView]:
        """Return all views."""
        return tuple(self._views.values())

    def add(self, server: BackendServer) -> ServerView:
        """Add a server, or replace its view if the incarnation is newer."""
        known = self._views.get(server.server_id)
        if known is not None and known.server.incarnation >= server.incarnation:
            return known
        if known is not None:
            self.remove(server.server_id)
        view = ServerView(server)
        self._views[server.server_id] = view
        self._groups.setdefault((server.kind, server.group), {})[server.server_id] = view
        return view

    def remove(self, server_id: str) -> None:
        """Remove a server that no longer exists."""
        view = self._views.pop(server_id, None)
        if view is not None:
            del self._groups[(view.server.kind, view.server.group)][server_id]

    def observe(self, status: EngineStatus) -> None:
        """Apply a status that this daemon observed; it may have a newer incarnation."""
        view = self._apply_status(status)
        if view is None:
            return
        view.observed_at_s = view.status_at_s
        for listener in self._observation_listeners:
            listener(status)

    def apply_peer_status(self, status: EngineStatus) -> None:
        """Apply a status observed by a peer.

        It is ignored while this daemon's own observation is recent, unless it says that the engine
        is leaving or has a newer incarnation.
        """
        view = self._views.get(status.server_id)
        if view is None:
            return
        fresh = self._clock.monotonic_s() - view.observed_at_s < _OWN_OBSERVATION_MAX_AGE_S
        if not fresh or status.leaving or status.incarnation > view.server.incarnation:
            self._apply_status(status)

    def _apply_status(self, status: EngineStatus) -> ServerView | None:
        view = self._views.get(status.server_id)
        if view is None or status.incarnation < view.server.incarnation:
            return None
        if status.incarnation > view.server.incarnation:
            view = self.add(_with_incarnation(view.server, status.incarnation))
        view.status = status
        view.status_at_s = self._clock.monotonic_s()
        view.suspected_until_s = 0.0
        if status.leaving:
            self.mark_leaving(status.server_id, status.incarnation)
        return view

    def mark_leaving(self, server_id: str, incarnation: int) -> None:
        """Stop sending new work to a server; permanent for that incarnation."""
        view = self._views.get(server_id)
        if view is None or view.leaving or incarnation < view.server.incarnation:
            return
        view.leaving = True
        for listener in self._leaving_listeners:
            listener(view)

    def suspect(self, server_id: str, duration_s: float) -> None:
        """Avoid a server for *duration_s* seconds or until its next status arrives."""
        view = self._views.get(server_id)
        if view is not None:
            view.suspected_until_s = self._clock.monotonic_s() + duration_s

    def on_leaving(self, listener: Callable[[ServerView], None]) -> None:
        """Call *listener* once for each server that begins leaving."""
        self._leaving_listeners.append(listener)

    def on_observed(self, listener: Callable[[EngineStatus], None]) -> None:
        """Call *listener* with each status that this daemon observed itself."""
        self._observation_listeners.append(listener)


def _with_incarnation(server: BackendServer, incarnation: int) -> BackendServer:
    return BackendServer(
        server_id=server.server_id,
        kind=server.kind,
        group=server.group,
        address=server.address,
        location=server.location,
        incarnation=incarnation,
    )
