"""The operators' interface to documents: apply, show, diff, history, rollback and promote."""

from typing import Any

from litestar import Request, Response, get, post, put

from verbenawind.adapter_names import known_adapters
from verbenawind.api.errors import store_write_is_the_request
from verbenawind.api.replies import json_response
from verbenawind.api.services import ApiServices, operator_services
from verbenawind.document import (
    EnvironmentDocument,
    EnvironmentRevision,
    Stage,
    document_difference,
    parse_document,
)
from verbenawind.errors import InvalidRequest, RevisionConflict, UnknownEnvironment

__all__ = ["HANDLERS"]

_BASE = "/operators/v1/environments"
_STAGE = _BASE + "/{environment:str}/{stage:str}"
_MAX_AUTHOR_LENGTH = 128


@put(_STAGE, summary="Accept a document as the next revision")
async def apply(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Accept a document as the next revision.

    ``expect_revision`` refuses it with 409 and the difference unless that revision is in force;
    ``author`` is kept with the revision.
    """
    services = operator_services(request)
    document = await _document(request, environment)
    return json_response(await _accept(services, request, document, _stage(stage)))


@get(_STAGE, summary="Return the revision in force")
async def show(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Return the revision in force on this daemon, with its document."""
    return json_response(_in_force(operator_services(request), environment, _stage(stage)))


@post(_STAGE + "/diff", status_code=200, summary="Compare a document with the one in force")
async def diff(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Return every field in which the posted document differs from the one in force."""
    services = operator_services(request)
    document = await _document(request, environment)
    current = services.configuration.current(environment, _stage(stage))
    changes = document_difference(current.document if current else None, document)
    return json_response(
        {
            "environment": environment,
            "stage": stage,
            "revision": current.revision if current else 0,
            "changes": changes,
        }
    )


@get(_STAGE + "/history", summary="List the accepted revisions")
async def history(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Return every accepted revision without its document, oldest first."""
    services = operator_services(request)
    revisions = await services.configuration.history(environment, _stage(stage))
    if not revisions:
        raise UnknownEnvironment(f"environment {environment!r} has no revision in {stage}")
    return json_response({"revisions": [_without_document(item) for item in revisions]})


@get(_STAGE + "/revisions/{number:int}", summary="Return one accepted revision")
async def revision(
    request: Request[Any, Any, Any], environment: str, stage: str, number: int
) -> Response[bytes]:
    """Return one accepted revision with its document."""
    services = operator_services(request)
    return json_response(await services.configuration.revision(environment, _stage(stage), number))


@post(_STAGE + "/rollback", status_code=200, summary="Accept an old document again")
async def rollback(
    request: Request[Any, Any, Any], environment: str, stage: str
) -> Response[bytes]:
    """Make the document of revision ``to`` the next revision; revisions never go back."""
    services = operator_services(request)
    number = _number(request, "to")
    if number is None:
        raise InvalidRequest("query parameter 'to' names no revision to roll back to")
    old = await services.configuration.revision(environment, _stage(stage), number)
    return json_response(await _accept(services, request, old.document, _stage(stage)))


@post(_BASE + "/{environment:str}/promote", status_code=200, summary="Promote trial to production")
async def promote(request: Request[Any, Any, Any], environment: str) -> Response[bytes]:
    """Make the trial's document the next production revision, unchanged.

    ``digest`` refuses it with 409 unless the trial's document has that digest. Where production
    has the same document already, the revision in force is returned.
    """
    services = operator_services(request)
    await services.configuration.refresh()
    trial = _in_force(services, environment, Stage.TRIAL)
    wanted = request.query_params.get("digest", trial.digest)
    if wanted != trial.digest:
        raise RevisionConflict(
            f"the trial of {environment!r} has digest {trial.digest}, not {wanted}",
            current_revision=trial.revision,
        )
    production = services.configuration.current(environment, Stage.PRODUCTION)
    if production is not None and production.digest == trial.digest:
        return json_response(production)
    return json_response(await _accept(services, request, trial.document, Stage.PRODUCTION))


HANDLERS = [apply, show, diff, history, revision, rollback, promote]


async def _accept(
    services: ApiServices,
    request: Request[Any, Any, Any],
    document: EnvironmentDocument,
    stage: Stage,
) -> EnvironmentRevision:
    author = request.query_params.get("author", "")
    if len(author) > _MAX_AUTHOR_LENGTH:
        raise InvalidRequest(f"author has {len(author)} characters, {_MAX_AUTHOR_LENGTH} may be")
    expected = _number(request, "expect_revision")
    try:
        with store_write_is_the_request():
            return await services.configuration.accept(
                document, stage, expect_revision=expected, author=author
            )
    except RevisionConflict as error:
        raise await _with_difference(services, document, stage, error) from error


async def _with_difference(
    services: ApiServices, document: EnvironmentDocument, stage: Stage, error: RevisionConflict
) -> RevisionConflict:
    await services.configuration.refresh()
    current = services.configuration.current(document.environment, stage)
    changes = document_difference(current.document if current else None, document)
    return RevisionConflict(
        error.message,
        current_revision=current.revision if current else error.current_revision,
        difference="\n".join(str(change) for change in changes),
    )


async def _document(request: Request[Any, Any, Any], environment: str) -> EnvironmentDocument:
    try:
        text = (await request.body()).decode()
    except UnicodeDecodeError as error:
        raise InvalidRequest(f"body: not UTF-8: {error}") from error
    document = parse_document(text, known_adapters())
    if document.environment != environment:
        raise InvalidRequest(f"the document is of {document.environment!r}, not {environment!r}")
    return document


def _in_force(services: ApiServices, environment: str, stage: Stage) -> EnvironmentRevision:
    found = services.configuration.current(environment, stage)
    if found is None:
        raise UnknownEnvironment(f"environment {environment!r} has no {stage} in force")
    return found


def _without_document(item: EnvironmentRevision) -> dict[str, Any]:
    return {
        "revision": item.revision,
        "digest": item.digest,
        "accepted_at": item.accepted_at,
        "author": item.author,
    }


def _number(request: Request[Any, Any, Any], name: str) -> int | None:
    raw = request.query_params.get(name)
    if raw is None:
        return None
    if not raw.isascii() or not raw.isdigit():
        raise InvalidRequest(f"query parameter {name!r}: {raw!r} is no revision number")
    return int(raw)


def _stage(name: str) -> Stage:
    try:
        return Stage(name)
    except ValueError as error:
        raise InvalidRequest(f"{name!r} is no stage; there are trial and production") from error
