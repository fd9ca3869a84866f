"""Tells by one TCP connection whether anybody listens at an address."""

import asyncio

from verbenawind.batches import ProbeResult

__all__ = ["TcpProbe"]


class TcpProbe:
    """Implements the PeerProbe port.

    Args:
        timeout_s: How long a host may take.
    """

    __slots__ = ("_timeout_s",)

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    async def connect(self, address: str) -> ProbeResult:
        """Open a connection and close it again."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._timeout_s):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except (OSError, TimeoutError):
            # Without power, cut off, frozen or overloaded; the caller says so in its log.
            return ProbeResult.NONE
        writer.close()
        return ProbeResult.ACCEPTED
