"""Links between daemons over WebSockets."""

from collections.abc import Awaitable, Callable
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from verbenawind.errors import PeerUnreachable
from verbenawind.kernel.ports import PeerChannel

__all__ = ["WebSocketPeerTransport"]

_OPEN_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 0.5
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# Messages of a link that wait to be processed; the peer waits beyond this.
_MAX_QUEUED_MESSAGES = 2


class _Channel:
    """A link over one WebSocket; implements the PeerChannel port."""

    __slots__ = ("_socket",)

    def __init__(self, socket: Any) -> None:
        self._socket = socket

    async def send(self, data: bytes) -> None:
        """Send one message."""
        try:
            await self._socket.send(data)
        except ConnectionClosed as error:
            raise PeerUnreachable(f"peer link closed: {error}") from error

    async def receive(self) -> bytes:
        """Return the next message."""
        try:
            data = await self._socket.recv()
        except ConnectionClosed as error:
            raise PeerUnreachable(f"peer link closed: {error}") from error
        return data if isinstance(data, bytes) else data.encode()

    async def aclose(self) -> None:
        """Close the link."""
        await self._socket.close()


class WebSocketPeerTransport:
    """Creates links over WebSockets; implements the PeerTransport port."""

    __slots__ = ("_servers",)

    def __init__(self) -> None:
        self._servers: list[Server] = []

    async def listen(self, address: str, accept: Callable[[PeerChannel], Awaitable[None]]) -> str:
        """Accept links at *address* and return the bound address."""
        host, _, port = address.rpartition(":")

        async def handle(socket: ServerConnection) -> None:
            await accept(_Channel(socket))

        server = await serve(
            handle,
            host,
            int(port),
            max_size=_MAX_MESSAGE_BYTES,
            max_queue=_MAX_QUEUED_MESSAGES,
            close_timeout=_CLOSE_TIMEOUT_S,
            compression=None,
        )
        self._servers.append(server)
        bound = next(iter(server.sockets)).getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def connect(self, address: str) -> PeerChannel:
        """Open a link to the daemon at *address*."""
        try:
            socket = await connect(
                f"ws://{address}",
                open_timeout=_OPEN_TIMEOUT_S,
                close_timeout=_CLOSE_TIMEOUT_S,
                max_size=_MAX_MESSAGE_BYTES,
                max_queue=_MAX_QUEUED_MESSAGES,
                compression=None,
                proxy=None,
            )
        except (OSError, ValueError, OverflowError, TimeoutError, WebSocketException) as error:
            raise PeerUnreachable(f"cannot connect to peer {address}: {error!r}") from error
        return _Channel(socket)

    async def aclose(self) -> None:
        """Stop listening and close all links."""
        for server in self._servers:
            server.close()
            await server.wait_closed()
