"""Ports between daemons: links, membership and replicated state."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from verbenawind.kernel.messages import Location, Value

__all__ = ["Peer", "PeerBus", "PeerChannel", "PeerTransport", "SpreadItem"]


class PeerChannel(Protocol):
    """An ordered, bidirectional link to another daemon."""

    async def send(self, data: bytes) -> None:
        """Send one message; raises PeerUnreachable if the link is closed."""

    async def receive(self) -> bytes:
        """Return the next message; raises PeerUnreachable if the link is closed."""

    async def aclose(self) -> None:
        """Close the link."""


class PeerTransport(Protocol):
    """Creates links between daemons, without interpreting their messages."""

    async def listen(self, address: str, accept: Callable[[PeerChannel], Awaitable[None]]) -> str:
        """Accept links at *address* (``IP:port``, port 0 for any) and return the bound address.

        *accept* is run for each link; the link is closed when it returns.
        """

    async def connect(self, address: str) -> PeerChannel:
        """Open a link to the daemon at *address*; raises PeerUnreachable if that fails."""

    async def aclose(self) -> None:
        """Stop listening and close all links."""


class Peer(Value, frozen=True, kw_only=True):
    """Another daemon that is considered alive."""

    peer_id: str
    address: str
    location: Location
    incarnation: int


class SpreadItem(Value, frozen=True, kw_only=True):
    """A mergeable item of state that daemons replicate by gossip.

    Among items with the same kind and key the one with the highest rank wins. ``expires_at_s`` is
    a Unix time in seconds; 0 means never.
    """

    kind: str
    key: str
    rank: tuple[int, ...]
    body: bytes
    expires_at_s: float = 0.0


class PeerBus(Protocol):
    """Membership, replicated state and calls between daemons."""

    @property
    def peer_id(self) -> str:
        """This daemon's identifier."""

    def peers(self) -> Sequence[Peer]:
        """Return the other daemons that are considered alive."""

    def spread(self, item: SpreadItem) -> None:
        """Merge an item locally and send it to the other daemons."""

    def items(self, kind: str) -> Sequence[SpreadItem]:
        """Return the unexpired items of a kind."""

    def on_item(self, kind: str, listener: Callable[[SpreadItem], None]) -> None:
        """Call *listener* with each item of *kind* that is new to this daemon."""

    def on_call(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Handle calls of *kind* from peers with *handler*."""

    async def call(self, peer_id: str, kind: str, body: bytes, timeout_s: float) -> bytes:
        """Call a peer and return its reply; raises PeerUnreachable if none arrives."""
