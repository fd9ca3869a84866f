"""Runs uvicorn inside an existing event loop, with limits on connections and on slow callers."""

import asyncio
import contextlib
import math
import socket
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, cast

import h11
import msgspec
import uvicorn
from h11 import Data, EndOfMessage, LocalProtocolError, Response
from uvicorn.protocols.http.h11_impl import STATUS_PHRASES, H11Protocol

from verbenawind.errors import Outcome
from verbenawind.orderly_close import OrderlyTransport

__all__ = ["HttpServer"]

_START_POLL_S = 0.01
_HEADERS_TOO_LARGE = 431
_MAX_HEAD_BYTES = 32 * 1024


class _EmbeddedServer(uvicorn.Server):
    """A uvicorn server that does not replace the process's signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the daemon installs its own."""
        yield


class _Connection(h11.Connection):
    """An h11 connection that keeps the status of a protocol error and rejects ambiguous framing."""

    def __init__(self, role: Any, max_incomplete_event_size: int | None) -> None:
        super().__init__(role, max_incomplete_event_size or _MAX_HEAD_BYTES)
        self.error_status = 400

    def next_event(self) -> Any:
        """Return the next event.

        A request with both a Content-Length and a Transfer-Encoding is rejected, since its framing
        is ambiguous.
        """
        try:
            event = super().next_event()
            if isinstance(event, h11.Request):
                names = {name for name, _ in event.headers}
                if {b"content-length", b"transfer-encoding"} <= names:
                    raise h11.RemoteProtocolError(
                        "a request must not have both Content-Length and Transfer-Encoding"
                    )
        except h11.RemoteProtocolError as error:
            self.error_status = error.error_status_hint
            raise
        return event


class _Protocol(H11Protocol):
    """HTTP/1.1 protocol with a connection limit, head and write timeouts, and errors in JSON."""

    def __init__(
        self,
        *args: Any,
        header_timeout_s: float,
        write_timeout_s: float,
        max_connections: int | None,
        keep_alive_s: Callable[[], float] | None,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.conn = _Connection(h11.SERVER, self.config.h11_max_incomplete_event_size)
        self._keep_alive_s = keep_alive_s
        self._write_timeout_s = write_timeout_s
        self._write_timer: asyncio.TimerHandle | None = None
        self._max_connections = max_connections
        self._header_timeout_s = header_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer of the first request head; refuse connections beyond the limit."""
        self._orderly = OrderlyTransport(cast(asyncio.Transport, transport), self._has_unread_input)
        super().connection_made(self._orderly)
        if self._max_connections is not None and len(self.connections) > self._max_connections:
            self.app = _refuse_connection
        self._head_timer = self.loop.call_later(self._header_timeout_s, self._on_head_timeout)

    def data_received(self, data: bytes) -> None:
        """Start the timer of a request head, and stop it once the head is complete."""
        if self._orderly.drains:
            self._orderly.drop(data)
            return
        if self._head_timer is None and (self.cycle is None or self.cycle.response_complete):
            self._head_timer = self.loop.call_later(self._header_timeout_s, self._on_head_timeout)
        previous_cycle = self.cycle
        super().data_received(data)
        if self.cycle is not previous_cycle:
            self._cancel_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers."""
        self._cancel_head_timer()
        self._cancel_write_timer()
        self._orderly.lost()
        super().connection_lost(exc)

    def on_response_complete(self) -> None:
        """Set the keep-alive timeout, which may have changed, from the limits in force."""
        if self._keep_alive_s is not None:
            self.timeout_keep_alive = math.ceil(self._keep_alive_s())
        super().on_response_complete()

    def pause_writing(self) -> None:
        """Start the write timeout: a slow reader keeps a backend server occupied."""
        super().pause_writing()
        self._write_timer = self.loop.call_later(self._write_timeout_s, self.transport.abort)

    def resume_writing(self) -> None:
        """Cancel the write timeout."""
        self._cancel_write_timer()
        super().resume_writing()

    def send_400_response(self, msg: str) -> None:
        """Respond to malformed HTTP with the JSON body of all errors."""
        if cast(_Connection, self.conn).error_status == _HEADERS_TOO_LARGE:
            self._send_error_response(
                _HEADERS_TOO_LARGE, "headers_too_large", "the request head is too large"
            )
        else:
            self._send_error_response(400, "invalid_request", msg)

    def _has_unread_input(self) -> bool:
        """Return whether the caller may still be sending a request that was rejected early."""
        return self.conn.their_state in (h11.SEND_BODY, h11.ERROR)

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self.cycle is None or self.cycle.response_complete:
            limit_s = self._header_timeout_s
            self._send_error_response(
                408,
                "request_timeout",
                f"the request head was not complete within {limit_s} seconds",
            )

    def _send_error_response(self, status: int, code: str, message: str) -> None:
        body = _error_body(code, "invalid_request_error", message)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        with contextlib.suppress(LocalProtocolError):
            for event in (
                Response(status_code=status, headers=headers, reason=STATUS_PHRASES[status]),
                Data(data=body),
                EndOfMessage(),
            ):
                self.transport.write(self.conn.send(event) or b"")
        self.transport.close()

    def _cancel_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


async def _refuse_connection(_scope: Any, _receive: Any, send: Any) -> None:
    body = _error_body("overloaded", "server_error", "too many open connections")
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"retry-after", b"1"),
        (b"connection", b"close"),
    ]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})


