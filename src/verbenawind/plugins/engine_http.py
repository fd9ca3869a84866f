"""Adapter for engines with an OpenAI-compatible completions API and management endpoints."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

import httpx
import msgspec

from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    FencingRefused,
    StreamTruncated,
)
from verbenawind.kernel.messages import (
    BackendServer,
    CacheEvents,
    EngineEvent,
    EngineOrder,
    EngineStatus,
    GenerationAttempt,
    GenerationEnded,
    TokensGenerated,
)
from verbenawind.kernel.ports import EngineClient
from verbenawind.plugins.http_bounds import send_bounded
from verbenawind.plugins.http_errors import backend_errors
from verbenawind.plugins.registries import ENGINE_ADAPTERS

__all__ = ["HttpEngineClient"]

_CONNECT_TIMEOUT_S = 2.0
_STATUS_TIMEOUT_S = 2.0
_STREAM_SILENCE_TIMEOUT_S = 30.0
_MAX_CONNECTIONS = 512
_STATUS_ADMISSION_REFUSED = 503
_STATUS_FENCING_REFUSED = 409
_DATA = b"data: "
_DONE = b"data: [DONE]"
# Without an end of line within this size, the body is no event stream.
_MAX_LINE_BYTES = 256 * 1024
# The minimum interval between the token events of a stream grows with the number of open streams,
# because every event costs processing time.
_MAX_EVENT_INTERVAL_S = 0.15
_EVENT_INTERVAL_PER_STREAM_S = 0.0005


class _Choice(msgspec.Struct):
    text: str = ""
    token_ids: tuple[int, ...] = ()
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    completion_tokens: int


class _Chunk(msgspec.Struct):
    choices: list[_Choice]
    start: int = 0
    weight_version: int | None = None
    usage: _Usage | None = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class HttpEngineClient:
    """HTTP client of one engine; implements the EngineClient port.

    Args:
        server: The engine.
    """

    __slots__ = ("_client", "_server")

    def __init__(self, server: BackendServer) -> None:
        self._server = server
        self._client = httpx.AsyncClient(
            base_url=f"http://{server.address}",
            timeout=httpx.Timeout(_STREAM_SILENCE_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S),
            limits=httpx.Limits(max_connections=_MAX_CONNECTIONS),
            trust_env=False,
            verify=False,  # Addresses use plain HTTP; loading certificates takes 30 ms.
        )

    async def generate(self, attempt: GenerationAttempt) -> AsyncGenerator[EngineEvent, None]:
        """Stream one attempt; closing the generator closes the connection, which cancels it."""
        body = msgspec.json.encode(
            {
                "model": attempt.model,
                "prompt": attempt.prompt,
                "max_tokens": attempt.max_tokens,
                "temperature": attempt.temperature,
                "seed": attempt.seed,
                "stream": True,
                "return_token_ids": True,
                "attempt_id": attempt.attempt_id,
                "request_id": attempt.request_id,
                "held_token_ids": attempt.held_token_ids,
            }
        )
        operation = f"engine {self._server.server_id} attempt {attempt.attempt_id}"
        with backend_errors(operation):
            async with self._client.stream("POST", "/v1/completions", content=body) as response:
                if response.status_code == _STATUS_ADMISSION_REFUSED:
                    raise AdmissionRefused(f"{operation}: admission refused")
                if response.status_code != httpx.codes.OK:
                    raise BackendServerFailed(f"{operation}: status {response.status_code}")
                _OPEN_STREAMS.count += 1
                try:
                    async for event in self._events(attempt.attempt_id, response, operation):
                        yield event
                finally:
                    _OPEN_STREAMS.count -= 1

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt on the engine."""
        await self._call("POST", f"/v1/cancel/{attempt_id}")

    async def status(self) -> EngineStatus:
        """Return the engine's reported status."""
        response_body = await self._call("GET", "/status", timeout_s=_STATUS_TIMEOUT_S)
        return msgspec.json.decode(response_body, type=EngineStatus)

    async def order(self, order: EngineOrder) -> EngineStatus:
        """Send an order and return the engine's resulting status."""
        response_body = await self._call(
            "POST", "/orders", content=msgspec.json.encode(order), timeout_s=order.timeout_s
        )
        return msgspec.json.decode(response_body, type=EngineStatus)

    async def cache_events(self, position: int) -> CacheEvents:
        """Return the cache events after *position*."""
        response_body = await self._call("GET", f"/cache/events?position={position}")
        return msgspec.json.decode(response_body, type=CacheEvents)

    async def export_cache(self, attempt_id: str) -> bytes:
        """Return the KV cache of a running attempt."""
        return await self._call("GET", f"/cache/attempts/{attempt_id}")

    async def import_cache(self, attempt_id: str, cache: bytes) -> None:
        """Load a KV cache."""
        await self._call("PUT", f"/cache/attempts/{attempt_id}", content=cache)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _call(
        self, method: str, path: str, *, content: bytes | None = None, timeout_s: float = 10.0
    ) -> bytes:
        operation = f"engine {self._server.server_id} {method} {path}"
        with backend_errors(operation):
            request = self._client.build_request(method, path, content=content, timeout=timeout_s)
            response = await send_bounded(self._client, request)
        if response.status_code == _STATUS_FENCING_REFUSED:
            raise FencingRefused(f"{operation}: {response.text}")
        if response.status_code == _STATUS_ADMISSION_REFUSED:
            raise AdmissionRefused(f"{operation}: admission refused")
        if response.status_code >= httpx.codes.BAD_REQUEST:
            raise BackendServerFailed(f"{operation}: status {response.status_code}")
        return response.content

    async def _events(
        self, attempt_id: str, response: httpx.Response, operation: str
    ) -> AsyncIterator[EngineEvent]:
        reader = _StreamReader(attempt_id, operation)
        loop = asyncio.get_running_loop()
        flushed_at_s = float("-inf")
        try:
            async for data in response.aiter_raw():
                reader.feed(data)
                now_s = loop.time()
                if reader.done or now_s - flushed_at_s >= self._min_event_interval_s():
                    flushed_at_s = now_s
                    for event in reader.take():
                        yield event
                if reader.done:
                    return
        except (httpx.HTTPError, httpx.StreamError):
            for event in reader.take():
                yield event
            raise
        for event in reader.take():
            yield event
        raise StreamTruncated(f"{operation}: stream ended without its end marker")

    @staticmethod
    def _min_event_interval_s() -> float:
        """Return the minimum interval between a stream's events; it grows with the load."""
        return min(_MAX_EVENT_INTERVAL_S, _OPEN_STREAMS.count * _EVENT_INTERVAL_PER_STREAM_S)


