"""The OpenAI-compatible generation endpoints."""

import zlib
from typing import Any

from litestar import Request, Response, get, post

from verbenawind.api.completion_requests import ChatRequest, CompletionRequest
from verbenawind.api.completion_responses import (
    CompletionFormatter,
    collect_response,
    stream_response,
)
from verbenawind.api.errors import record_failure
from verbenawind.api.headers import deadline_s, decode_body, is_reconnect, request_id
from verbenawind.api.responses import json_response
from verbenawind.api.services import ApiServices, caller_context
from verbenawind.api.streams import EventStream, run_until_disconnect
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
    """Complete a prompt; with ``stream`` the response is streamed."""
    services, revision, caller = caller_context(request, environment, stage)
    body = await decode_body(request, CompletionRequest)
    return await _generate_response(request, services, revision, caller, body, chat=False)


@post(_BASE + "/chat/completions", status_code=200, summary="Complete a conversation")
async def chat_completions(
    request: Request[Any, Any, Any], environment: str, stage: str
) -> Response[bytes]:
    """Complete a conversation; with ``stream`` the response is streamed."""
    services, revision, caller = caller_context(request, environment, stage)
    body = await decode_body(request, ChatRequest)
    return await _generate_response(request, services, revision, caller, body, chat=True)


@get(_BASE + "/models", summary="List the models that the caller may use")
async def models(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """List the models that the caller may use."""
    _, revision, caller = caller_context(request, environment, stage)
    data = [_model_object(revision, name) for name in caller.models]
    return json_response({"object": "list", "data": data})


@get(_BASE + "/models/{model:str}", summary="Describe one model")
async def model(
    request: Request[Any, Any, Any], environment: str, stage: str, model: str
) -> Response[bytes]:
    """Describe a model that the caller may use."""
    _, revision, caller = caller_context(request, environment, stage)
    _authorized_model(revision, caller, model)
    return json_response(_model_object(revision, model))


HANDLERS = [completions, chat_completions, models, model]


async def _generate_response(
    request: Request[Any, Any, Any],
    services: ApiServices,
    revision: EnvironmentRevision,
    caller: CallerSpec,
    body: ChatRequest | CompletionRequest,
    *,
    chat: bool,
) -> Response[bytes]:
    body.check(services.settings.limits.max_tokens_per_generation)
    model = _authorized_model(revision, caller, body.model)
    generate_request = _generate_request(request, services, revision, caller, model, body)
    formatter = CompletionFormatter(
        generate_request.request_id,
        model.name,
        int(services.clock.now().timestamp()),
        chat=chat,
        include_usage=body.includes_usage(),
    )
    events = services.generator.generate(generate_request)
    if not body.stream:
        work = collect_response(formatter, events, body.stop_texts())
        return json_response(await run_until_disconnect(request.receive, work))
    return EventStream(
        stream_response(
            formatter, events, body.stop_texts(), lambda error: record_failure(request, error)
        )
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
    is_rollout = caller.kind is CallerKind.TRAINER
    return GenerateRequest(
        request_id=identifier,
        environment=revision.name,
        caller=caller.name,
        kind=WorkKind.ROLLOUT if is_rollout else WorkKind.APPLICATION,
        model=model.name,
        pool=model.pool,
        prompt=body.prompt_text(),
        max_tokens=body.token_limit(),
        seed=body.seed if body.seed is not None else zlib.crc32(identifier.encode()),
        temperature=_DEFAULT_TEMPERATURE if body.temperature is None else body.temperature,
        deadline_s=deadline_s(request, services, caller.default_timeout_s),
        priority=caller.priority,
        reconnect=is_reconnect(request),
    )


def _authorized_model(revision: EnvironmentRevision, caller: CallerSpec, name: str) -> ModelSpec:
    model = revision.document.model(name)
    if model is None:
        raise UnknownResource(f"environment {revision.name} has no model {name[:64]!r}")
    if name not in caller.models:
        raise Forbidden(f"caller {caller.name!r} may not use model {name!r}")
    return model


def _model_object(revision: EnvironmentRevision, name: str) -> dict[str, Any]:
    return {
        "id": name,
        "object": "model",
        "created": int(revision.accepted_at.timestamp()),
        "owned_by": revision.environment,
    }
