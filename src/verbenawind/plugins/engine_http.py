"""Adapter for engines with an OpenAI-compatible completions endpoint and admin extensions."""

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
from verbenawind.plugins.http_errors import backend_errors
from verbenawind.plugins.registries import ENGINE_ADAPTERS

__all__ = ["HttpEngineClient"]

_CONNECT_TIMEOUT_S = 2.0
_STATUS_TIMEOUT_S = 2.0
_STREAM_SILENCE_TIMEOUT_S = 30.0
_MAX_CONNECTIONS = 512
_REFUSED = 503
_FENCED = 409
_DATA = b"data: "
_DONE = b"data: [DONE]"
_MAX_GATHER_S = 0.15
_GATHER_PER_STREAM_S = 0.0005


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


_CHUNKS = msgspec.json.Decoder(_Chunk)


class HttpEngineClient:
    """Speaks to one engine over HTTP; implements the EngineClient port.

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
            verify=False,  # The addresses are plain HTTP; loading certificates takes 30 ms.
        )

    async def generate(self, attempt: GenerationAttempt) -> AsyncGenerator[EngineEvent, None]:
        """Stream one attempt; closing the generator closes the connection and so cancels it."""
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
        what = f"engine {self._server.server_id} attempt {attempt.attempt_id}"
        with backend_errors(what):
            async with self._client.stream("POST", "/v1/completions", content=body) as response:
                if response.status_code == _REFUSED:
                    raise AdmissionRefused(f"{what}: refused")
                if response.status_code != httpx.codes.OK:
                    raise BackendServerFailed(f"{what}: status {response.status_code}")
                _STREAMS.count += 1
                try:
                    async for event in self._events(attempt.attempt_id, response, what):
                        yield event
                finally:
                    _STREAMS.count -= 1

    async def cancel(self, attempt_id: str) -> None:
        """Ask the engine to stop an attempt."""
        await self._call("POST", f"/v1/cancel/{attempt_id}")

    async def status(self) -> EngineStatus:
        """Return the engine's report."""
        answer = await self._call("GET", "/status", timeout_s=_STATUS_TIMEOUT_S)
        return msgspec.json.decode(answer, type=EngineStatus)

    async def order(self, order: EngineOrder) -> EngineStatus:
        """Send an order and return the status after it."""
        answer = await self._call(
            "POST", "/orders", content=msgspec.json.encode(order), timeout_s=order.timeout_s
        )
        return msgspec.json.decode(answer, type=EngineStatus)

    async def cache_events(self, position: int) -> CacheEvents:
        """Return the cache events after *position*."""
        answer = await self._call("GET", f"/cache/events?position={position}")
        return msgspec.json.decode(answer, type=CacheEvents)

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
        what = f"engine {self._server.server_id} {method} {path}"
        with backend_errors(what):
            response = await self._client.request(method, path, content=content, timeout=timeout_s)
        if response.status_code == _FENCED:
            raise FencingRefused(f"{what}: {response.text}")
        if response.status_code == _REFUSED:
            raise AdmissionRefused(f"{what}: refused")
        if response.status_code >= httpx.codes.BAD_REQUEST:
            raise BackendServerFailed(f"{what}: status {response.status_code}")
        return response.content

    async def _events(
        self, attempt_id: str, response: httpx.Response, what: str
    ) -> AsyncIterator[EngineEvent]:
        reader = _StreamReader(attempt_id, what)
        loop = asyncio.get_running_loop()
        flushed_at_s = float("-inf")
        try:
            async for data in response.aiter_raw():
                reader.feed(data)
                now_s = loop.time()
                if reader.done or now_s - flushed_at_s >= self._gather_s():
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
        raise StreamTruncated(f"{what}: the stream ended without its end mark")

    @staticmethod
    def _gather_s() -> float:
        """Return for how long tokens may gather to one event; it grows with the load."""
        return min(_MAX_GATHER_S, _STREAMS.count * _GATHER_PER_STREAM_S)


class _OpenStreams:
    """Counts the streams that this process reads."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


_STREAMS = _OpenStreams()


class _StreamReader:
    """Turns the bytes of one server-sent event stream into events.

    Tokens that are taken together and follow each other become one event, so that what comes
    after costs by the event and not by the token.
    """

    __slots__ = ("_attempt_id", "_ended", "_events", "_gathered", "_rest", "_what", "done")

    def __init__(self, attempt_id: str, what: str) -> None:
        self._attempt_id = attempt_id
        self._what = what
        self._rest = b""
        self._ended: GenerationEnded | None = None
        self._gathered: list[_Chunk] = []
        self._events: list[EngineEvent] = []
        self.done = False

    def feed(self, data: bytes) -> None:
        """Read the lines that *data* completes.

        Raises:
            StreamTruncated: The stream's end mark came without its length.
        """
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        for line in lines:
            if line.startswith(_DONE):
                return self._finish()
            if line.startswith(_DATA):
                self._read(_decode(line[len(_DATA) :], self._what))
        return None

    def take(self) -> list[EngineEvent]:
        """Return the events since the last call."""
        self._join_gathered()
        events, self._events = self._events, []
        return events

    def _read(self, chunk: _Chunk) -> None:
        if self._gathered and not _follows(self._gathered[-1], chunk):
            self._join_gathered()
        if chunk.choices[0].token_ids:
            self._gathered.append(chunk)
        self._note_end(chunk)

    def _join_gathered(self) -> None:
        if self._gathered:
            self._events.append(self._tokens(self._gathered))
            self._gathered = []

    def _finish(self) -> None:
        if self._ended is None:
            raise StreamTruncated(f"{self._what}: the stream ended without its length")
        self._join_gathered()
        self._events.append(self._ended)
        self.done = True

    def _note_end(self, chunk: _Chunk) -> None:
        reason = chunk.choices[0].finish_reason
        if reason is not None and chunk.usage is not None:
            self._ended = GenerationEnded(
                attempt_id=self._attempt_id,
                token_count=chunk.usage.completion_tokens,
                finish_reason=reason,
            )

    def _tokens(self, chunks: list[_Chunk]) -> TokensGenerated:
        choices = [chunk.choices[0] for chunk in chunks]
        return TokensGenerated(
            attempt_id=self._attempt_id,
            start=chunks[0].start,
            token_ids=tuple(token_id for choice in choices for token_id in choice.token_ids),
            text="".join(choice.text for choice in choices),
            version=chunks[0].weight_version,
        )


def _follows(first: _Chunk, second: _Chunk) -> bool:
    """Return whether two chunks can be one event; one without tokens never splits an event."""
    if not second.choices[0].token_ids:
        return True
    end = first.start + len(first.choices[0].token_ids)
    return second.start == end and second.weight_version == first.weight_version


def _decode(data: bytes, what: str) -> _Chunk:
    try:
        chunk = _CHUNKS.decode(data)
    except msgspec.DecodeError as error:
        raise BackendServerFailed(f"{what}: undecodable chunk {data[:80]!r}") from error
    if not chunk.choices:
        raise BackendServerFailed(f"{what}: chunk without a choice {data[:80]!r}")
    return chunk


@ENGINE_ADAPTERS.register("openai-http")
def _connect(server: BackendServer) -> EngineClient:
    return HttpEngineClient(server)


def chunk_payload(event: EngineEvent, model: str) -> dict[str, Any]:
    """Return the JSON form of an event as an engine of this kind sends it."""
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
