"""One request of a caller and the answer to it, over ASGI."""

import math
from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any

from verbenawind.errors import CallerDisconnected, TooLarge

__all__ = ["Exchange", "Receive", "Scope", "Send", "end_to_end"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

# A body that is too large is read and dropped up to this multiple of the limit.
_DISCARD_FACTOR = 4
# Headers that concern one connection only.
_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "host",
    }
)


class Exchange:
    """One caller's request and the answer to it.

    Args:
        scope: The request's head.
        receive: Gives its body, and tells when the caller leaves.
        send: Takes the answer.
    """

    __slots__ = (
        "_receive",
        "_send",
        "arrived_s",
        "closing",
        "headers",
        "host",
        "method",
        "path",
        "query",
        "started",
        "target",
    )

    def __init__(self, scope: Scope, receive: Receive, send: Send, arrived_s: float) -> None:
        self._receive = receive
        self._send = send
        self.arrived_s = arrived_s
        self.started = False
        self.closing = False
        self.method: str = scope["method"]
        self.headers = [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]
        ]
        self.host = (self.header("Host") or "").lower()
        raw_path: bytes = scope["raw_path"]
        self.path = raw_path.decode("latin-1")
        query: bytes = scope["query_string"]
        self.query = query.decode("latin-1")
        self.target = f"{self.path}?{self.query}" if query else self.path

    def header(self, name: str) -> str | None:
        """Return the first header of a name."""
        wanted = name.lower()
        return next((value for key, value in self.headers if key == wanted), None)

    def number(self, name: str) -> float | None:
        """Return the number in a header, None where there is none."""
        try:
            value = float(self.header(name) or "")
        except ValueError:
            return None
        return value if math.isfinite(value) else None

    async def body(self, max_bytes: int) -> bytes:
        """Return the request's body.

        Raises:
            TooLarge: It is longer than *max_bytes*.
            CallerDisconnected: The caller left before it was whole.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnected("the caller left before its request was whole")
            data = message.get("body", b"")
            size_bytes += len(data)
            if size_bytes <= max_bytes:
                parts.append(data)
            ended = not message.get("more_body", False)
            # A caller that still sends when its connection closes may never see the answer.
            if size_bytes > max_bytes and (ended or size_bytes > _DISCARD_FACTOR * max_bytes):
                raise TooLarge(f"a body may have {max_bytes} bytes")
            if ended:
                return b"".join(parts)

    async def gone(self) -> None:
        """Return once the caller has left."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the answer's head."""
        self.started = True
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        if self.closing:
            raw.append((b"connection", b"close"))
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def write(self, data: bytes, *, last: bool = False) -> None:
        """Send a stretch of the answer's body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": not last})

    async def answer(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a whole answer."""
        length = () if self.method == "HEAD" else (("Content-Length", str(len(body))),)
        await self.start(status, [*headers, *length])
        await self.write(body, last=True)


def end_to_end(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the headers that do not concern one connection only."""
    listed = list(headers)
    named = {
        part.strip().lower()
        for name, value in listed
        if name.lower() == "connection"
        for part in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in listed
        if name.lower() not in _HOP_HEADERS and name.lower() not in named
    )
