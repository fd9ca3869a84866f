"""A minimal HTTP/1.1 client for backend servers and the platform's store, using a C parser.

Responses are matched to requests by an id that the server echoes, so a duplicate response to an
earlier request is never mistaken for the response to a later one.
"""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Sequence

import httptools
import msgspec

from verbenawind.clock import Clock
from verbenawind.errors import BackendServerFailed, BackendServerUnreachable, RequestUnsendable
from verbenawind.kernel.http_syntax import (
    is_field_name,
    is_field_value,
    is_request_target,
    parse_decimal,
)
from verbenawind.plugins.http1_sizes import MessageSizes, ResponseTooLong

__all__ = ["Header", "Http1Client", "Http1Request", "Http1Response"]

Header = tuple[str, str]

# The statuses of final responses; no other can be sent on to a caller.
_MIN_STATUS, _MAX_STATUS = 200, 599
# Headers that tell where a message ends; only the client itself sets them.
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
# Reading from the socket pauses while more than this many received bytes are unread.
_MAX_BUFFERED_BYTES = 256 * 1024
# Idle timeout of a connection whose server sends no keep-alive timeout.
_DEFAULT_IDLE_TIMEOUT_S = 4.0
# A connection is not reused this close to its idle timeout, because the server may close it while
# a request is in transit.
_IDLE_MARGIN_S = 0.5
# Size of a body that is read as a whole, unless the caller gives another one.
_MAX_BODY_BYTES = 1024 * 1024
# The operating system closes a connection whose sent data stays unacknowledged for this long, which
# detects a peer that no longer responds.
_USER_TIMEOUT_MS = 4_000


class Http1Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request.

    ``echo`` is a header that the matching response repeats if it has a header of that name.
    """

    method: str
    target: str
    headers: Sequence[Header]
    body: bytes = b""
    echo: Header | None = None

    def encode(self) -> bytes:
        """Return the request in wire format.

        Raises:
            RequestUnsendable: A part would not arrive as it is, or as part of another request.
        """
        self._check()
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "\r\n"]).encode("latin-1") + self.body

    def _check(self) -> None:
        if not is_field_name(self.method):
            raise RequestUnsendable(f"{self.method!r} is not a method")
        if not is_request_target(self.target):
            raise RequestUnsendable(f"{self.target!r} is not the path of a request")
        for name, value in self.headers:
            if not is_field_name(name) or name.lower() in _FRAMING_HEADERS:
                raise RequestUnsendable(f"{name!r} is not the name of a header to send")
            if not is_field_value(value):
                raise RequestUnsendable(f"{value!r} is not a value for the header {name}")


class _Connection(asyncio.Protocol):
    """A connection that handles one request at a time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._response: Http1Response | None = None
        self._parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)
        self._skip_message = False
        self._echo: Header | None = None
        self._headers: list[Header] = []
        self._framed = False
        self._sizes = MessageSizes()
        self.reusable_until_s = 0.0
        self.used = False
        self.closed = False

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the user timeout of the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is pending."""
        if self._response is None:
            self.close()
            return
        self._sizes.received(len(data))
        try:
            self._parser.feed_data(data)
            if self._response is not None:
                self._sizes.check_unfinished()
        except httptools.HttpParserUpgrade:
            self._fail("server switched protocols")
        except (httptools.HttpParserError, ResponseTooLong) as error:
            self._fail(self._sizes.excess or f"invalid HTTP response: {error}")

    def eof_received(self) -> None:
        """Complete a response whose end is marked by the end of the connection."""
        if self._response is not None and self._response.started and not self._framed:
            self._finish()
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending response."""
        self.closed = True
        self._fail(f"connection lost ({exc or 'closed'})")

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start collecting headers; close the connection if no request is pending."""
        self._headers = []
        self._sizes.begin_message()
        if self._response is None:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; those after the body are trailers, which nothing uses."""
        self._sizes.add_header(len(name) + len(value))
        if not self._sizes.in_head:
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Pass the head to the response; skip 1xx messages and responses to other requests."""
        response = self._response
        status = self._parser.get_status_code()
        if response is None:
            return
        self._sizes.end_head()
        self._skip_message = 100 <= status < 200 or not self._echo_matches()
        if self._skip_message:
            self._sizes.skip_message()
            return
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            self._fail(f"invalid HTTP response: status {status}")
            return
        names = {name.lower() for name, _ in self._headers}
        self._framed = bool(names & {"content-length", "transfer-encoding"}) or status in (204, 304)
        response.begin(status, self._headers)

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the response; pause reading while too much is unread."""
        self._sizes.add_body(len(body), skipped=self._skip_message)
        if self._response is None or self._skip_message:
            return
        self._response.feed(body)
        if self._response.buffered_bytes > _MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Complete the response, or finish skipping a message."""
        if self._skip_message:
            self._skip_message = False
            return
        if self._response is not None:
            self._finish()

    # Called by the client and the response.

    def send(self, encoded: bytes, echo: Header | None, response: "Http1Response") -> None:
        """Send a request and direct the parsed response to *response*.

        Args:
            encoded: The request in wire format.
            echo: The header that its response repeats.
            response: Where the response goes.
        """
        assert self._transport is not None
        self._response, self._echo = response, echo
        self._sizes.begin_request()
        self.used = True
        self._transport.write(encoded)

    def resume_reading(self) -> None:
        """Resume reading from the socket after the buffered data has been read."""
        if self._transport is not None and not self.closed:
            self._transport.resume_reading()

    def close(self) -> None:
        """Abort the connection, so that the server stops processing the request."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    @property
    def reusable(self) -> bool:
        """Whether the connection can be reused for another request."""
        return (
            not self.closed
            and self._response is None
            and self._clock.monotonic_s() < self.reusable_until_s
        )

    def _echo_matches(self) -> bool:
        if self._echo is None:
            return True
        name, value = self._echo
        echoes = [echoed for header, echoed in self._headers if header.lower() == name.lower()]
        return not echoes or value in echoes

    def _finish(self) -> None:
        response, self._response = self._response, None
        assert response is not None and self._transport is not None
        keep_alive = self._framed and self._parser.should_keep_alive()
        if self._transport.get_write_buffer_size() > 0 or not keep_alive:
            self.closed = True
            self._transport.close()
        else:
            self.reusable_until_s = (
                self._clock.monotonic_s() + self._idle_timeout_s() - _IDLE_MARGIN_S
            )
        response.finish()

    def _idle_timeout_s(self) -> float:
        for name, value in self._headers:
            if name.lower() == "keep-alive":
                for part in value.split(","):
                    key, _, number = part.strip().partition("=")
                    timeout_s = parse_decimal(number)
                    if key == "timeout" and timeout_s is not None:
                        return float(timeout_s)
        return _DEFAULT_IDLE_TIMEOUT_S

    def _fail(self, reason: str) -> None:
        response, self._response = self._response, None
        if response is not None:
            response.fail(reason)
        self.close()


