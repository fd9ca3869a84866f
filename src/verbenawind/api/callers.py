"""The application callers' interface: OpenAI-compatible generation and plain services."""

import zlib
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from litestar import Request, Response, get, post, route
from litestar.response import Stream

from verbenawind.api.errors import error_answer
from verbenawind.api.services import ApiServices, caller_of
from verbenawind.document import CallerKind, CallerSpec, EnvironmentRevision, ServiceSpec
from verbenawind.errors import Forbidden, InvalidRequest, UnknownResource, VerbenawindError
from verbenawind.ids import new_id
from verbenawind.kernel.messages import (
    EngineEvent,
    GenerateRequest,
    GenerationEnded,
    ServiceRequest,
    TokensGenerated,
    WorkKind,
)

__all__ = ["HANDLERS"]

_BASE = "/environments/{environment:str}/{stage:str}/v1"
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
_RECONNECT_HEADER = "x-reconnect"
_DEADLINE_HEADER = "x-deadline-s"
_DEFAULT_MAX_TOKENS = 256


class _Message(msgspec.Struct):
    role: str
    content: str


class _Completion(msgspec.Struct):
    model: str
    prompt: str = ""
    messages: list[_Message] = []
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    temperature: float = 1.0
    seed: int | None = None
    stream: bool = False


@post(_BASE + "/completions", status_code=200)
async def completions(request: Request[Any, Any, Any], environment: str, stage: str) -> Any:
    """Complete a prompt."""
    return await _complete(request, environment, stage, chat=False)


@post(_BASE + "/chat/completions", status_code=200)
async def chat_completions(request: Request[Any, Any, Any], environment: str, stage: str) -> Any:
    """Answer a conversation."""
    return await _complete(request, environment, stage, chat=True)


@get(_BASE + "/models")
async def models(request: Request[Any, Any, Any], environment: str, stage: str) -> Response[bytes]:
    """List the models that the caller may use."""
    _, _, caller = caller_of(request, environment, stage)
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": environment}
        for name in caller.models
    ]
    return _json({"object": "list", "data": data})


@route(
    _BASE + "/services/{service:str}/{path:path}",
    http_method=["GET", "POST", "PUT", "PATCH", "DELETE"],
)
async def services(
    request: Request[Any, Any, Any], environment: str, stage: str, service: str, path: str
) -> Response[bytes]:
    """Route a call to a plain service."""
    parts, revision, caller = caller_of(request, environment, stage)
    spec = revision.document.service(service)
    if spec is None:
        raise UnknownResource(f"environment {revision.name} has no service {service!r}")
    if service not in caller.services:
        raise Forbidden(f"caller {caller.name!r} may not use service {service!r}")
    content_type = str(request.headers.get("content-type", "application/octet-stream"))
    answer = await parts.service_caller.call_service(
        ServiceRequest(
            request_id=_request_id(request),
            environment=revision.name,
            caller=caller.name,
            service=service,
            method=request.method,
            path=path,
            query=request.url.query,
            headers={"content-type": content_type},
            body=await request.body(),
            deadline_s=_deadline_s(request, parts, spec.timeout_s),
            idempotent=_is_idempotent(spec, request.method, path),
            idempotency_key=request.headers.get("idempotency-key"),
            priority=caller.priority,
        ),
        spec,
    )
    media_type = answer.headers.get("content-type", "application/octet-stream")
    return Response(answer.body, status_code=answer.status, media_type=media_type)


HANDLERS = [completions, chat_completions, models, services]


async def _complete(
    request: Request[Any, Any, Any], environment: str, stage: str, *, chat: bool
) -> Any:
    parts, revision, caller = caller_of(request, environment, stage)
    try:
        body = msgspec.json.decode(await request.body(), type=_Completion)
    except msgspec.DecodeError as error:
        raise InvalidRequest(f"body: {error}") from error
    generate = _generate_request(request, parts, revision, caller, body)
    events = parts.generator.generate(generate)
    shape = _Shape(generate.request_id, body.model, chat)
    if not body.stream:
        return _json(shape.whole([event async for event in events]))
    first = await anext(events)
    return Stream(_sse(shape, first, events), media_type="text/event-stream")


