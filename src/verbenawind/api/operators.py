"""The operators' interface: documents, revisions and status."""

from typing import Any

import msgspec
from litestar import Request, Response, get, post, put

from verbenawind.api.auth import authenticate_operator
from verbenawind.api.services import ApiServices
from verbenawind.document import Stage, parse_document
from verbenawind.errors import InvalidRequest, UnknownEnvironment

__all__ = ["HANDLERS"]

_BASE = "/operators/v1/environments"


@put(_BASE + "/{environment:str}/{stage:str}")
async def apply(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Accept a document as the next revision; ``expect_revision`` guards against races."""
    services = _services(request)
    document = parse_document((await request.body()).decode(errors="replace"))
    if document.environment != environment:
        raise InvalidRequest(f"the document is of {document.environment!r}, not {environment!r}")
    expected = request.query_params.get("expect_revision")
    revision = await services.configuration.accept(
        document, _stage(stage), expect_revision=int(expected) if expected else None
    )
    return _json(revision)


@get(_BASE + "/{environment:str}/{stage:str}")
async def show(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Return the revision in force."""
    revision = _services(request).configuration.current(environment, stage)
    if revision is None:
        raise UnknownEnvironment(f"environment {environment!r} has no stage {stage!r} in force")
    return _json(revision)


@post(_BASE + "/{environment:str}/promote", status_code=200)
async def promote(request: Request[Any, Any, Any], environment: str) -> Response[bytes]:
    """Make the trial's document the next production revision, unchanged."""
    services = _services(request)
    trial = services.configuration.current(environment, Stage.TRIAL)
    if trial is None:
        raise UnknownEnvironment(f"environment {environment!r} has no trial in force")
    return _json(await services.configuration.accept(trial.document, Stage.PRODUCTION))


HANDLERS = [apply, show, promote]


def _services(request: Request[Any, Any, Any]) -> ApiServices:
    services: ApiServices = request.app.state["services"]
    authenticate_operator(request, services.settings.operator_token_sha256)
    return services


def _stage(name: str) -> Stage:
    try:
        return Stage(name)
    except ValueError as error:
        raise InvalidRequest(f"{name!r} is no stage; there are trial and production") from error


def _json(value: Any) -> Response[bytes]:
    return Response(msgspec.json.encode(value), media_type="application/json")
