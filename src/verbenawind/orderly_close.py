"""Closes connections whose peer is still sending, without losing the response.

If a socket is closed while bytes of the peer are unread, the kernel resets the connection, and the
peer may lose a response that it has not read yet.
"""

import asyncio
from collections.abc import Callable
from typing import Any

__all__ = ["OrderlyTransport"]

# How long, and for how many bytes, a closed connection is still read.
_DRAIN_TIMEOUT_S = 1.0
_MAX_DRAINED_BYTES = 8 * 1024 * 1024


class OrderlyTransport(asyncio.Transport):
    """A transport whose ``close`` first drains what the peer is still sending.

    The write side is closed at once, so the peer sees the end of the response. The read side stays
    open until the peer closes, or until a limit of time or bytes is reached.

    Args:
        transport: The connection's transport.
        has_unread_input: Returns whether the peer may still be sending a request.
    """

    __slots__ = ("_drained_bytes", "_drains", "_has_unread_input", "_timer", "_transport")

    def __init__(self, transport: asyncio.Transport, has_unread_input: Callable[[], bool]) -> None:
        self._transport = transport
        self._has_unread_input = has_unread_input
        self._drains = False
        self._drained_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def drains(self) -> bool:
        """Whether the connection is closed for writing and received bytes are to be dropped."""
        return self._drains

    def drop(self, data: bytes) -> None:
        """Count received bytes that are dropped, and close the connection at the limit."""
        self._drained_bytes += len(data)
        if self._drained_bytes > _MAX_DRAINED_BYTES:
            self._finish()

    def lost(self) -> None:
        """Stop draining, because the connection is gone."""
        self._finish()

    def close(self) -> None:
        """Close the connection, after draining it if the peer may still be sending."""
        if self._drains or self._transport.is_closing():
            return
        if not self._has_unread_input() or not self._transport.can_write_eof():
            self._transport.close()
            return
        self._drains = True
        self._transport.write_eof()
        self._transport.resume_reading()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_DRAIN_TIMEOUT_S, self._finish)

    def _finish(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._transport.close()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or draining."""
        return self._drains or self._transport.is_closing()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._transport.abort()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write data to the peer."""
        self._transport.write(data)

    def can_write_eof(self) -> bool:
        """Return whether the write side can be closed alone."""
        return self._transport.can_write_eof()

    def write_eof(self) -> None:
        """Close the write side."""
        self._transport.write_eof()

    def pause_reading(self) -> None:
        """Stop receiving, unless the connection is draining."""
        if not self._drains:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Receive again."""
        self._transport.resume_reading()

    def is_reading(self) -> bool:
        """Return whether the transport receives."""
        return self._transport.is_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return self._transport.get_extra_info(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol that receives events."""
        self._transport.set_protocol(protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol that receives events."""
        return self._transport.get_protocol()
