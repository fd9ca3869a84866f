"""The peer bus of one daemon: gossip links, membership, spread items and calls."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence
from functools import singledispatchmethod
from random import Random

import cbor2
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import PeerUnauthenticated, PeerUnreachable
from verbenawind.kernel.messages import Location
from verbenawind.kernel.ports import Peer, PeerChannel, PeerTransport, SpreadItem
from verbenawind.membership.calls import Calls
from verbenawind.membership.dialler import Dialler, Seed
from verbenawind.membership.failure_detector import FailureDetector
from verbenawind.membership.gossip import Gossip
from verbenawind.membership.handshake import Identity, accept_link, open_link
from verbenawind.membership.link import Link, Traffic
from verbenawind.membership.roster import MEMBER_KIND, Member, Roster
from verbenawind.membership.store import SpreadStore
from verbenawind.membership.wire import (
    BucketDigests,
    Bye,
    Call,
    Heartbeat,
    Items,
    Message,
    Ping,
    PingRequest,
    Pong,
    Prune,
    Reply,
    Summary,
    Want,
)

__all__ = ["GossipBus"]

_HEARTBEAT_PERIOD_S = 0.8
_TICK_S = 0.2
_EXPIRY_PERIOD_S = 1.0
_LEAVE_FLUSH_TIMEOUT_S = 0.2
_STABLE_LINK_S = 5.0
_GOSSIP_PURPOSE = "gossip"
_CALLS_PURPOSE = "calls"


class GossipBus:
    """Implements the PeerBus port over a PeerTransport.

    Args:
        peer_id: This daemon's identifier.
        location: Where this daemon runs.
        listen: Address to accept links at.
        key: The key shared by all daemons.
        seeds: Addresses of daemons to dial first.
        transport: Opens and accepts channels to peers.
        clock: Time source.
        rng: Random source for jitter and sampling.
    """

    def __init__(
        self,
        *,
        peer_id: str,
        location: Location,
        listen: str,
        key: bytes,
        seeds: Sequence[str],
        transport: PeerTransport,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._location = location
        self._listen = listen
        self._key = key
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._links: dict[str, Link] = {}
        self._all_links: set[Link] = set()
        self._listeners: dict[str, list[Callable[[SpreadItem], None]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False
        self._log = structlog.get_logger("membership")
        self.rejected_links = 0
        self.traffic = Traffic()
        self.store = SpreadStore(clock)
        self.roster = Roster(self.store, clock, location, peer_id, rng.getrandbits(48), self.spread)
        self._gossip = Gossip(self.store, clock, location.zone, self.links, self._on_merged)
        self._detector = FailureDetector(self.roster, clock, rng, location.zone, self.links)
        self._calls = Calls(clock, self._dial_for_calls)
        self.dialler = Dialler(
            self.roster, clock, rng, location.zone, seeds, self.links, self._open_gossip
        )

    @property
    def peer_id(self) -> str:
        """This daemon's own identifier."""
        return self.roster.peer_id

    @property
    def address(self) -> str:
        """The bound address of the peer interface, empty before start."""
        return self.roster.address

    @property
    def superseded(self) -> bool:
        """Whether another running daemon has taken this daemon's identifier."""
        return self.roster.superseded

    def links(self) -> Sequence[Link]:
        """Return the open gossip links."""
        return tuple(link for link in self._links.values() if not link.closed)

    def peers(self) -> Sequence[Peer]:
        """Return the other daemons that are believed to be alive."""
        return self.roster.live_peers()

    def member(self, peer_id: str) -> Member | None:
        """Return the membership record of another daemon, including one that ended recently."""
        return self.roster.members().get(peer_id)

    def add_seeds(self, seeds: Sequence[Seed]) -> None:
        """Replace the seeds that come from the platform's host list."""
        self.dialler.add_seeds(seeds)

    def spread(self, item: SpreadItem) -> None:
        """Merge an item locally and forward it to the other daemons."""
        self._gossip.spread(item)

    def items(self, kind: str) -> Sequence[SpreadItem]:
        """Return the unexpired items of a kind."""
        return self.store.items(kind)

    def on_item(self, kind: str, listener: Callable[[SpreadItem], None]) -> None:
        """Call *listener* with each item of *kind* that is new to this daemon."""
        self._listeners.setdefault(kind, []).append(listener)

    def on_call(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Answer calls of *kind* from peers with *handler*."""
        self._calls.on_call(kind, handler)

    async def call(self, peer_id: str, kind: str, body: bytes, timeout_s: float) -> bytes:
        """Call a peer and return its reply.

        Raises:
            PeerUnreachable: The call failed or got no reply within *timeout_s*.
        """
        return await self._calls.call(peer_id, kind, body, timeout_s)

    async def start(self) -> None:
        """Accept links, join the cluster and start dialling peers."""
        address = await self._transport.listen(self._listen, self._accept)
        self.roster.join(address)
        for coroutine in (self._send_heartbeats(), self._run_periodic_checks(), self.dialler.run()):
            self._start_task(coroutine)

    async def stop(self) -> None:
        """Announce that this daemon leaves, then close every link."""
        self._stopping = True
        self.roster.leave()
        for link in self.links():
            with contextlib.suppress(PeerUnreachable, TimeoutError):
                async with asyncio.timeout(_LEAVE_FLUSH_TIMEOUT_S):
                    await link.flush()
        await self._close()

    async def kill(self) -> None:
        """Close every link without an announcement, as a crash would."""
        self._stopping = True
        await self._close()

    async def _close(self) -> None:
        await self._calls.aclose()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in list(self._all_links):
            await link.aclose()
        await self._transport.aclose()

    def _start_task(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_merged(self, item: SpreadItem) -> None:
        listeners = list(self._listeners.get(item.kind, ()))
        if item.kind == MEMBER_KIND:
            listeners.insert(0, self.roster.apply)
            self.dialler.wake()
        for listener in listeners:
            try:
                listener(item)
            except (ValueError, LookupError, cbor2.CBORError) as error:
                # A peer of another release may send bodies that this one cannot decode.
                self._log.error(
                    "spread_item_unreadable", kind=item.kind, key=item.key, reason=repr(error)
                )

    async def _send_heartbeats(self) -> None:
        while True:
            for link in self.links():
                self._gossip.heartbeat(link)
            await self._clock.sleep(_HEARTBEAT_PERIOD_S * self._rng.uniform(0.95, 1.05))

    async def _run_periodic_checks(self) -> None:
        last_expiry_at_s = self._clock.monotonic_s()
        while True:
            await self._clock.sleep(_TICK_S)
            self._detector.tick()
            self.roster.tick()
            await self._aclose_closed_links()
            if self._clock.monotonic_s() - last_expiry_at_s >= _EXPIRY_PERIOD_S:
                last_expiry_at_s = self._clock.monotonic_s()
                self.store.expire()
                await self._calls.close_idle()

    async def _aclose_closed_links(self) -> None:
        for link in list(self._links.values()):
            if link.closed:
                await (link.close_gracefully() if link.closing_gracefully else link.aclose())

    def _identity(self, purpose: str) -> Identity:
        return Identity(
            peer_id=self.peer_id,
            address=self.address,
            zone=self._location.zone,
            region=self._location.region,
            incarnation=self.roster.incarnation,
            purpose=purpose,
        )

    async def _accept(self, channel: PeerChannel) -> None:
        try:
            peer = await accept_link(channel, self._key, self._identity(""))
        except (PeerUnauthenticated, PeerUnreachable) as error:
            self.rejected_links += 1
            self._log.warning("peer_link_refused", reason=error.message, code=error.code)
            return
        if self._stopping:
            return
        await self._run_link(Link(channel, peer, False, self._clock, self.traffic))

    async def _open(self, address: str, purpose: str) -> Link:
        channel = await self._transport.connect(address)
        try:
            peer = await open_link(channel, self._key, self._identity(purpose))
        except (PeerUnauthenticated, PeerUnreachable, asyncio.CancelledError):
            await channel.aclose()
            raise
        remote = Identity(
            peer_id=peer.peer_id,
            address=peer.address,
            zone=peer.zone,
            region=peer.region,
            incarnation=peer.incarnation,
            purpose=purpose,
        )
        return Link(channel, remote, True, self._clock, self.traffic)

    async def _open_gossip(self, address: str) -> None:
        link = await self._open(address, _GOSSIP_PURPOSE)
        if link.peer.peer_id == self.peer_id and link.peer.address == self.address:
            await link.aclose()
            return
        self._start_task(self._run_link(link))

    async def _dial_for_calls(self, peer_id: str) -> Link:
        member = self.member(peer_id)
        if member is None or not member.is_live:
            raise PeerUnreachable(f"peer {peer_id!r} is not a live member")
        link = await self._open(member.peer.address, _CALLS_PURPOSE)
        if link.peer.peer_id != peer_id:
            await link.aclose()
            raise PeerUnreachable(f"peer {peer_id!r}: {link.peer.peer_id!r} is at its address")
        self._start_task(self._run_link(link))
        return link

    async def _run_link(self, link: Link) -> None:
        gossip = link.peer.purpose == _GOSSIP_PURPOSE
        if gossip and not await self._register(link):
            return
        self._all_links.add(link)
        try:
            await link.run(self._handle if gossip else self._calls.on_message)
        finally:
            self._all_links.discard(link)
            self._calls.link_closed(link)
            if gossip and self._links.get(link.peer.peer_id) is link:
                del self._links[link.peer.peer_id]
                self._on_link_lost(link)

    def _on_link_lost(self, link: Link) -> None:
        if self._stopping:
            return
        self.dialler.wake()
        if not link.closing_gracefully:
            self._detector.link_closed(link)
            if self._clock.monotonic_s() - link.opened_at_s >= _STABLE_LINK_S:
                self.dialler.redial(link.peer.address)

    async def _register(self, link: Link) -> bool:
        """Keep one link to each peer; both ends keep the one dialled by the lower id."""
        old = self._links.get(link.peer.peer_id)
        if old is not None and not old.closed:
            same_incarnation = old.peer.incarnation == link.peer.incarnation
            moved = old.peer.address != link.peer.address
            if moved and link.peer.incarnation < old.peer.incarnation:
                await link.aclose()
                return False
            if (
                same_incarnation
                and old.dialled != link.dialled
                and old.dialled == self._has_lower_id(link)
            ):
                await link.aclose()
                return False
            self._links[link.peer.peer_id] = link
            await old.aclose()
        self._links[link.peer.peer_id] = link
        self._gossip.heartbeat(link)
        self._gossip.start_sync(link)
        return True

    def _has_lower_id(self, link: Link) -> bool:
        return self.peer_id < link.peer.peer_id

    @singledispatchmethod
    async def _handle_message(self, message: Message, link: Link) -> None:
        """Handle one message of a gossip link; unregistered types are ignored."""

    @_handle_message.register
    async def _(self, message: Heartbeat, link: Link) -> None:
        self._gossip.on_heartbeat(link, message)

    @_handle_message.register
    async def _(self, message: Items, link: Link) -> None:
        self._gossip.on_items(link, message)

    @_handle_message.register
    async def _(self, message: Summary, link: Link) -> None:
        self._gossip.on_summary(link, message)

    @_handle_message.register
    async def _(self, message: BucketDigests, link: Link) -> None:
        self._gossip.on_bucket_digests(link, message)

    @_handle_message.register
    async def _(self, message: Want, link: Link) -> None:
        self._gossip.on_want(link, message)

    @_handle_message.register
    async def _(self, message: Prune, link: Link) -> None:
        self._gossip.on_prune(link)

    @_handle_message.register
    async def _(self, message: Bye, link: Link) -> None:
        link.closing_gracefully = True

    @_handle_message.register
    async def _(self, message: Ping, link: Link) -> None:
        link.post(Pong(number=message.number))

    @_handle_message.register
    async def _(self, message: Pong, link: Link) -> None:
        self._detector.on_pong(link, message)

    @_handle_message.register
    async def _(self, message: PingRequest, link: Link) -> None:
        self._detector.on_ping_request(link, message)

    async def _handle(self, link: Link, message: Message) -> None:
        if isinstance(message, Call | Reply):
            await self._calls.on_message(link, message)
            return
        await self._handle_message(message, link)
