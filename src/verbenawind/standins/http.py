"""Litestar applications that expose the stand-ins over HTTP."""

from collections.abc import AsyncIterator
from typing import Any

import msgspec
from litestar import HttpMethod, Litestar, Request, Response, delete, get, post, put, route
from litestar.response import Stream

from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    ConditionFailed,
    FencingRefused,
    StoreUnavailable,
)
from verbenawind.kernel.messages import (
    EngineEvent,
    EngineOrder,
    GenerationAttempt,
    ScoringRequest,
    ServiceRequest,
)
from verbenawind.kernel.ports import Transaction
from verbenawind.plugins.engine_http import chunk_payload
from verbenawind.standins.engine import StandinEngine
from verbenawind.standins.platform import (
    StandinHostList,
    StandinObjects,
    StandinTable,
    StandinWeights,
)
from verbenawind.standins.services import StandinScoring, StandinService

__all__ = ["engine_app", "platform_app", "scoring_app", "service_app"]

_HTTP_METHODS: list[HttpMethod] = [
    HttpMethod.GET,
    HttpMethod.POST,
    HttpMethod.PUT,
    HttpMethod.PATCH,
    HttpMethod.DELETE,
]


def _json(value: Any, status: int = 200) -> Response[bytes]:
    return Response(msgspec.json.encode(value), status_code=status, media_type="application/json")


def _error_handler(status: int) -> Any:
    def handler(_: Request[Any, Any, Any], error: Exception) -> Response[bytes]:
        keys = list(error.keys) if isinstance(error, ConditionFailed) else str(error)
        return _json(keys, status)

    return handler


_EXCEPTION_HANDLERS: dict[int | type[Exception], Any] = {
    AdmissionRefused: _error_handler(503),
    BackendServerUnreachable: _error_handler(502),
    BackendServerFailed: _error_handler(500),
    FencingRefused: _error_handler(409),
    ConditionFailed: _error_handler(409),
    StoreUnavailable: _error_handler(503),
}


def engine_app(engine: StandinEngine) -> Litestar:
    """Return an HTTP application for a stand-in engine."""

    async def stream_body(model: str, events: Any, first: EngineEvent) -> AsyncIterator[bytes]:
        yield _sse_event(chunk_payload(first, model))
        try:
            async for event in events:
                yield _sse_event(chunk_payload(event, model))
        except BackendServerFailed:
            return
        finally:
            await events.aclose()
        if not engine.faults.drop_end_marker:
            yield b"data: [DONE]\n\n"

    @post("/v1/completions", status_code=200)
    async def completions(request: Request[Any, Any, Any]) -> Stream:
        attempt = msgspec.json.decode(await request.body(), type=GenerationAttempt)
        events = engine.generate(attempt)
        first = await anext(events)
        return Stream(stream_body(attempt.model, events, first), media_type="text/event-stream")

    @post("/v1/cancel/{attempt_id:str}", status_code=200)
    async def cancel(attempt_id: str) -> Response[bytes]:
        await engine.cancel(attempt_id)
        return _json({})

    @get("/status")
    async def status() -> Response[bytes]:
        return _json(await engine.status())

    @post("/orders", status_code=200)
    async def orders(request: Request[Any, Any, Any]) -> Response[bytes]:
        order = msgspec.json.decode(await request.body(), type=EngineOrder)
        return _json(await engine.order(order))

    @get("/cache/events")
    async def cache_events(position: int) -> Response[bytes]:
        return _json(await engine.cache_events(position))

    @get("/cache/attempts/{attempt_id:str}")
    async def export_cache(attempt_id: str) -> Response[bytes]:
        return Response(
            await engine.export_cache(attempt_id), media_type="application/octet-stream"
        )

    @put("/cache/attempts/{attempt_id:str}")
    async def import_cache(attempt_id: str, request: Request[Any, Any, Any]) -> Response[bytes]:
        await engine.import_cache(attempt_id, await request.body())
        return _json({})

    handlers = [completions, cancel, status, orders, cache_events, export_cache, import_cache]
    return Litestar(
        handlers, exception_handlers=_EXCEPTION_HANDLERS, openapi_config=None, logging_config=None
    )


def platform_app(
    table: StandinTable, objects: StandinObjects, hosts: StandinHostList, weights: StandinWeights
) -> Litestar:
    """Return an HTTP application for the platform's stores and its host list."""

    @post("/table/read", status_code=200)
    async def read(request: Request[Any, Any, Any]) -> Response[bytes]:
        keys = msgspec.json.decode(await request.body(), type=list[str])
        return _json(list((await table.read(keys)).values()))

    @get("/table/scan")
    async def scan(prefix: str, after: str, limit: int) -> Response[bytes]:
        return _json(await table.scan(prefix, after=after, limit=limit))

    @post("/table/commit", status_code=200)
    async def commit(request: Request[Any, Any, Any]) -> Response[bytes]:
        await table.commit(msgspec.json.decode(await request.body(), type=Transaction))
        return _json({})

    @put("/objects/{key:path}")
    async def put_object(key: str, request: Request[Any, Any, Any]) -> Response[bytes]:
        await objects.put(key.lstrip("/"), await request.body())
        return _json({})

    @get("/objects/{key:path}")
    async def get_object(key: str) -> Response[bytes]:
        data = await objects.get(key.lstrip("/"))
        if data is None:
            return _json({}, 404)
        return Response(data, media_type="application/octet-stream")

    @delete("/objects/{key:path}", status_code=200)
    async def delete_object(key: str) -> Response[bytes]:
        await objects.delete(key.lstrip("/"))
        return _json({})

    @get("/hosts")
    async def host_list() -> Response[bytes]:
        return _json(await hosts.hosts())

    @get("/weights/{model:str}/{version:int}")
    async def manifest(model: str, version: int) -> Response[bytes]:
        found = await weights.manifest(model, version)
        return _json({}, 404) if found is None else _json(found)

    handlers = [read, scan, commit, put_object, get_object, delete_object, host_list, manifest]
    return Litestar(
        handlers, exception_handlers=_EXCEPTION_HANDLERS, openapi_config=None, logging_config=None
    )


def service_app(service: StandinService) -> Litestar:
    """Return an HTTP application for a stand-in plain service."""

    @route("/{path:path}", http_method=_HTTP_METHODS, status_code=200)
    async def call(path: str, request: Request[Any, Any, Any]) -> Response[bytes]:
        answer = await service.call(
            ServiceRequest(
                request_id=request.headers.get("x-request-id", ""),
                environment="",
                caller="",
                service="",
                method=request.method,
                path=path,
                query=request.url.query,
                headers={},
                body=await request.body(),
                deadline_s=0.0,
                idempotent=False,
                idempotency_key=request.headers.get("idempotency-key"),
            )
        )
        return Response(answer.body, status_code=answer.status, media_type="application/json")

    return Litestar(
        [call], exception_handlers=_EXCEPTION_HANDLERS, openapi_config=None, logging_config=None
    )


def scoring_app(scoring: StandinScoring) -> Litestar:
    """Return an HTTP application for a stand-in scoring service."""

    @post("/score", status_code=200)
    async def score(request: Request[Any, Any, Any]) -> Response[bytes]:
        scoring_request = msgspec.json.decode(await request.body(), type=ScoringRequest)
        return _json(await scoring.score(scoring_request, timeout_s=10.0))

    return Litestar(
        [score], exception_handlers=_EXCEPTION_HANDLERS, openapi_config=None, logging_config=None
    )


def _sse_event(payload: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(payload) + b"\n\n"
