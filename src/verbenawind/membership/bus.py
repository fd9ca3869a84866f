"""The peer bus of a daemon that has no peers."""

from collections.abc import Awaitable, Callable, Sequence

from verbenawind.errors import PeerUnreachable
from verbenawind.kernel.ports import Peer, SpreadItem

__all__ = ["LonePeerBus"]


class LonePeerBus:
    """Keeps spread items for one daemon alone; implements the PeerBus port.

    Args:
        peer_id: This daemon's own identifier.
    """

    __slots__ = ("_items", "_listeners", "_peer_id")

    def __init__(self, peer_id: str) -> None:
        self._peer_id = peer_id
        self._items: dict[tuple[str, str], SpreadItem] = {}
        self._listeners: dict[str, list[Callable[[SpreadItem], None]]] = {}

    @property
    def peer_id(self) -> str:
        """This daemon's own identifier."""
        return self._peer_id

    def peers(self) -> Sequence[Peer]:
        """Return no peers."""
        return ()

    def spread(self, item: SpreadItem) -> None:
        """Merge an item here."""
        known = self._items.get((item.kind, item.key))
        if known is not None and known.rank >= item.rank:
            return
        self._items[(item.kind, item.key)] = item
        for listener in self._listeners.get(item.kind, ()):
            listener(item)

    def items(self, kind: str) -> Sequence[SpreadItem]:
        """Return the items of a kind."""
        return tuple(item for item in self._items.values() if item.kind == kind)

    def on_item(self, kind: str, listener: Callable[[SpreadItem], None]) -> None:
        """Call *listener* with each item of *kind* that is new here."""
        self._listeners.setdefault(kind, []).append(listener)

    def on_call(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Ignore *handler*: nobody calls a daemon without peers."""

    async def call(self, peer_id: str, kind: str, body: bytes, timeout_s: float) -> bytes:
        """Raise PeerUnreachable: there is nobody to call."""
        raise PeerUnreachable(f"peer {peer_id!r} is unknown (call {kind!r})")
