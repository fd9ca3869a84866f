"""A small HTTP/1.1 client over a C parser, for backend servers and the platform's store.

Responses are matched to requests by an id that the server echoes, so that a second response to an
earlier request is never taken for the answer to a later one.
"""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Sequence

import httptools
import msgspec

from verbenawind.clock import Clock
from verbenawind.errors import BackendServerFailed, BackendServerUnreachable

__all__ = ["Header", "Http1Client", "Http1Request", "Http1Response"]

Header = tuple[str, str]

# Received bytes that wait for their reader before the socket is no longer read.
_MAX_BUFFERED_BYTES = 256 * 1024
# A kept connection whose server names no idle timeout is used again for so long.
_DEFAULT_IDLE_S = 4.0
# A server may close a connection at its timeout while a request is on its way.
_IDLE_MARGIN_S = 0.5
# Unacknowledged bytes for so long end a connection whose peer has gone silent.
_USER_TIMEOUT_MS = 4_000


class Http1Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request; ``echo`` is a header that the right response repeats, where it has it."""

    method: str
    target: str
    headers: Sequence[Header]
    body: bytes = b""
    echo: Header | None = None

    def encode(self) -> bytes:
        """Return the request's bytes."""
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "\r\n"]).encode("latin-1") + self.body


class _Connection(asyncio.Protocol):
    """One connection, which serves one request at a time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._response: Http1Response | None = None
        self._parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)
        self._skipping = False
        self._echo: Header | None = None
        self._headers: list[Header] = []
        self._framed = False
        self.usable_until_s = 0.0
        self.used = False
        self.closed = False

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            with contextlib.suppress(OSError):
                raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; bytes that belong to no request end the connection."""
        if self._response is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the server changed the protocol")
        except httptools.HttpParserError as error:
            self._fail(f"the response is no HTTP: {error}")

    def eof_received(self) -> None:
        """End a response that has no length."""
        if self._response is not None and self._response.started and not self._framed:
            self._finish()
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response that is under way."""
        self.closed = True
        self._fail(f"the connection was lost ({exc or 'closed'})")

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Begin to collect headers; a message that no request asked for ends the connection."""
        self._headers = []
        if self._response is None:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Hand the head over, unless it is of another request's response."""
        response = self._response
        status = self._parser.get_status_code()
        if response is None:
            return
        self._skipping = 100 <= status < 200 or not self._echoed()
        if self._skipping:
            return
        names = {name.lower() for name, _ in self._headers}
        self._framed = bool(names & {"content-length", "transfer-encoding"}) or status in (204, 304)
        response.begin(status, self._headers)

    def on_body(self, body: bytes) -> None:
        """Hand a stretch of the body over."""
        if self._response is None or self._skipping:
            return
        self._response.feed(body)
        if self._response.buffered_bytes > _MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the response, or skip over one that was another request's."""
        if self._skipping:
            self._skipping = False
            return
        if self._response is not None:
            self._finish()

    # What the client calls.

    def send(self, request: Http1Request, response: "Http1Response") -> None:
        """Send a request whose response is wanted."""
        assert self._transport is not None
        self._response, self._echo = response, request.echo
        self.used = True
        self._transport.write(request.encode())

    def resume_reading(self) -> None:
        """Read on after the reader has caught up."""
        if self._transport is not None and not self.closed:
            self._transport.resume_reading()

    def close(self) -> None:
        """Reset the connection at once, so that the server stops its work."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    @property
    def idle(self) -> bool:
        """Whether another request may be sent."""
        return (
            not self.closed
            and self._response is None
            and self._clock.monotonic_s() < self.usable_until_s
        )

    def _echoed(self) -> bool:
        if self._echo is None:
            return True
        name, value = self._echo
        echoes = [seen for header, seen in self._headers if header.lower() == name.lower()]
        return not echoes or value in echoes

    def _finish(self) -> None:
        response, self._response = self._response, None
        assert response is not None and self._transport is not None
        keep = self._framed and self._parser.should_keep_alive()
        if self._transport.get_write_buffer_size() > 0 or not keep:
            self.closed = True
            self._transport.close()
        else:
            self.usable_until_s = self._clock.monotonic_s() + self._idle_s() - _IDLE_MARGIN_S
        response.finish()

    def _idle_s(self) -> float:
        for name, value in self._headers:
            if name.lower() == "keep-alive":
                for part in value.split(","):
                    key, _, number = part.strip().partition("=")
                    if key == "timeout" and number.isdigit():
                        return float(number)
        return _DEFAULT_IDLE_S

    def _fail(self, reason: str) -> None:
        response, self._response = self._response, None
        if response is not None:
            response.fail(reason)
        self.close()


class Http1Response:
    """A response that arrives; read it to its end or close it."""

    __slots__ = (
        "_chunks",
        "_client",
        "_connection",
        "_error",
        "_wake",
        "address",
        "buffered_bytes",
        "complete",
        "headers",
        "started",
        "status",
    )

    def __init__(self, client: "Http1Client", connection: _Connection, address: str) -> None:
        self._client = client
        self._connection = connection
        self._chunks: deque[bytes] = deque()
        self._wake = asyncio.Event()
        self._error = ""
        self.address = address
        self.buffered_bytes = 0
        self.complete = False
        self.started = False
        self.status = 0
        self.headers: list[Header] = []

    def header(self, name: str) -> str | None:
        """Return the first header of a name, in whatever case."""
        wanted = name.lower()
        return next((value for key, value in self.headers if key.lower() == wanted), None)

    async def head(self) -> None:
        """Wait for the status and headers; raises BackendServerFailed when none came."""
        while not self.started:
            self._check()
            await self._wait()

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, or nothing at its end.

        Raises:
            BackendServerFailed: The body broke off.
        """
        while not self._chunks:
            if self.complete:
                return b""
            self._check()
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self.buffered_bytes = 0
        self._connection.resume_reading()
        return data

    async def body(self) -> bytes:
        """Return the rest of the body."""
        parts = []
        while data := await self.chunk():
            parts.append(data)
        return b"".join(parts)

    def close(self) -> None:
        """Give the response up; a server that still works on it is cut off."""
        if not self.complete:
            self._connection.close()

    # What the connection calls.

    def begin(self, status: int, headers: list[Header]) -> None:
        """Take the head."""
        self.status, self.headers, self.started = status, headers, True
        self._wake.set()

    def feed(self, data: bytes) -> None:
        """Take a stretch of the body."""
        self._chunks.append(data)
        self.buffered_bytes += len(data)
        self._wake.set()

    def finish(self) -> None:
        """Mark the body as whole and give the connection back."""
        self.complete = True
        self._client.give_back(self.address, self._connection)
        self._wake.set()

    def fail(self, reason: str) -> None:
        """Mark the response as broken off."""
        self._error = reason
        self._wake.set()

    def _check(self) -> None:
        if self._error:
            raise BackendServerFailed(f"server {self.address}: {self._error}")

    async def _wait(self) -> None:
        self._wake.clear()
        await self._wake.wait()


