"""Processor time per streamed event: HTTP server, callers' interface and engine adapter.

The three paths run one after another in one process with equal numbers of streams and events, so
that their ratios are comparable across machines. Each includes the time of the reading client.
"""

import asyncio
import time
from collections.abc import AsyncGenerator, Awaitable, Callable, Sequence
from typing import Any

import msgspec

from bench.measurements import Better, Measurement
from verbenawind.api.completion_responses import CompletionFormatter, stream_response
from verbenawind.api.streams import EventStream
from verbenawind.http_server import HttpServer
from verbenawind.kernel.messages import (
    BackendKind,
    BackendServer,
    EngineEvent,
    GenerationAttempt,
    GenerationEnded,
    Location,
    TokensGenerated,
)
from verbenawind.plugins.engine_http import HttpEngineClient, chunk_payload

__all__ = ["run"]

_BENCH = "streaming"
_SERVER, _CALLERS, _ENGINE = "server alone", "callers' interface", "engine adapter"
_TOKENS_PER_EVENT = 2
_STREAMS, _EVENTS = 40, 400
_SHORT_STREAMS, _SHORT_EVENTS = 20, 200
_TEXT = "t12345 t23456 "
_REQUEST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
_HEADERS = [(b"content-type", b"text/event-stream")]


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the processor time per event of each path, and its ratio to the server alone."""
    streams, events = (_SHORT_STREAMS, _SHORT_EVENTS) if short else (_STREAMS, _EVENTS)
    cpu_s_by_path = asyncio.run(_measure(streams, events))
    per_event_us = {path: value / (streams * events) * 1e6 for path, value in cpu_s_by_path.items()}
    return [
        measurement
        for path, value in per_event_us.items()
        for measurement in (
            _measurement(path, "processor time per event", value, "us"),
            _measurement(path, "ratio to the server alone", value / per_event_us[_SERVER], "x"),
            _measurement(
                path,
                f"tokens per second of one core, {_TOKENS_PER_EVENT} an event",
                _TOKENS_PER_EVENT * 1e6 / value,
                "1/s",
                Better.HIGHER,
            ),
        )
    ]


def _measurement(
    path: str, figure: str, value: float, unit: str, better: Better = Better.LOWER
) -> Measurement:
    return Measurement(
        bench=_BENCH,
        figure=figure,
        variant=path,
        value=round(value, 3),
        unit=unit,
        better=better,
        baseline_variant=None if path == _SERVER else _SERVER,
    )


async def _measure(streams: int, events: int) -> dict[str, float]:
    cpu_s_by_path = {}
    for path, application in (
        (_SERVER, _server_application(events)),
        (_CALLERS, _callers_application(events)),
    ):
        cpu_s_by_path[path] = await _measure_cpu_s(
            application, lambda address: _read_streams(address, streams)
        )
    engine = _engine_application(events)
    cpu_s_by_path[_ENGINE] = await _measure_cpu_s(
        engine, lambda address: _generate_streams(address, streams)
    )
    return cpu_s_by_path


async def _measure_cpu_s(application: Any, run_client: Callable[[str], Awaitable[None]]) -> float:
    server = HttpServer(application, "127.0.0.1", 0)
    await server.start()
    started_s = time.process_time()
    await run_client(server.address)
    used_s = time.process_time() - started_s
    await server.stop()
    return used_s


async def _read_streams(address: str, streams: int) -> None:
    host, port = address.split(":")

    async def read_stream() -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(_REQUEST)
        answer = await reader.read()
        writer.close()
        assert answer.endswith(b"0\r\n\r\n")

    await asyncio.gather(*(read_stream() for _ in range(streams)))


async def _generate_streams(address: str, streams: int) -> None:
    location = Location(zone="a", region="a")
    server = BackendServer(
        server_id="engine-0",
        kind=BackendKind.ENGINE,
        group="pool",
        address=address,
        location=location,
    )
    client = HttpEngineClient(server)

    async def read_stream(number: int) -> None:
        attempt = GenerationAttempt(
            attempt_id="a", request_id=f"r{number}", model="m", prompt="p", max_tokens=1, seed=1
        )
        async for _ in client.generate(attempt):
            pass

    await asyncio.gather(*(read_stream(number) for number in range(streams)))
    await client.aclose()


def _tokens(index: int) -> TokensGenerated:
    start = index * _TOKENS_PER_EVENT
    return TokensGenerated(attempt_id="a", start=start, token_ids=(1, 2), text=_TEXT, version=0)


def _ended(events: int) -> GenerationEnded:
    count = events * _TOKENS_PER_EVENT
    return GenerationEnded(attempt_id="a", token_count=count, finish_reason="stop")


async def _events(events: int) -> AsyncGenerator[EngineEvent, None]:
    for index in range(events):
        yield _tokens(index)
        await asyncio.sleep(0)
    yield _ended(events)


def _callers_application(events: int) -> Any:
    form = CompletionFormatter("req-1", "model", 0, chat=True, include_usage=False)

    async def application(scope: Any, receive: Any, send: Any) -> None:
        answer = stream_response(form, _events(events), (), lambda _: None)
        await EventStream(answer).to_asgi_response()(scope, receive, send)

    return application


def _server_application(events: int) -> Any:
    form = CompletionFormatter("req-1", "model", 0, chat=True, include_usage=False)
    return _chunk_application([form.text_chunk(_TEXT)] * events)


def _engine_application(events: int) -> Any:
    sent: list[EngineEvent] = [_tokens(index) for index in range(events)]
    sent.append(_ended(events))
    payloads = [msgspec.json.encode(chunk_payload(event, "m")) for event in sent]
    return _chunk_application([b"data: " + data + b"\n\n" for data in (*payloads, b"[DONE]")])


def _chunk_application(chunks: Sequence[bytes]) -> Any:
    async def application(_scope: Any, _receive: Any, send: Any) -> None:
        await send({"type": "http.response.start", "status": 200, "headers": _HEADERS})
        for chunk in chunks:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
            await asyncio.sleep(0)
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    return application
