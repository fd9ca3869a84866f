"""The daemon's HTTP application."""

from typing import Any

from litestar import Litestar, Request, Response, get
from litestar.datastructures import State
from litestar.exceptions import HTTPException
from litestar.openapi import OpenAPIConfig

from verbenawind.api import fleet, openai_routes, operators, rollouts, service_calls
from verbenawind.api.errors import error_response, http_error_response, unexpected_response
from verbenawind.api.guard import RequestGuard
from verbenawind.api.services import ApiServices
from verbenawind.errors import VerbenawindError

__all__ = ["ApiServices", "build_app"]

_API_VERSION = "1"


def build_app(services: ApiServices) -> RequestGuard:
    """Return the application for *services*, wrapped in a RequestGuard."""
    app = Litestar(
        [
            livez,
            readyz,
            metrics,
            *openai_routes.HANDLERS,
            *service_calls.HANDLERS,
            *rollouts.HANDLERS,
            *operators.HANDLERS,
            *fleet.HANDLERS,
        ],
        exception_handlers={
            VerbenawindError: error_response,
            HTTPException: http_error_response,
            Exception: unexpected_response,
        },
        state=State({"services": services}),
        request_max_body_size=services.settings.limits.max_body_bytes,
        logging_config=None,  # Litestar's default starts a queue listener thread.
        openapi_config=OpenAPIConfig(title="verbenawind", version=_API_VERSION),
    )
    return RequestGuard(app, services)


@get("/livez", summary="Check liveness")
async def livez() -> str:
    """Return 200 while the process runs."""
    return "ok"


@get("/readyz", summary="Check readiness")
async def readyz(request: Request[Any, Any, Any]) -> Response[str]:
    """Return 200 while the daemon accepts new work, 503 otherwise."""
    services: ApiServices = request.app.state["services"]
    ready = services.ready()
    return Response("ok" if ready else "unready", status_code=200 if ready else 503)


@get("/metrics", summary="Return the Prometheus metrics")
async def metrics(request: Request[Any, Any, Any]) -> Response[bytes]:
    """Return the metrics in the Prometheus text format."""
    services: ApiServices = request.app.state["services"]
    content, media_type = services.metrics.render(request.headers.getall("accept", []))
    return Response(content, media_type=media_type)
