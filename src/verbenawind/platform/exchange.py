"""An HTTP request and its response over ASGI."""

import math
from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any

from verbenawind.errors import CallerDisconnected, TooLarge

__all__ = ["Exchange", "Receive", "Scope", "Send", "end_to_end_headers"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

# A body that is too large is read and discarded up to this multiple of the limit.
_DISCARD_FACTOR = 4
# Headers that apply to a single connection, and those that are set anew for each connection.
_HOP_BY_HOP_HEADERS = frozenset(
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
    """A caller's request and the response to it.

    Args:
        scope: The ASGI scope of the request.
        receive: Receives the request body and the caller's disconnect.
        send: Sends the response.
        arrived_s: Monotonic time at which the request arrived.
        is_closing: Returns whether the connection is to be closed after the response.
    """

    __slots__ = (
        "_is_closing",
        "_receive",
        "_send",
        "arrived_s",
        "caller_ip",
        "close_connection",
        "headers",
        "host",
        "method",
        "path",
        "query",
        "started",
        "target",
    )

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        arrived_s: float,
        *,
        is_closing: Callable[[], bool],
    ) -> None:
        self._is_closing = is_closing
        self._receive = receive
        self._send = send
        self.arrived_s = arrived_s
        self.started = False
        self.close_connection = False
        self.method: str = scope["method"]
        client = scope.get("client")
        self.caller_ip: str = client[0] if client else ""
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
        """Return the first value of a header, None if it is absent."""
        lower_name = name.lower()
        return next((value for key, value in self.headers if key == lower_name), None)

    def float_header(self, name: str) -> float | None:
        """Return a header's value as a finite number, None if it is absent or not one."""
        try:
            value = float(self.header(name) or "")
        except ValueError:
            return None
        return value if math.isfinite(value) else None

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the request's body.

        Raises:
            TooLarge: The body is longer than *max_bytes*.
            CallerDisconnected: The caller disconnected before the body was complete.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnected("the caller disconnected before the body was complete")
            data = message.get("body", b"")
            size_bytes += len(data)
            if size_bytes <= max_bytes:
                parts.append(data)
            ended = not message.get("more_body", False)
            # If the connection is closed while the caller is still sending, the caller may never
            # read the response. Hence the body is read to its end, within bounds.
            if size_bytes > max_bytes and (ended or size_bytes > _DISCARD_FACTOR * max_bytes):
                raise TooLarge(f"the request body exceeds the limit of {max_bytes} bytes")
            if ended:
                return b"".join(parts)

    async def wait_for_disconnect(self) -> None:
        """Return once the caller has disconnected."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the response's status and headers."""
        self.started = True
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        if self.close_connection or self._is_closing():
            raw.append((b"connection", b"close"))
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def write(self, data: bytes, *, last: bool = False) -> None:
        """Send a chunk of the response's body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": not last})

    async def respond(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a complete response."""
        length = () if self.method == "HEAD" else (("Content-Length", str(len(body))),)
        await self.start(status, [*headers, *length])
        await self.write(body, last=True)


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return *headers* without hop-by-hop headers, which are not forwarded."""
    all_headers = list(headers)
    connection_options = {
        part.strip().lower()
        for name, value in all_headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in all_headers
        if name.lower() not in _HOP_BY_HOP_HEADERS and name.lower() not in connection_options
    )