def _generate_request(
    request: Request[Any, Any, Any],
    parts: ApiServices,
    revision: EnvironmentRevision,
    caller: CallerSpec,
    body: _Completion,
) -> GenerateRequest:
    model = revision.document.model(body.model)
    if model is None:
        raise UnknownResource(f"environment {revision.name} has no model {body.model!r}")
    if body.model not in caller.models:
        raise Forbidden(f"caller {caller.name!r} may not use model {body.model!r}")
    prompt = body.prompt or "\n".join(f"{item.role}: {item.content}" for item in body.messages)
    request_id = _request_id(request)
    seed = body.seed if body.seed is not None else zlib.crc32(request_id.encode())
    rollout = caller.kind is CallerKind.TRAINER
    return GenerateRequest(
        request_id=request_id,
        environment=revision.name,
        caller=caller.name,
        kind=WorkKind.ROLLOUT if rollout else WorkKind.APPLICATION,
        model=model.name,
        pool=model.pool,
        prompt=prompt,
        max_tokens=body.max_completion_tokens or body.max_tokens or _DEFAULT_MAX_TOKENS,
        seed=seed,
        temperature=body.temperature,
        deadline_s=_deadline_s(request, parts, caller.default_timeout_s),
        priority=caller.priority,
        reconnect=request.headers.get(_RECONNECT_HEADER, "").lower() == "true",
    )


class _Shape:
    """The OpenAI-compatible form of one answer."""

    __slots__ = ("_chat", "_id", "_model")

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self._id = request_id
        self._model = model
        self._chat = chat

    def whole(self, events: list[EngineEvent]) -> dict[str, Any]:
        text = "".join(event.text for event in events if isinstance(event, TokensGenerated))
        end = next(event for event in events if isinstance(event, GenerationEnded))
        choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason, "logprobs": None}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        usage = {
            "prompt_tokens": 0,
            "completion_tokens": end.token_count,
            "total_tokens": end.token_count,
        }
        kind = "chat.completion" if self._chat else "text_completion"
        return self._base(kind) | {"choices": [choice], "usage": usage}

    def chunk(self, event: EngineEvent) -> dict[str, Any]:
        ended = isinstance(event, GenerationEnded)
        text = "" if isinstance(event, GenerationEnded) else event.text
        reason = event.finish_reason if isinstance(event, GenerationEnded) else None
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if self._chat:
            choice["delta"] = {} if ended else {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        return self._base(kind) | {"choices": [choice]}

    def _base(self, kind: str) -> dict[str, Any]:
        return {"id": self._id, "object": kind, "created": 0, "model": self._model}


async def _sse(shape: _Shape, first: EngineEvent, events: Any) -> AsyncIterator[bytes]:
    yield _data(shape.chunk(first))
    try:
        async for event in events:
            yield _data(shape.chunk(event))
    except VerbenawindError as error:
        yield _data(msgspec.to_builtins(error_answer(error)))
        return
    finally:
        await events.aclose()
    yield b"data: [DONE]\n\n"


def _data(payload: Any) -> bytes:
    return b"data: " + msgspec.json.encode(payload) + b"\n\n"


def _json(payload: Any) -> Response[bytes]:
    return Response(msgspec.json.encode(payload), media_type="application/json")


def _request_id(request: Request[Any, Any, Any]) -> str:
    return str(request.headers.get("x-request-id") or new_id("req"))


def _deadline_s(request: Request[Any, Any, Any], parts: ApiServices, default_s: float) -> float:
    raw = request.headers.get(_DEADLINE_HEADER)
    try:
        timeout_s = float(raw) if raw is not None else default_s
    except ValueError as error:
        raise InvalidRequest(f"header {_DEADLINE_HEADER}: {raw!r} is no number") from error
    return parts.clock.monotonic_s() + timeout_s


def _is_idempotent(spec: ServiceSpec, method: str, path: str) -> bool:
    matching = [
        route
        for route in spec.routes
        if path.startswith(route.path_prefix) and (not route.methods or method in route.methods)
    ]
    if not matching:
        return method in _IDEMPOTENT_METHODS
    return max(matching, key=lambda route: len(route.path_prefix)).idempotent