def _error_body(code: str, error_type: str, message: str) -> bytes:
    error = {"message": message, "code": code, "type": error_type, "outcome": Outcome.NOT_RUN}
    return msgspec.json.encode({"error": error})


class HttpServer:
    """A listening HTTP server.

    Args:
        app: The ASGI application.
        host: IP address to listen on.
        port: TCP port; 0 lets the kernel choose one.
        max_connections: Requests on connections beyond this number get status 503.
        header_timeout_s: Time limit for receiving a request head.
        write_timeout_s: A connection is closed if the caller reads nothing for this long.
        keep_alive_s: Returns the idle timeout of connections; called after each response.
        max_head_bytes: Size limit of the request line and headers.
    """

    __slots__ = ("_server", "_socket", "_task")

    def __init__(
        self,
        app: Any,
        host: str,
        port: int,
        *,
        max_connections: int | None = None,
        header_timeout_s: float = 10.0,
        write_timeout_s: float = 30.0,
        keep_alive_s: Callable[[], float] | None = None,
        max_head_bytes: int = _MAX_HEAD_BYTES,
    ) -> None:
        # asyncio sets TCP_NODELAY only on sockets that are created with IPPROTO_TCP.
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        config = uvicorn.Config(
            app,
            interface="asgi3",
            loop="asyncio",
            http=partial(  # type: ignore[arg-type]
                _Protocol,
                header_timeout_s=header_timeout_s,
                write_timeout_s=write_timeout_s,
                max_connections=max_connections,
                keep_alive_s=keep_alive_s,
            ),
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="warning",
            access_log=False,
            h11_max_incomplete_event_size=max_head_bytes,
            server_header=False,
            proxy_headers=False,
        )
        self._server = _EmbeddedServer(config)
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """The address that the socket is bound to, as ``IP:port``."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start the server; return once it accepts connections."""
        self._socket.listen(1024)
        serve = self._server.serve(sockets=[self._socket])
        self._task = asyncio.get_running_loop().create_task(serve)
        while not self._server.started:
            if self._task.done():
                await self._task
            await asyncio.sleep(_START_POLL_S)

    async def stop(self) -> None:
        """Stop accepting connections, wait for requests in flight, then close."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    async def kill(self) -> None:
        """Close immediately, without waiting for requests in flight."""
        self._server.should_exit = True
        self._server.force_exit = True
        if self._task is not None:
            await self._task
