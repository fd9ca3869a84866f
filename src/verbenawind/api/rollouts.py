"""The trainers' interface: steps, polls, versions and grades."""

from typing import Any, TypeVar

import msgspec
from litestar import Request, Response, post

from verbenawind.api.errors import store_write_is_the_request
from verbenawind.api.replies import json_response
from verbenawind.api.services import ApiServices, caller_of
from verbenawind.document import EnvironmentRevision, TrainerSpec
from verbenawind.errors import Forbidden, InvalidRequest, UnknownResource
from verbenawind.kernel.rollouts import (
    GradeSubmission,
    PollRequest,
    PublishedVersion,
    StepSubmission,
)

__all__ = ["HANDLERS"]

_BASE = "/environments/{environment:str}/{stage:str}/v1/rollouts"

T = TypeVar("T")


@post(_BASE + "/steps", status_code=200)
async def steps(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Submit a step."""
    services, revision, trainer = _trainer(request, environment, stage)
    submission = await _body(request, StepSubmission)
    with store_write_is_the_request():
        return json_response(await services.rollouts.submit_step(revision, trainer, submission))


@post(_BASE + "/poll", status_code=200)
async def poll(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Get what follows the cursor."""
    services, revision, trainer = _trainer(request, environment, stage)
    asked = await _body(request, PollRequest)
    return json_response(await services.rollouts.poll(revision, trainer, asked))


@post(_BASE + "/versions", status_code=200)
async def versions(
    request: Request[Any, Any, Any], environment: str, stage: str
) -> Response[bytes]:
    """Publish a weight version."""
    services, revision, trainer = _trainer(request, environment, stage)
    version = await _body(request, PublishedVersion)
    if version.model != trainer.model:
        raise Forbidden(f"trainer {trainer.name!r} does not train model {version.model!r}")
    model = revision.document.model(version.model)
    if model is None:
        raise UnknownResource(f"environment {revision.name} has no model {version.model!r}")
    with store_write_is_the_request():
        return json_response(await services.rollouts.publish_version(revision, model, version))


@post(_BASE + "/grades", status_code=200)
async def grades(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """Send grades."""
    services, revision, trainer = _trainer(request, environment, stage)
    submission = await _body(request, GradeSubmission)
    with store_write_is_the_request():
        return json_response(await services.rollouts.submit_grades(revision, trainer, submission))


HANDLERS = [steps, poll, versions, grades]


def _trainer(
    request: Request[Any, Any, Any], environment: str, stage: str
) -> tuple[ApiServices, EnvironmentRevision, TrainerSpec]:
    services, revision, caller = caller_of(request, environment, stage)
    trainer = revision.document.trainer_of_caller(caller.name)
    if trainer is None:
        raise Forbidden(f"caller {caller.name!r} is no trainer of {revision.name}")
    return services, revision, trainer


async def _body(request: Request[Any, Any, Any], kind: type[T]) -> T:
    try:
        return msgspec.json.decode(await request.body(), type=kind)
    except msgspec.DecodeError as error:
        raise InvalidRequest(f"body: {error}") from error
