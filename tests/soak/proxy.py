"""A TCP proxy on loopback that delays, resets, drops or refuses traffic on request."""

import asyncio
import contextlib
from enum import StrEnum

__all__ = ["FaultyProxy", "LinkFault"]

_CHUNK_BYTES = 64 * 1024
_DELAY_S = 0.3


class LinkFault(StrEnum):
    """The fault that a proxy applies to its connections."""

    NONE = "none"
    SLOW = "slow"
    REFUSE = "refuse"
    # Bytes are read and discarded in both directions; both ends see an open connection.
    SILENT = "silent"
    # Requests are forwarded, responses are discarded.
    ONE_WAY = "one_way"


class FaultyProxy:
    """Forwards connections to one address, subject to ``fault``.

    Attributes:
        down: Whether the process behind the proxy has ended, in addition to any fault of the link.

    Args:
        target: ``IP:port`` of the server behind the proxy.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.fault = LinkFault.NONE
        self.down = False
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port and set ``address``."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.down or self.fault is LinkFault.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        upstream = asyncio.ensure_future(self._copy(reader, target_writer, is_response=False))
        downstream = asyncio.ensure_future(self._copy(target_reader, writer, is_response=True))
        self._tasks |= {upstream, downstream}
        await asyncio.wait({upstream, downstream})
        self._tasks -= {upstream, downstream}
        for closing in (writer, target_writer):
            self._writers.discard(closing)
            closing.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.fault is LinkFault.SLOW:
                    await asyncio.sleep(_DELAY_S)
                if self.fault is LinkFault.SILENT or (
                    self.fault is LinkFault.ONE_WAY and is_response
                ):
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
