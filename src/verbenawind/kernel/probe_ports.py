"""Port that opens a connection to an address to see whether a process listens there."""

from enum import StrEnum
from typing import Protocol

__all__ = ["AddressProbe", "ProbeResult"]


class ProbeResult(StrEnum):
    """The result of connecting to an address.

    ``CLOSED`` is that of a proxy which accepts connections and finds no process behind it.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    CLOSED = "closed"
    NONE = "none"


class AddressProbe(Protocol):
    """Distinguishes a host on which no process listens from a host that cannot be reached."""

    async def connect(self, address: str) -> ProbeResult:
        """Return the result of connecting to an address, within about 0.3 s."""
