"""A TCP proxy on loopback that delays, resets, cuts one way or silences what passes."""

import asyncio
import contextlib
from enum import StrEnum

__all__ = ["FaultyProxy", "LinkFault"]

_CHUNK_BYTES = 64 * 1024
_SLOW_S = 0.3


class LinkFault(StrEnum):
    """What a link does to its connections."""

    NONE = "none"
    SLOW = "slow"
    REFUSE = "refuse"
    # Bytes are taken and never passed on; both ends see an open connection.
    SILENT = "silent"
    # Requests pass, answers don't.
    ONE_WAY = "one_way"


class FaultyProxy:
    """Passes connections on to one address.

    Args:
        target: ``IP:port`` that connections are passed on to.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.fault = LinkFault.NONE
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
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
        if self.fault is LinkFault.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        there = asyncio.ensure_future(self._copy(reader, far_writer, answers=False))
        back = asyncio.ensure_future(self._copy(far_reader, writer, answers=True))
        self._tasks |= {there, back}
        await asyncio.wait({there, back})
        self._tasks -= {there, back}
        for end in (writer, far_writer):
            self._writers.discard(end)
            end.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.fault is LinkFault.SLOW:
                    await asyncio.sleep(_SLOW_S)
                if self.fault is LinkFault.SILENT or (self.fault is LinkFault.ONE_WAY and answers):
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
