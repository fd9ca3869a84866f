"""Probes an address by opening a TCP connection."""

import asyncio

from verbenawind.kernel.probe_ports import ProbeResult

__all__ = ["TcpProbe"]


class TcpProbe:
    """Probes hosts over TCP; implements the AddressProbe port.

    Args:
        timeout_s: Timeout of a probe, in seconds.
    """

    __slots__ = ("_timeout_s",)

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    async def connect(self, address: str) -> ProbeResult:
        """Return the result of opening a connection, which is closed immediately."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._timeout_s):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except (OSError, TimeoutError):
            # The host may be down, partitioned, frozen or overloaded; the caller logs that.
            return ProbeResult.NONE
        writer.close()
        return ProbeResult.ACCEPTED
