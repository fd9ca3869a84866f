"""Tells by one TCP connection whether anybody listens at an address."""

import asyncio

__all__ = ["TcpProbe"]


class TcpProbe:
    """Implements the PeerProbe port.

    Args:
        timeout_s: How long a host may take; no answer says nothing.
    """

    __slots__ = ("_timeout_s",)

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    async def refuses(self, address: str) -> bool:
        """Return whether the connection was refused."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._timeout_s):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            # Cut off, frozen or overloaded: its silence decides.
            return False
        writer.close()
        return False