class Http1Response:
    """A response that may still be arriving; read it to its end or close it."""

    __slots__ = (
        "_chunks",
        "_client",
        "_connection",
        "_error",
        "_updated",
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
        self._updated = asyncio.Event()
        self._error = ""
        self.address = address
        self.buffered_bytes = 0
        self.complete = False
        self.started = False
        self.status = 0
        self.headers: list[Header] = []

    def header(self, name: str) -> str | None:
        """Return the first header with a name, ignoring case, or None."""
        wanted = name.lower()
        return next((value for key, value in self.headers if key.lower() == wanted), None)

    async def head(self) -> None:
        """Wait for the status and headers; raises BackendServerFailed if none arrive."""
        while not self.started:
            self._check()
            await self._wait()

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end.

        Raises:
            BackendServerFailed: The connection failed before the end of the body.
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

    async def body(self, max_bytes: int = _MAX_BODY_BYTES) -> bytes:
        """Return the remaining body.

        Args:
            max_bytes: The largest size; a larger body closes the connection.

        Raises:
            BackendServerFailed: The body is larger, or the connection failed before its end.
        """
        parts, size_bytes = [], 0
        while data := await self.chunk():
            size_bytes += len(data)
            if size_bytes > max_bytes:
                self.close()
                raise BackendServerFailed(
                    f"server {self.address}: the body exceeded the limit of {max_bytes} bytes"
                )
            parts.append(data)
        return b"".join(parts)

    def close(self) -> None:
        """Discard the response; aborts the connection unless the response is complete."""
        if not self.complete:
            self._connection.close()

    # Called by the connection.

    def begin(self, status: int, headers: list[Header]) -> None:
        """Set the status and headers."""
        self.status, self.headers, self.started = status, headers, True
        self._updated.set()

    def feed(self, data: bytes) -> None:
        """Append a part of the body."""
        self._chunks.append(data)
        self.buffered_bytes += len(data)
        self._updated.set()

    def finish(self) -> None:
        """Mark the response as complete and release the connection."""
        self.complete = True
        self._client.release(self.address, self._connection)
        self._updated.set()

    def fail(self, reason: str) -> None:
        """Mark the response as failed."""
        self._error = reason
        self._updated.set()

    def _check(self) -> None:
        if self._error:
            raise BackendServerFailed(f"server {self.address}: {self._error}")

    async def _wait(self) -> None:
        self._updated.clear()
        await self._updated.wait()


class Http1Client:
    """Sends requests over pooled connections to many addresses.

    Args:
        clock: Time source.
        connect_timeout_s: Timeout for opening a connection, in seconds.
    """

    __slots__ = ("_clock", "_connect_timeout_s", "_idle", "connections_opened")

    def __init__(self, clock: Clock, connect_timeout_s: float) -> None:
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[_Connection]] = {}
        self.connections_opened = 0

    async def send(
        self, address: str, request: Http1Request, *, fresh: bool = False
    ) -> Http1Response:
        """Send a request and return its response without waiting for it to arrive.

        Args:
            address: Address of the server, ``IP:port``.
            request: The request.
            fresh: Open a new connection instead of reusing an idle one.

        Raises:
            BackendServerUnreachable: No connection could be opened; nothing was sent.
            RequestUnsendable: A part of the request is not valid HTTP; nothing was sent.
        """
        encoded = request.encode()
        connection = None if fresh else self._take_idle(address)
        if connection is None:
            connection = await self._connect(address)
        response = Http1Response(self, connection, address)
        connection.send(encoded, request.echo, response)
        return response

    def release(self, address: str, connection: _Connection) -> None:
        """Return a connection to the pool if it can be reused."""
        if connection.reusable:
            self._idle.setdefault(address, []).append(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _take_idle(self, address: str) -> _Connection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.reusable:
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
        except (OSError, ValueError, OverflowError, TimeoutError) as error:
            raise BackendServerUnreachable(
                f"cannot connect to server {address}: {error!r}"
            ) from error
        self.connections_opened += 1
        return connection
