"""Operator endpoints for documents: apply, show, diff, history, rollback and promote."""

from typing import Any

from litestar import Request, Response, get, post, put

from verbenawind.adapter_names import known_adapters
from verbenawind.api.errors import report_possible_store_write
from verbenawind.api.responses import json_response
from verbenawind.api.services import ApiServices, operator_services
from verbenawind.document import (
    EnvironmentDocument,
    EnvironmentRevision,
    Stage,
    diff_documents,
    parse_document,
)
from verbenawind.errors import InvalidRequest, RevisionConflict, UnknownEnvironment

__all__ = ["HANDLERS"]

_BASE = "/operators/v1/environments"
_STAGE_BASE = _BASE + "/{environment:str}/{stage:str}"
_MAX_AUTHOR_LENGTH = 128


@put(_STAGE_BASE, summary="Accept a document as the next revision")
async def apply(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Accept a document as the next revision.

    With ``expect_revision`` the request fails with 409 and the differences unless that revision
    is in force. ``author`` is stored with the revision.
    """
    services = operator_services(request)
    document = await _parse_body(request, environment)
    return json_response(await _accept_document(services, request, document, _parse_stage(stage)))


@get(_STAGE_BASE, summary="Return the revision in force")
async def show(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Return the revision in force on this daemon, with its document."""
    return json_response(
        _current_revision(operator_services(request), environment, _parse_stage(stage))
    )


@post(_STAGE_BASE + "/diff", status_code=200, summary="Compare a document with the one in force")
async def diff(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Return the fields in which the posted document differs from the one in force."""
    services = operator_services(request)
    document = await _parse_body(request, environment)
    current = services.configuration.current(environment, _parse_stage(stage))
    changes = diff_documents(current.document if current else None, document)
    return json_response(
        {
            "environment": environment,
            "stage": stage,
            "revision": current.revision if current else 0,
            "changes": changes,
        }
    )


@get(_STAGE_BASE + "/history", summary="List the accepted revisions")
async def history(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Return all accepted revisions without their documents, oldest first."""
    services = operator_services(request)
    revisions = await services.configuration.history(environment, _parse_stage(stage))
    if not revisions:
        raise UnknownEnvironment(f"environment {environment!r} has no revision in {stage}")
    return json_response({"revisions": [_revision_summary(item) for item in revisions]})


@get(_STAGE_BASE + "/revisions/{number:int}", summary="Return one accepted revision")
async def revision(
    request: Request[Any, Any, Any], environment: str, stage: str, number: int
) -> Response[bytes]:
    """Return one accepted revision with its document."""
    services = operator_services(request)
    return json_response(
        await services.configuration.revision(environment, _parse_stage(stage), number)
    )


@post(_STAGE_BASE + "/rollback", status_code=200, summary="Roll back to an earlier revision")
async def rollback(
    request: Request[Any, Any, Any], environment: str, stage: str
) -> Response[bytes]:
    """Accept the document of revision ``to`` as the next revision; numbers only increase."""
    services = operator_services(request)
    number = _revision_parameter(request, "to")
    if number is None:
        raise InvalidRequest("query parameter 'to' must name the revision to roll back to")
    old = await services.configuration.revision(environment, _parse_stage(stage), number)
    return json_response(
        await _accept_document(services, request, old.document, _parse_stage(stage))
    )


@post(_BASE + "/{environment:str}/promote", status_code=200, summary="Promote trial to production")
async def promote(request: Request[Any, Any, Any], environment: str) -> Response[bytes]:
    """Accept the trial document, unchanged, as the next production revision.

    With ``digest`` the request fails with 409 unless the trial document has that digest. If
    production has the same document already, its revision in force is returned.
    """
    services = operator_services(request)
    await services.configuration.refresh()
    trial = _current_revision(services, environment, Stage.TRIAL)
    expected_digest = request.query_params.get("digest", trial.digest)
    if expected_digest != trial.digest:
        raise RevisionConflict(
            f"the trial of {environment!r} has digest {trial.digest}, not {expected_digest}",
            current_revision=trial.revision,
        )
    production = services.configuration.current(environment, Stage.PRODUCTION)
    if production is not None and production.digest == trial.digest:
        return json_response(production)
    return json_response(
        await _accept_document(services, request, trial.document, Stage.PRODUCTION)
    )


HANDLERS = [apply, show, diff, history, revision, rollback, promote]


async def _accept_document(
    services: ApiServices,
    request: Request[Any, Any, Any],
    document: EnvironmentDocument,
    stage: Stage,
) -> EnvironmentRevision:
    author = request.query_params.get("author", "")
    if len(author) > _MAX_AUTHOR_LENGTH:
        raise InvalidRequest(
            f"author: {len(author)} characters, at most {_MAX_AUTHOR_LENGTH} allowed"
        )
    expected = _revision_parameter(request, "expect_revision")
    try:
        with report_possible_store_write():
            return await services.configuration.accept(
                document, stage, expect_revision=expected, author=author
            )
    except RevisionConflict as error:
        raise await _conflict_with_difference(services, document, stage, error) from error


async def _conflict_with_difference(
    services: ApiServices, document: EnvironmentDocument, stage: Stage, error: RevisionConflict
) -> RevisionConflict:
    await services.configuration.refresh()
    current = services.configuration.current(document.environment, stage)
    changes = diff_documents(current.document if current else None, document)
    return RevisionConflict(
        error.message,
        current_revision=current.revision if current else error.current_revision,
        difference="\n".join(str(change) for change in changes),
    )


async def _parse_body(request: Request[Any, Any, Any], environment: str) -> EnvironmentDocument:
    try:
        text = (await request.body()).decode()
    except UnicodeDecodeError as error:
        raise InvalidRequest(f"body: not UTF-8: {error}") from error
    document = parse_document(text, known_adapters())
    if document.environment != environment:
        raise InvalidRequest(f"the document is for {document.environment!r}, not {environment!r}")
    return document


def _current_revision(services: ApiServices, environment: str, stage: Stage) -> EnvironmentRevision:
    active = services.configuration.current(environment, stage)
    if active is None:
        raise UnknownEnvironment(f"environment {environment!r} has no {stage} revision in force")
    return active


def _revision_summary(item: EnvironmentRevision) -> dict[str, Any]:
    return {
        "revision": item.revision,
        "digest": item.digest,
        "accepted_at": item.accepted_at,
        "author": item.author,
    }


def _revision_parameter(request: Request[Any, Any, Any], name: str) -> int | None:
    raw = request.query_params.get(name)
    if raw is None:
        return None
    if not raw.isascii() or not raw.isdigit():
        raise InvalidRequest(f"query parameter {name!r}: {raw!r} is not a revision number")
    return int(raw)


def _parse_stage(name: str) -> Stage:
    try:
        return Stage(name)
    except ValueError as error:
        raise InvalidRequest(f"{name!r} is not a stage; must be trial or production") from error
