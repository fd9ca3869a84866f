"""Builds the daemon's HTTP application."""

from collections.abc import Callable

from litestar import Litestar, Response, get
from litestar.datastructures import State

from verbenawind.api import callers, operators, rollouts
from verbenawind.api.errors import error_response
from verbenawind.api.services import ApiServices
from verbenawind.errors import VerbenawindError

__all__ = ["ApiServices", "build_app"]


def build_app(services: ApiServices, ready: Callable[[], bool]) -> Litestar:
    """Return the application over *services*; ``/readyz`` answers by *ready*."""

    @get("/livez")
    async def livez() -> str:
        """Answer while the process runs."""
        return "ok"

    @get("/readyz")
    async def readyz() -> Response[str]:
        """Answer 200 while the daemon takes new work."""
        return Response("ok" if ready() else "unready", status_code=200 if ready() else 503)

    return Litestar(
        [livez, readyz, *callers.HANDLERS, *rollouts.HANDLERS, *operators.HANDLERS],
        exception_handlers={VerbenawindError: error_response},
        state=State({"services": services}),
        request_max_body_size=services.settings.limits.max_body_bytes,
    )
