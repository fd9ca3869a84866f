"""An authenticated link to a peer, with a bounded queue that keeps only the newest of each item."""

import asyncio
import contextlib
import zlib
from collections.abc import Awaitable, Callable

from verbenawind.clock import Clock
from verbenawind.errors import PeerUnreachable
from verbenawind.kernel.ports import PeerChannel, SpreadItem
from verbenawind.membership.handshake import Identity
from verbenawind.membership.wire import Bye, Entry, Heartbeat, Items, Message, decode, encode

__all__ = ["Link", "Traffic"]

_FLUSH_DELAY_S = 0.02
_BULK_INTERVAL_S = 0.3
_MAX_QUEUED_MESSAGES = 512


class Traffic:
    """Counters of a daemon's traffic with its peers."""

    __slots__ = ("received_bytes", "received_frames", "sent_bytes", "sent_frames")

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.sent_frames = 0
        self.received_bytes = 0
        self.received_frames = 0


class Link:
    """A link to *peer*; queued messages are batched into frames.

    Args:
        channel: The transport's channel, after the handshake.
        peer: Identity of the remote daemon.
        dialled: Whether this daemon opened the link.
        clock: Time source.
        traffic: The daemon's traffic counters.
    """

    __slots__ = (
        "_channel",
        "_clock",
        "_items",
        "_messages",
        "_pending",
        "_sent_at_s",
        "_traffic",
        "_wake",
        "closed",
        "closing_gracefully",
        "dialled",
        "duplicates",
        "eager",
        "heartbeat_count",
        "last_received_at_s",
        "opened_at_s",
        "peer",
        "probed_at_s",
        "synced_at_s",
        "unneeded_since_s",
    )

    def __init__(
        self, channel: PeerChannel, peer: Identity, dialled: bool, clock: Clock, traffic: Traffic
    ) -> None:
        self._channel = channel
        self._clock = clock
        self._traffic = traffic
        self._items: dict[tuple[str, str], SpreadItem] = {}
        self._messages: list[Message] = []
        self._wake = asyncio.Event()
        self._pending = asyncio.Event()
        self._sent_at_s = float("-inf")
        self.peer = peer
        self.dialled = dialled
        self.opened_at_s = clock.monotonic_s()
        self.heartbeat_count = zlib.crc32(f"{peer.peer_id}{self.opened_at_s}".encode())
        self.closed = False
        self.closing_gracefully = False
        self.eager = True
        self.duplicates = 0
        self.last_received_at_s = self.opened_at_s
        self.synced_at_s = float("-inf")
        self.probed_at_s: float | None = None
        self.unneeded_since_s: float | None = None

    def post(self, message: Message) -> None:
        """Queue a message; a heartbeat replaces a queued one, and a full queue closes the link."""
        if isinstance(message, Heartbeat):
            self._messages = [old for old in self._messages if not isinstance(old, Heartbeat)]
        if len(self._messages) >= _MAX_QUEUED_MESSAGES:
            self.closed = True
        self._messages.append(message)
        self._wake.set()
        self._pending.set()

    def post_item(self, item: SpreadItem, *, bulk: bool = False) -> None:
        """Queue an item; it replaces a queued item of the same key.

        Bulk items are delayed to be batched if a frame was sent recently.
        """
        self._items[(item.kind, item.key)] = item
        if not bulk:
            self._wake.set()
        self._pending.set()

    async def run(self, handle: Callable[["Link", Message], Awaitable[None]]) -> None:
        """Send and receive messages until the link closes."""
        writer = asyncio.get_running_loop().create_task(self._write())
        try:
            while not self.closed:
                data = await self._channel.receive()
                self._traffic.received_bytes += len(data)
                self._traffic.received_frames += 1
                self.last_received_at_s = self._clock.monotonic_s()
                self.probed_at_s = None
                for message in decode(data):
                    await handle(self, message)
        except PeerUnreachable:
            return
        finally:
            self.closed = True
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            await self.aclose()

    async def flush(self) -> None:
        """Send everything queued immediately."""
        messages = self._messages
        if self._items:
            entries = tuple(Entry.of(item) for item in self._items.values())
            messages = [Items(entries=entries), *messages]
        self._items = {}
        self._messages = []
        if not messages:
            return
        data = encode(messages)
        self._sent_at_s = self._clock.monotonic_s()
        self._traffic.sent_bytes += len(data)
        self._traffic.sent_frames += 1
        await self._channel.send(data)

    async def close_gracefully(self) -> None:
        """Close the link with a Bye, so that the peer does not presume a crash."""
        self.closing_gracefully = True
        self._messages.append(Bye())
        with contextlib.suppress(PeerUnreachable):
            await self.flush()
        await self.aclose()

    async def aclose(self) -> None:
        """Close the link."""
        self.closed = True
        with contextlib.suppress(PeerUnreachable):
            await self._channel.aclose()

    async def _wait_for_batch(self) -> None:
        """Wait for more bulk items if a frame was sent recently and nothing else is queued."""
        wait_s = self._sent_at_s + _BULK_INTERVAL_S - self._clock.monotonic_s()
        if wait_s <= 0 or self._wake.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._wake.wait()

    async def _write(self) -> None:
        while not self.closed:
            await self._pending.wait()
            await self._clock.sleep(_FLUSH_DELAY_S)
            await self._wait_for_batch()
            self._pending.clear()
            self._wake.clear()
            try:
                await self.flush()
            except PeerUnreachable:
                break
        await self.aclose()
