"""A stand-in engine that streams fast enough not to be what the overhead bench measures."""

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
    """Serves one model over raw sockets; the chunks of every answer are made beforehand.

    Args:
        server_id: The engine's name in the host list.
    """

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.port = 0
        self._streams: set[_Stream] = set()
        self._server: asyncio.Server | None = None
        self._ticker: asyncio.Task[None] | None = None
        self._tick_s = 0.0

    async def start(self, tokens: int, tokens_per_tick: int, tick_s: float) -> None:
        """Serve answers of *tokens* tokens, some every *tick_s* seconds."""
        self._tick_s = tick_s
        self._starts = list(range(0, tokens, tokens_per_tick))
        self._count = tokens
        self._per_tick = tokens_per_tick
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._ticker = asyncio.get_running_loop().create_task(self._tick())

    async def stop(self) -> None:
        """Stop serving."""
        if self._ticker is not None:
            self._ticker.cancel()
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
                    _reply(writer, b'{"position": 0}')
                else:
                    _reply(writer, msgspec.json.encode(self._status()))
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

    async def _tick(self) -> None:
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
        data = _chunk(self._tokens(stream))
        stream.position += self._per_tick
        if stream.position >= self._count:
            data += _chunk(self._end(stream)) + _chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"
            self._streams.discard(stream)
            stream.done.set()
        stream.writer.write(data)

    def _tokens(self, stream: _Stream) -> bytes:
        token_ids = tuple(range(stream.position, stream.position + self._per_tick))
        event = TokensGenerated(
            attempt_id=stream.attempt_id,
            start=stream.position,
            token_ids=token_ids,
            text="word " * len(token_ids),
            version=0,
        )
        return _line(event)

    def _end(self, stream: _Stream) -> bytes:
        return _line(
            GenerationEnded(
                attempt_id=stream.attempt_id, token_count=self._count, finish_reason="length"
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


def _line(event: TokensGenerated | GenerationEnded) -> bytes:
    return b"data: " + msgspec.json.encode(chunk_payload(event, "tuner")) + b"\n\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _reply(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(
        b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%b"
        % (len(body), body)
    )


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0