class _OpenStreams:
    """Number of engine streams that this process is reading."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


_OPEN_STREAMS = _OpenStreams()


class _StreamReader:
    """Parses the bytes of one server-sent event stream into engine events.

    Contiguous chunks of one weight version are merged into one event between two calls of ``take``,
    so that further processing costs per event and not per token.
    """

    __slots__ = (
        "_attempt_id",
        "_end_event",
        "_events",
        "_operation",
        "_partial_line",
        "_pending_chunks",
        "done",
    )

    def __init__(self, attempt_id: str, operation: str) -> None:
        self._attempt_id = attempt_id
        self._operation = operation
        self._partial_line = bytearray()
        self._end_event: GenerationEnded | None = None
        self._pending_chunks: list[_Chunk] = []
        self._events: list[EngineEvent] = []
        self.done = False

    def feed(self, data: bytes) -> None:
        """Parse *data* and process the lines that it completes.

        Raises:
            StreamTruncated: The end marker arrived before a finish reason with a token count.
            BackendServerFailed: A line is too long.
        """
        if b"\n" not in data:
            self._partial_line += data
            if len(self._partial_line) > _MAX_LINE_BYTES:
                raise BackendServerFailed(
                    f"{self._operation}: a line exceeded the limit of {_MAX_LINE_BYTES} bytes"
                )
            return None
        lines = (bytes(self._partial_line) + data).split(b"\n")
        self._partial_line = bytearray(lines.pop())
        for line in lines:
            if line.startswith(_DONE):
                return self._finish()
            if line.startswith(_DATA):
                self._add_chunk(_decode_chunk(line[len(_DATA) :], self._operation))
        return None

    def take(self) -> list[EngineEvent]:
        """Return the events completed since the last call."""
        self._merge_pending_chunks()
        events, self._events = self._events, []
        return events

    def _add_chunk(self, chunk: _Chunk) -> None:
        if self._pending_chunks and not _can_merge(self._pending_chunks[-1], chunk):
            self._merge_pending_chunks()
        if chunk.choices[0].token_ids:
            self._pending_chunks.append(chunk)
        self._record_end(chunk)

    def _merge_pending_chunks(self) -> None:
        if self._pending_chunks:
            self._events.append(self._merge_tokens(self._pending_chunks))
            self._pending_chunks = []

    def _finish(self) -> None:
        if self._end_event is None:
            raise StreamTruncated(
                f"{self._operation}: stream ended without finish reason and token count"
            )
        self._merge_pending_chunks()
        self._events.append(self._end_event)
        self.done = True

    def _record_end(self, chunk: _Chunk) -> None:
        reason = chunk.choices[0].finish_reason
        if reason is not None and chunk.usage is not None:
            self._end_event = GenerationEnded(
                attempt_id=self._attempt_id,
                token_count=chunk.usage.completion_tokens,
                finish_reason=reason,
            )

    def _merge_tokens(self, chunks: list[_Chunk]) -> TokensGenerated:
        choices = [chunk.choices[0] for chunk in chunks]
        return TokensGenerated(
            attempt_id=self._attempt_id,
            start=chunks[0].start,
            token_ids=tuple(token_id for choice in choices for token_id in choice.token_ids),
            text="".join(choice.text for choice in choices),
            version=chunks[0].weight_version,
        )


def _can_merge(first: _Chunk, second: _Chunk) -> bool:
    """Return whether two chunks can be merged; a chunk without tokens never splits an event."""
    if not second.choices[0].token_ids:
        return True
    end = first.start + len(first.choices[0].token_ids)
    return second.start == end and second.weight_version == first.weight_version


def _decode_chunk(data: bytes, operation: str) -> _Chunk:
    try:
        chunk = _CHUNK_DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise BackendServerFailed(f"{operation}: malformed chunk {data[:80]!r}") from error
    if not chunk.choices:
        raise BackendServerFailed(f"{operation}: chunk without choices {data[:80]!r}")
    return chunk


@ENGINE_ADAPTERS.register("openai-http")
def _create_client(server: BackendServer) -> EngineClient:
    return HttpEngineClient(server)


def chunk_payload(event: EngineEvent, model: str) -> dict[str, Any]:
    """Return the JSON payload with which an engine with this API sends an event."""
    base: dict[str, Any] = {"id": event.attempt_id, "object": "text_completion", "model": model}
    if isinstance(event, TokensGenerated):
        choice = {"index": 0, "text": event.text, "token_ids": event.token_ids}
        return base | {
            "choices": [choice | {"finish_reason": None}],
            "start": event.start,
            "weight_version": event.version,
        }
    return base | {
        "choices": [{"index": 0, "text": "", "finish_reason": event.finish_reason}],
        "usage": {"completion_tokens": event.token_count},
    }
