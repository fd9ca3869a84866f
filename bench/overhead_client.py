"""A minimal client of streamed completions, cheap enough not to dominate the measurement."""

import asyncio
import contextlib
import socket
import time

__all__ = ["StreamResult", "free_port", "is_ready", "stream_completion"]

_END_MARKER = b"data: [DONE]"
_READ_BYTES = 65536


class StreamResult:
    """The outcome of one streamed answer; times are of the monotonic clock, in seconds."""

    __slots__ = ("complete", "ended_at_s", "first_token_at_s", "sent_at_s", "tokens")

    def __init__(self, sent_at_s: float) -> None:
        self.sent_at_s = sent_at_s
        self.first_token_at_s = sent_at_s
        self.ended_at_s = sent_at_s
        self.tokens = 0
        self.complete = False


async def stream_completion(port: int, path: str, body: bytes, token: str) -> StreamResult:
    """Send a request on a new connection and count the tokens until the end marker."""
    result = StreamResult(time.monotonic())
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = (
            f"POST {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: Bearer {token}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await _read_events(reader, result)
        writer.close()
    result.ended_at_s = time.monotonic()
    return result


async def _read_events(reader: asyncio.StreamReader, result: StreamResult) -> None:
    tail = b""
    while not result.complete:
        data = await reader.read(_READ_BYTES)
        if not data:
            return
        words = data.count(b"word ")
        if words and not result.tokens:
            result.first_token_at_s = time.monotonic()
        result.tokens += words
        result.complete = _END_MARKER in tail + data
        tail = data[-len(_END_MARKER) :]


async def is_ready(port: int) -> bool:
    """Return whether the daemon on a port reports that it is ready."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.write(b"GET /readyz HTTP/1.1\r\nhost: 127.0.0.1\r\nconnection: close\r\n\r\n")
    status = await reader.readline()
    writer.close()
    return b" 200 " in status


def free_port() -> int:
    """Return a port that is currently free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