class Http1Client:
    """Keeps connections to many addresses and sends requests over them.

    Args:
        clock: Time source.
        connect_timeout_s: How long a connection may take to open.
    """

    __slots__ = ("_clock", "_connect_timeout_s", "_idle", "opened")

    def __init__(self, clock: Clock, connect_timeout_s: float) -> None:
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[_Connection]] = {}
        self.opened = 0

    async def send(
        self, address: str, request: Http1Request, *, fresh: bool = False
    ) -> Http1Response:
        """Send a request to ``IP:port`` and return its response, which has yet to arrive.

        Args:
            address: Where to.
            request: What to send.
            fresh: Use no kept connection.

        Raises:
            BackendServerUnreachable: No connection was made; nothing was sent.
        """
        connection = None if fresh else self._kept(address)
        if connection is None:
            connection = await self._connect(address)
        response = Http1Response(self, connection, address)
        connection.send(request, response)
        return response

    def give_back(self, address: str, connection: _Connection) -> None:
        """Keep a connection whose response is complete."""
        if connection.idle:
            self._idle.setdefault(address, []).append(connection)

    def forget(self, address: str) -> None:
        """Close the kept connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every kept connection."""
        for address in list(self._idle):
            self.forget(address)

    def _kept(self, address: str) -> _Connection | None:
        kept = self._idle.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.idle:
                return connection
            connection.close()
        return None

    async def _connect(self, address: str) -> _Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self._clock), host, int(port)
                )
        except (OSError, ValueError, TimeoutError) as error:
            raise BackendServerUnreachable(f"server {address}: {error!r}") from error
        self.opened += 1
        return connection
