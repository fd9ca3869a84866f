"""The daemon's soft view of the backend servers: who exists, who leaves, what they report."""

from collections.abc import Callable, Sequence

from verbenawind.clock import Clock
from verbenawind.kernel.messages import (
    BackendKind,
    BackendServer,
    EngineStatus,
    Location,
)

__all__ = ["Fleet", "ServerView"]

_OWN_OBSERVATION_S = 1.0


class ServerView:
    """What is believed of one incarnation of one backend server."""

    __slots__ = ("leaving", "observed_at_s", "server", "status", "status_at_s", "suspected_until_s")

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.leaving = False
        self.suspected_until_s = 0.0
        self.status: EngineStatus | None = None
        self.status_at_s = 0.0
        self.observed_at_s = float("-inf")

    def usable(self, now_s: float) -> bool:
        """Return whether new work may go to the server at monotonic time *now_s*."""
        return not self.leaving and self.suspected_until_s <= now_s


class Fleet:
    """Holds the views of all known backend servers; losing it costs time, never correctness.

    Args:
        clock: Gives the monotonic time of observations.
        location: Where this daemon runs.
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
        """Return the view of one server, None when it is unknown."""
        return self._views.get(server_id)

    def group(self, kind: BackendKind, group: str) -> Sequence[ServerView]:
        """Return the views of one pool's or one service's servers."""
        return tuple(self._groups.get((kind, group), {}).values())

    def all(self) -> Sequence[ServerView]:
        """Return every view."""
        return tuple(self._views.values())

    def add(self, server: BackendServer) -> ServerView:
        """Add a server, or replace its view when the incarnation is newer."""
        known = self._views.get(server.server_id)
        if known is not None and known.server.incarnation >= server.incarnation:
            return known
        if known is not None:
            self.forget(server.server_id)
        view = ServerView(server)
        self._views[server.server_id] = view
        self._groups.setdefault((server.kind, server.group), {})[server.server_id] = view
        return view

    def forget(self, server_id: str) -> None:
        """Drop a server that no longer exists."""
        view = self._views.pop(server_id, None)
        if view is not None:
            del self._groups[(view.server.kind, view.server.group)][server_id]

    def observe(self, status: EngineStatus) -> None:
        """Take in what an engine reported to this daemon; it may carry a newer incarnation."""
        view = self._take_in(status)
        if view is None:
            return
        view.observed_at_s = view.status_at_s
        for listener in self._observation_listeners:
            listener(status)

    def learn(self, status: EngineStatus) -> None:
        """Take in a report that a peer observed, unless this daemon has a fresher one."""
        view = self._views.get(status.server_id)
        if view is None:
            return
        fresh = self._clock.monotonic_s() - view.observed_at_s < _OWN_OBSERVATION_S
        if not fresh or status.leaving or status.incarnation > view.server.incarnation:
            self._take_in(status)

    def _take_in(self, status: EngineStatus) -> ServerView | None:
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
        """Stop new work to a server; sticky for that incarnation."""
        view = self._views.get(server_id)
        if view is None or view.leaving or incarnation < view.server.incarnation:
            return
        view.leaving = True
        for listener in self._leaving_listeners:
            listener(view)

    def suspect(self, server_id: str, duration_s: float) -> None:
        """Avoid a server for *duration_s* seconds, or until it reports again."""
        view = self._views.get(server_id)
        if view is not None:
            view.suspected_until_s = self._clock.monotonic_s() + duration_s

    def on_leaving(self, listener: Callable[[ServerView], None]) -> None:
        """Call *listener* once for each server that starts to leave."""
        self._leaving_listeners.append(listener)

    def on_observed(self, listener: Callable[[EngineStatus], None]) -> None:
        """Call *listener* with each report that this daemon observed itself."""
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
