"""Ports between daemons: links, membership and spread items."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from verbenawind.kernel.messages import Location, Value

__all__ = ["Peer", "PeerBus", "PeerChannel", "PeerTransport", "SpreadItem"]


class PeerChannel(Protocol):
    """An ordered, two-way link to another daemon."""

    async def send(self, data: bytes) -> None:
        """Send one message; raises PeerUnreachable when the link is closed."""

    async def receive(self) -> bytes:
        """Return the next message; raises PeerUnreachable when the link is closed."""

    async def aclose(self) -> None:
        """Close the link."""


class PeerTransport(Protocol):
    """Makes links between daemons; knows nothing of their messages."""

    async def listen(self, address: str, accept: Callable[[PeerChannel], Awaitable[None]]) -> str:
        """Serve links at *address* (``IP:port``, port 0 for any) and return the bound address.

        *accept* runs for each link until it returns; then the link is closed.
        """

    async def connect(self, address: str) -> PeerChannel:
        """Open a link to the daemon at *address*; raises PeerUnreachable."""

    async def aclose(self) -> None:
        """Stop listening and close every link."""


class Peer(Value, frozen=True, kw_only=True):
    """Another daemon that is believed to be alive."""

    peer_id: str
    address: str
    location: Location
    incarnation: int


class SpreadItem(Value, frozen=True, kw_only=True):
    """A piece of mergeable state that daemons spread; of one key the highest rank stays.

    ``expires_at_s`` is a Unix time in seconds, 0 for never.
    """

    kind: str
    key: str
    rank: tuple[int, ...]
    body: bytes
    expires_at_s: float = 0.0


class PeerBus(Protocol):
    """Membership and messages between daemons."""

    @property
    def peer_id(self) -> str:
        """This daemon's own identifier."""

    def peers(self) -> Sequence[Peer]:
        """Return the other daemons that are believed to be alive."""

    def spread(self, item: SpreadItem) -> None:
        """Merge an item here and send it on to the other daemons."""

    def items(self, kind: str) -> Sequence[SpreadItem]:
        """Return the unexpired items of a kind."""

    def on_item(self, kind: str, listener: Callable[[SpreadItem], None]) -> None:
        """Call *listener* with each item of *kind* that is new here."""

    def on_call(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Answer calls of *kind* from peers with *handler*."""

    async def call(self, peer_id: str, kind: str, body: bytes, timeout_s: float) -> bytes:
        """Call a peer and return its reply; raises PeerUnreachable."""
