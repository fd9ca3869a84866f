"""Serves an ASGI application with uvicorn inside a running event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from litestar import Litestar

__all__ = ["HttpServer"]

_START_POLL_S = 0.01


class _QuietServer(uvicorn.Server):
    """A uvicorn server that leaves the process's signal handlers alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers; the daemon has its own."""
        yield


class HttpServer:
    """One listening HTTP server.

    Args:
        app: The ASGI application.
        host: IP number to listen on.
        port: TCP port, 0 for one that the kernel chooses.
        max_connections: Connections beyond this number are answered 503.
    """

    __slots__ = ("_server", "_socket", "_task")

    def __init__(
        self, app: Litestar, host: str, port: int, *, max_connections: int | None = None
    ) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        config = uvicorn.Config(
            app,
            loop="asyncio",
            lifespan="off",
            log_config=None,
            log_level="warning",
            access_log=False,
            limit_concurrency=max_connections,
            h11_max_incomplete_event_size=32 * 1024,
            server_header=False,
        )
        self._server = _QuietServer(config)
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """The bound address as ``IP:port``."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start serving and return once connections are accepted."""
        self._socket.listen(1024)
        serve = self._server.serve(sockets=[self._socket])
        self._task = asyncio.get_running_loop().create_task(serve)
        while not self._server.started:
            if self._task.done():
                await self._task
            await asyncio.sleep(_START_POLL_S)

    async def stop(self) -> None:
        """Stop accepting connections, let every request end, then close."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    async def kill(self) -> None:
        """Close at once without waiting for requests."""
        self._server.should_exit = True
        self._server.force_exit = True
        if self._task is not None:
            await self._task
