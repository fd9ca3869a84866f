"""The application callers' interface: OpenAI-compatible generation."""

import zlib
from typing import Any

from litestar import Request, Response, get, post

from verbenawind.api.completion_answers import (
    AnswerForm,
    stream_answer,
    whole_answer,
)
from verbenawind.api.completion_requests import ChatRequest, CompletionRequest
from verbenawind.api.errors import note_failure
from verbenawind.api.headers import deadline_s, decoded_body, reconnects, request_id
from verbenawind.api.replies import json_response
from verbenawind.api.services import ApiServices, caller_of
from verbenawind.api.streams import EventStream, until_disconnected
from verbenawind.document import CallerKind, CallerSpec, EnvironmentRevision, ModelSpec
from verbenawind.errors import Forbidden, UnknownResource
from verbenawind.kernel.messages import GenerateRequest, WorkKind

__all__ = ["HANDLERS"]

_BASE = "/environments/{environment:str}/{stage:str}/v1"
_DEFAULT_TEMPERATURE = 1.0


@post(_BASE + "/completions", status_code=200, summary="Complete a prompt")
async def completions(
    request: Request[Any, Any, Any], environment: str, stage: str
) -> Response[bytes]:
    """Complete a prompt, as OpenAI-compatible clients ask for it; ``stream`` streams it."""
    services, revision, caller = caller_of(request, environment, stage)
    body = await decoded_body(request, CompletionRequest)
    return await _answer(request, services, revision, caller, body, chat=False)


@post(_BASE + "/chat/completions", status_code=200, summary="Answer a conversation")
async def chat_completions(
    request: Request[Any, Any, Any], environment: str, stage: str
) -> Response[bytes]:
    """Answer a conversation, as OpenAI-compatible clients ask for it; ``stream`` streams it."""
    services, revision, caller = caller_of(request, environment, stage)
    body = await decoded_body(request, ChatRequest)
    return await _answer(request, services, revision, caller, body, chat=True)


@get(_BASE + "/models", summary="List the models that the caller may use")
async def models(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """List the models that the caller may use."""
    _, revision, caller = caller_of(request, environment, stage)
    data = [_model_entry(revision, name) for name in caller.models]
    return json_response({"object": "list", "data": data})


@get(_BASE + "/models/{model:str}", summary="Describe one model")
async def model(
    request: Request[Any, Any, Any], environment: str, stage: str, model: str
) -> Response[bytes]:
    """Describe a model that the caller may use."""
    _, revision, caller = caller_of(request, environment, stage)
    _allowed_model(revision, caller, model)
    return json_response(_model_entry(revision, model))


HANDLERS = [completions, chat_completions, models, model]


async def _answer(
    request: Request[Any, Any, Any],
    services: ApiServices,
    revision: EnvironmentRevision,
    caller: CallerSpec,
    body: ChatRequest | CompletionRequest,
    *,
    chat: bool,
) -> Response[bytes]:
    body.check(services.settings.limits.max_tokens_per_generation)
    model = _allowed_model(revision, caller, body.model)
    asked = _generate_request(request, services, revision, caller, model, body)
    form = AnswerForm(
        asked.request_id,
        model.name,
        int(services.clock.now().timestamp()),
        chat=chat,
        include_usage=body.includes_usage(),
    )
    events = services.generator.generate(asked)
    if not body.stream:
        work = whole_answer(form, events, body.stops())
        return json_response(await until_disconnected(request.receive, work))
    return EventStream(
        stream_answer(form, events, body.stops(), lambda error: note_failure(request, error))
    )


def _generate_request(
    request: Request[Any, Any, Any],
    services: ApiServices,
    revision: EnvironmentRevision,
    caller: CallerSpec,
    model: ModelSpec,
    body: ChatRequest | CompletionRequest,
) -> GenerateRequest:
    identifier = request_id(request)
    rollout = caller.kind is CallerKind.TRAINER
    return GenerateRequest(
        request_id=identifier,
        environment=revision.name,
        caller=caller.name,
        kind=WorkKind.ROLLOUT if rollout else WorkKind.APPLICATION,
        model=model.name,
        pool=model.pool,
        prompt=body.prompt_text(),
        max_tokens=body.token_limit(),
        seed=body.seed if body.seed is not None else zlib.crc32(identifier.encode()),
        temperature=_DEFAULT_TEMPERATURE if body.temperature is None else body.temperature,
        deadline_s=deadline_s(request, services, caller.default_timeout_s),
        priority=caller.priority,
        reconnect=reconnects(request),
    )


def _allowed_model(revision: EnvironmentRevision, caller: CallerSpec, name: str) -> ModelSpec:
    model = revision.document.model(name)
    if model is None:
        raise UnknownResource(f"environment {revision.name} has no model {name[:64]!r}")
    if name not in caller.models:
        raise Forbidden(f"caller {caller.name!r} may not use model {name!r}")
    return model


def _model_entry(revision: EnvironmentRevision, name: str) -> dict[str, Any]:
    return {
        "id": name,
        "object": "model",
        "created": int(revision.accepted_at.timestamp()),
        "owned_by": revision.environment,
    }
