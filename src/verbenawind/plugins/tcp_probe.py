"""Probes an address by opening a TCP connection."""

import asyncio

from verbenawind.kernel.probe_ports import ProbeResult

__all__ = ["TcpProbe"]


# How long an accepted connection is watched. A proxy that finds no process closes it within this.
_CLOSE_S = 0.05


class TcpProbe:
    """Probes hosts over TCP; implements the AddressProbe port.

    Args:
        timeout_s: Timeout of a probe, in seconds.
    """

    __slots__ = ("_timeout_s",)

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    async def connect(self, address: str) -> ProbeResult:
        """Return the result of opening a connection, which is closed soon after."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._timeout_s):
                reader, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except (OSError, OverflowError, ValueError, TimeoutError):
            # The host may be down, partitioned, frozen or overloaded; the caller logs that.
            return ProbeResult.NONE
        try:
            return ProbeResult.CLOSED if await _is_closed(reader) else ProbeResult.ACCEPTED
        finally:
            writer.close()


async def _is_closed(reader: asyncio.StreamReader) -> bool:
    """Return whether the other side closes a new connection without a word."""
    try:
        async with asyncio.timeout(_CLOSE_S):
            return await reader.read(1) == b""
    except TimeoutError:
        return False
    except OSError:
        return True
