"""Port that opens a connection to an address to see whether a process listens there."""

from enum import StrEnum
from typing import Protocol

__all__ = ["AddressProbe", "ProbeResult"]


class ProbeResult(StrEnum):
    """The result of connecting to an address."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NONE = "none"


class AddressProbe(Protocol):
    """Distinguishes a host on which no process listens from a host that cannot be reached."""

    async def connect(self, address: str) -> ProbeResult:
        """Return the result of connecting to an address, within about 0.3 s."""
