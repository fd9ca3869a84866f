"""The endpoint through which application callers call plain services."""

from typing import Any
from urllib.parse import unquote

from litestar import HttpMethod, Request, Response, route

from verbenawind.api.headers import (
    deadline_s,
    forwarded_headers,
    idempotency_key,
    request_id,
    returned_headers,
)
from verbenawind.api.services import caller_context
from verbenawind.document import CallerSpec, EnvironmentRevision, ServiceSpec
from verbenawind.errors import Forbidden, InvalidRequest, UnknownResource
from verbenawind.kernel.messages import ServiceRequest

__all__ = ["HANDLERS"]

_BASE = "/environments/{environment:str}/{stage:str}/v1"
_METHODS = [
    HttpMethod.GET,
    HttpMethod.HEAD,
    HttpMethod.POST,
    HttpMethod.PUT,
    HttpMethod.PATCH,
    HttpMethod.DELETE,
    HttpMethod.OPTIONS,
]
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
_MAX_PATH_LENGTH = 4096
_SLASHES_BEFORE_SERVICE_PATH = 7


@route(
    _BASE + "/services/{service:str}/{path:path}",
    http_method=_METHODS,
    status_code=200,
    summary="Call a plain service",
)
async def call_service(
    request: Request[Any, Any, Any], environment: str, stage: str, service: str, path: str
) -> Response[bytes]:
    """Route a call to a plain service and return its complete response.

    A call that the document declares as not idempotent needs an ``Idempotency-Key`` and runs at
    most once.
    """
    services, revision, caller = caller_context(request, environment, stage)
    spec = _authorized_service(revision, caller, service)
    raw_path = _raw_path(request, path)
    response = await services.service_caller.call_service(
        ServiceRequest(
            request_id=request_id(request),
            environment=revision.name,
            caller=caller.name,
            service=service,
            method=request.method,
            path=raw_path,
            query=request.url.query,
            headers=forwarded_headers(request),
            body=await request.body(),
            deadline_s=deadline_s(request, services, spec.timeout_s),
            idempotent=_is_idempotent(spec, request.method, unquote(raw_path)),
            idempotency_key=idempotency_key(request),
            priority=caller.priority,
        ),
        spec,
    )
    headers = returned_headers(response.headers)
    media_type = next(
        (value for name, value in headers.items() if name.lower() == "content-type"),
        "application/octet-stream",
    )
    other_headers = {
        name: value for name, value in headers.items() if name.lower() != "content-type"
    }
    return Response(
        response.body, status_code=response.status, media_type=media_type, headers=other_headers
    )


HANDLERS = [call_service]


def _authorized_service(
    revision: EnvironmentRevision, caller: CallerSpec, name: str
) -> ServiceSpec:
    spec = revision.document.service(name)
    if spec is None:
        raise UnknownResource(f"environment {revision.name} has no service {name[:64]!r}")
    if name not in caller.services:
        raise Forbidden(f"caller {caller.name!r} may not use service {name!r}")
    return spec


def _raw_path(request: Request[Any, Any, Any], path: str) -> str:
    """Return the path within the service, with the caller's percent-encoding.

    Raises:
        InvalidRequest: The service could resolve the path to another route than the daemon.
    """
    raw = (
        "/" + request.scope["raw_path"].decode("ascii").split("/", _SLASHES_BEFORE_SERVICE_PATH)[-1]
    )
    decoded = unquote(raw)
    segments = decoded[1:].split("/")
    ambiguous = any(part in (".", "..") for part in segments) or "" in segments[:-1]
    unchanged = decoded.rstrip("/") == path.rstrip("/")
    if ambiguous or not unchanged or "\\" in decoded or len(raw) > _MAX_PATH_LENGTH:
        raise InvalidRequest(f"path {decoded[:64]!r}: '.', '..', '//' and '\\' are not allowed")
    return raw


def _is_idempotent(spec: ServiceSpec, method: str, path: str) -> bool:
    matching = [
        route
        for route in spec.routes
        if path.startswith(route.path_prefix) and (not route.methods or method in route.methods)
    ]
    if not matching:
        return method in _IDEMPOTENT_METHODS
    longest = max(len(route.path_prefix) for route in matching)
    return all(route.idempotent for route in matching if len(route.path_prefix) == longest)
