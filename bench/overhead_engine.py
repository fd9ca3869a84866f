"""A stand-in engine for the overhead bench, cheap enough not to dominate the measurement."""

import asyncio
import contextlib

import msgspec

from verbenawind.kernel.messages import (
    EngineStatus,
    GenerationEnded,
    ModelStatus,
    TokensGenerated,
)
from verbenawind.plugins.engine_http import chunk_payload

__all__ = ["FastEngine"]

_STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
)
_MAX_RUNNING = 64


class _Stream:
    __slots__ = ("attempt_id", "done", "position", "writer")

    def __init__(self, attempt_id: str, writer: asyncio.StreamWriter) -> None:
        self.attempt_id = attempt_id
        self.writer = writer
        self.position = 0
        self.done = asyncio.Event()


class FastEngine:
    """Serves one model over raw sockets; one task writes to all streams at a fixed interval.

    Args:
        server_id: Server ID of the engine in the host list.
    """

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.port = 0
        self._streams: set[_Stream] = set()
        self._server: asyncio.Server | None = None
        self._tick_task: asyncio.Task[None] | None = None
        self._tick_s = 0.0

    async def start(self, tokens: int, tokens_per_tick: int, tick_s: float) -> None:
        """Serve answers of *tokens* tokens, *tokens_per_tick* every *tick_s* seconds."""
        self._tick_s = tick_s
        self._starts = list(range(0, tokens, tokens_per_tick))
        self._token_count = tokens
        self._tokens_per_tick = tokens_per_tick
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tick_task = asyncio.get_running_loop().create_task(self._run_ticks())

    async def stop(self) -> None:
        """Stop serving."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(_content_length(head))
                if head.startswith(b"POST /v1/completions"):
                    await self._stream(body, writer)
                elif head.startswith(b"GET /cache/events"):
                    _write_response(writer, b'{"position": 0}')
                else:
                    _write_response(writer, msgspec.json.encode(self._status()))
        writer.close()

    async def _stream(self, body: bytes, writer: asyncio.StreamWriter) -> None:
        attempt_id = msgspec.json.decode(body)["attempt_id"]
        writer.write(_STREAM_HEAD)
        stream = _Stream(attempt_id, writer)
        self._streams.add(stream)
        try:
            await stream.done.wait()
        finally:
            self._streams.discard(stream)

    async def _run_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        while True:
            next_s += self._tick_s
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            for stream in list(self._streams):
                self._advance(stream)

    def _advance(self, stream: _Stream) -> None:
        if stream.writer.transport.is_closing():
            stream.done.set()
            return
        data = _http_chunk(self._next_tokens(stream))
        stream.position += self._tokens_per_tick
        if stream.position >= self._token_count:
            data += (
                _http_chunk(self._end_event(stream))
                + _http_chunk(b"data: [DONE]\n\n")
                + b"0\r\n\r\n"
            )
            self._streams.discard(stream)
            stream.done.set()
        stream.writer.write(data)

    def _next_tokens(self, stream: _Stream) -> bytes:
        token_ids = tuple(range(stream.position, stream.position + self._tokens_per_tick))
        event = TokensGenerated(
            attempt_id=stream.attempt_id,
            start=stream.position,
            token_ids=token_ids,
            text="word " * len(token_ids),
            version=0,
        )
        return _sse_event(event)

    def _end_event(self, stream: _Stream) -> bytes:
        return _sse_event(
            GenerationEnded(
                attempt_id=stream.attempt_id, token_count=self._token_count, finish_reason="length"
            )
        )

    def _status(self) -> EngineStatus:
        return EngineStatus(
            server_id=self.server_id,
            incarnation=1,
            models=(ModelStatus(model="tuner", active_version=0),),
            running=len(self._streams),
            waiting=0,
            max_running=_MAX_RUNNING,
        )


def _sse_event(event: TokensGenerated | GenerationEnded) -> bytes:
    return b"data: " + msgspec.json.encode(chunk_payload(event, "tuner")) + b"\n\n"


def _http_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _write_response(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(
        b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%b"
        % (len(body), body)
    )


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0
