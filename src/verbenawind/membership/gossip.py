"""Spreads items over links: floods urgent ones, sends bulk along a tree, repairs by digests."""

from collections.abc import Callable, Collection

from verbenawind.clock import Clock
from verbenawind.kernel.ports import SpreadItem
from verbenawind.membership.link import Link
from verbenawind.membership.store import BUCKETS, ItemClass, SpreadStore
from verbenawind.membership.wire import (
    BucketDigests,
    Heartbeat,
    Items,
    Prune,
    Summary,
    Want,
)

__all__ = ["Gossip"]

_PUSHED_BODY_BYTES = 512
_SYNC_SPACING_S = 0.5
_SETTLING_S = 0.5
_QUIET_S = 2.5
_BUCKETS_COMPARED = 4
_SHORT_DIGEST = 0xFFFF_FFFF
_REPEATS_TO_PRUNE = 4


class Gossip:
    """Keeps the stores of linked daemons equal.

    Args:
        store: This daemon's items.
        clock: Time source.
        zone: This daemon's zone.
        links: Gives the open gossip links.
        merged: Called with each item that is new here.
    """

    __slots__ = ("_clock", "_links", "_merged", "_store", "_urgent_at_s", "_zone")

    def __init__(
        self,
        store: SpreadStore,
        clock: Clock,
        zone: str,
        links: Callable[[], Collection[Link]],
        merged: Callable[[SpreadItem], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._zone = zone
        self._links = links
        self._merged = merged
        self._urgent_at_s = 0.0

    def spread(self, item: SpreadItem, origin: Link | None = None) -> bool:
        """Merge an item and send it on, except to *origin*; return whether it was new."""
        if not self._store.merge(item):
            return False
        item_class = self._store.class_of(item.kind)
        if item_class is ItemClass.URGENT:
            self._urgent_at_s = self._clock.monotonic_s()
        for link in self._links():
            if link is not origin and self._travels(item_class, link):
                self._send_on(link, item, item_class)
        self._merged(item)
        return True

    def heartbeat(self, link: Link) -> None:
        """Send a sign of life, with the digests of one bucket more each time."""
        turn, group = divmod(link.beats, BUCKETS // _BUCKETS_COMPARED)
        link.beats += 1
        in_zone = link.peer.zone == self._zone
        bulk = ItemClass.BULK_IN_ZONE if in_zone and turn % 2 else ItemClass.BULK
        first = group * _BUCKETS_COMPARED
        buckets = range(first, first + _BUCKETS_COMPARED)
        urgent_digest = self._store.total_digest(ItemClass.URGENT) if self._settled() else None
        link.post(
            Heartbeat(
                urgent_digest=urgent_digest,
                bulk_class=int(bulk),
                first_bucket=first,
                bucket_digests=tuple(self._quiet_digest(bulk, bucket) for bucket in buckets),
            )
        )

    def _quiet_digest(self, item_class: ItemClass, bucket: int) -> int | None:
        """Return a bucket's short digest, None when it changed lately."""
        if self._store.quiet_s(item_class, bucket) < _QUIET_S:
            return None
        return self._store.bucket_digests(item_class)[bucket] & _SHORT_DIGEST

    def _settled(self) -> bool:
        return self._clock.monotonic_s() - self._urgent_at_s >= _SETTLING_S

    def on_heartbeat(self, link: Link, message: Heartbeat) -> None:
        """Compare digests, and start a repair where they differ."""
        now_s = self._clock.monotonic_s()
        if now_s - link.synced_at_s < _SYNC_SPACING_S:
            return
        own_digest = self._store.total_digest(ItemClass.URGENT)
        if self._settled() and message.urgent_digest not in (None, own_digest):
            link.synced_at_s = now_s
            digests = tuple(self._store.bucket_digests(ItemClass.URGENT))
            link.post(BucketDigests(item_class=int(ItemClass.URGENT), digests=digests))
        bulk = ItemClass(message.bulk_class)
        differing = []
        for bucket, digest in enumerate(message.bucket_digests, message.first_bucket):
            own = self._quiet_digest(bulk, bucket)
            if None not in (own, digest) and own != digest:
                differing.append(bucket)
        if differing:
            link.synced_at_s = now_s
            self._summarize(link, bulk, tuple(differing))

    def open(self, link: Link) -> None:
        """Compare everything with a peer whose link has just opened."""
        for item_class in ItemClass:
            if self._travels(item_class, link):
                digests = tuple(self._store.bucket_digests(item_class))
                link.post(BucketDigests(item_class=int(item_class), digests=digests))

    def on_bucket_digests(self, link: Link, message: BucketDigests) -> None:
        """Answer with the contents of the buckets that differ."""
        item_class = ItemClass(message.item_class)
        own = self._store.bucket_digests(item_class)
        differing = [bucket for bucket in range(BUCKETS) if own[bucket] != message.digests[bucket]]
        if differing:
            self._summarize(link, item_class, tuple(differing))

    def on_summary(self, link: Link, message: Summary) -> None:
        """Push what the peer lacks and ask for what is missing here."""
        item_class = ItemClass(message.item_class)
        own = self._store.hashes(item_class, message.buckets or range(BUCKETS))
        theirs = dict(message.entries)
        missing = tuple(key for key, content in theirs.items() if own.get(key) != content)
        if missing:
            if item_class is not ItemClass.URGENT:
                link.eager = True
            link.post(Want(item_class=int(item_class), key_hashes=missing))
        if not message.buckets:
            return
        for key, content in own.items():
            item = self._store.by_hash(item_class, key)
            if theirs.get(key) != content and item is not None:
                link.post_item(item)

    def on_want(self, link: Link, message: Want) -> None:
        """Send the items that the peer asked for; bulk flows on this link again."""
        item_class = ItemClass(message.item_class)
        if item_class is not ItemClass.URGENT:
            link.eager = True
        for key_hash in message.key_hashes:
            item = self._store.by_hash(item_class, key_hash)
            if item is not None:
                link.post_item(item)

    def on_items(self, link: Link, message: Items) -> None:
        """Merge items; a bulk item that is known already prunes the link from the tree."""
        for entry in message.entries:
            item = entry.item()
            new = self.spread(item, link)
            if self._store.class_of(item.kind) is not ItemClass.URGENT:
                link.repeats = max(0, link.repeats + (-1 if new else 1))
        if link.repeats >= _REPEATS_TO_PRUNE and link.eager and self._other_eager(link):
            link.repeats = 0
            link.eager = False
            link.post(Prune())

    def on_prune(self, link: Link) -> None:
        """Stop pushing bulk items on a link."""
        if self._other_eager(link):
            link.eager = False

    def _other_eager(self, link: Link) -> bool:
        if link.peer.zone != self._zone:
            return False  # Links between zones are few, and each may be the only one that works.
        return any(
            other.eager and other.peer.zone == self._zone
            for other in self._links()
            if other is not link
        )

    def _travels(self, item_class: ItemClass, link: Link) -> bool:
        return item_class is not ItemClass.BULK_IN_ZONE or link.peer.zone == self._zone

    def _send_on(self, link: Link, item: SpreadItem, item_class: ItemClass) -> None:
        if item_class is not ItemClass.URGENT:
            if link.eager:
                link.post_item(item, bulk=True)
            return
        if len(item.body) <= _PUSHED_BODY_BYTES:
            link.post_item(item)
            return
        entries = (self._store.hash_of(item),)
        link.post(Summary(item_class=int(item_class), buckets=(), entries=entries))

    def _summarize(self, link: Link, item_class: ItemClass, buckets: tuple[int, ...]) -> None:
        entries = tuple(self._store.hashes(item_class, buckets).items())
        link.post(Summary(item_class=int(item_class), buckets=buckets, entries=entries))
