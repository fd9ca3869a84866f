"""A light client of streamed completions, so that the client is not what is measured."""

import asyncio
import contextlib
import socket
import time

__all__ = ["StreamResult", "free_port", "is_ready", "stream_completion"]

_END_MARK = b"data: [DONE]"
_READ_BYTES = 65536


class StreamResult:
    """What came of one streamed answer; times are monotonic, in seconds."""

    __slots__ = ("asked_at_s", "ended_at_s", "first_at_s", "tokens", "whole")

    def __init__(self, asked_at_s: float) -> None:
        self.asked_at_s = asked_at_s
        self.first_at_s = asked_at_s
        self.ended_at_s = asked_at_s
        self.tokens = 0
        self.whole = False


async def stream_completion(port: int, path: str, body: bytes, token: str) -> StreamResult:
    """Send one request on a new connection and count the words until the end mark."""
    result = StreamResult(time.monotonic())
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = (
            f"POST {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: Bearer {token}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await _read(reader, result)
        writer.close()
    result.ended_at_s = time.monotonic()
    return result


async def _read(reader: asyncio.StreamReader, result: StreamResult) -> None:
    tail = b""
    while not result.whole:
        data = await reader.read(_READ_BYTES)
        if not data:
            return
        words = data.count(b"word ")
        if words and not result.tokens:
            result.first_at_s = time.monotonic()
        result.tokens += words
        result.whole = _END_MARK in tail + data
        tail = data[-len(_END_MARK) :]


async def is_ready(port: int) -> bool:
    """Return whether the daemon on a port says that it takes work."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.write(b"GET /readyz HTTP/1.1\r\nhost: 127.0.0.1\r\nconnection: close\r\n\r\n")
    status = await reader.readline()
    writer.close()
    return b" 200 " in status


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
