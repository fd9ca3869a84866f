"""Gossip of items: urgent ones are flooded, bulk ones follow a tree, digests repair losses.

Bulk items use eager push on the links of a tree that is formed by pruning, as in Plumtree.
"""

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

_MAX_PUSHED_BODY_BYTES = 512
_MIN_SYNC_INTERVAL_S = 0.5
_URGENT_SETTLING_S = 0.5
_BUCKET_SETTLING_S = 2.5
_BUCKETS_PER_HEARTBEAT = 4
_SHORT_DIGEST_MASK = 0xFFFF_FFFF
_DUPLICATES_TO_PRUNE = 4


class Gossip:
    """Keeps the spread stores of linked daemons in sync.

    Args:
        store: This daemon's items.
        clock: Time source.
        zone: This daemon's zone.
        links: Returns the open gossip links.
        on_merged: Called with each item that is new to this daemon.
    """

    __slots__ = ("_clock", "_links", "_on_merged", "_store", "_urgent_changed_at_s", "_zone")

    def __init__(
        self,
        store: SpreadStore,
        clock: Clock,
        zone: str,
        links: Callable[[], Collection[Link]],
        on_merged: Callable[[SpreadItem], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._zone = zone
        self._links = links
        self._on_merged = on_merged
        self._urgent_changed_at_s = 0.0

    def spread(self, item: SpreadItem, origin: Link | None = None) -> bool:
        """Merge an item and forward it, except to *origin*; return whether it was new."""
        if not self._store.merge(item):
            return False
        item_class = self._store.class_of(item.kind)
        if item_class is ItemClass.URGENT:
            self._urgent_changed_at_s = self._clock.monotonic_s()
        for link in self._links():
            if link is not origin and self._is_sent_on(item_class, link):
                self._forward(link, item, item_class)
        self._on_merged(item)
        return True

    def heartbeat(self, link: Link) -> None:
        """Send a heartbeat with the digests of the next group of buckets."""
        turn, bucket_group = divmod(link.heartbeat_count, BUCKETS // _BUCKETS_PER_HEARTBEAT)
        link.heartbeat_count += 1
        in_zone = link.peer.zone == self._zone
        bulk = ItemClass.BULK_IN_ZONE if in_zone and turn % 2 else ItemClass.BULK
        first = bucket_group * _BUCKETS_PER_HEARTBEAT
        buckets = range(first, first + _BUCKETS_PER_HEARTBEAT)
        urgent_digest = (
            self._store.total_digest(ItemClass.URGENT) if self._urgent_settled() else None
        )
        link.post(
            Heartbeat(
                urgent_digest=urgent_digest,
                bulk_class=int(bulk),
                first_bucket=first,
                bucket_digests=tuple(self._settled_digest(bulk, bucket) for bucket in buckets),
            )
        )

    def _settled_digest(self, item_class: ItemClass, bucket: int) -> int | None:
        """Return a bucket's short digest, or None if the bucket changed recently."""
        if self._store.unchanged_s(item_class, bucket) < _BUCKET_SETTLING_S:
            return None
        return self._store.bucket_digests(item_class)[bucket] & _SHORT_DIGEST_MASK

    def _urgent_settled(self) -> bool:
        return self._clock.monotonic_s() - self._urgent_changed_at_s >= _URGENT_SETTLING_S

    def on_heartbeat(self, link: Link, message: Heartbeat) -> None:
        """Compare digests and start a repair where they differ."""
        now_s = self._clock.monotonic_s()
        if now_s - link.synced_at_s < _MIN_SYNC_INTERVAL_S:
            return
        local_digest = self._store.total_digest(ItemClass.URGENT)
        if self._urgent_settled() and message.urgent_digest not in (None, local_digest):
            link.synced_at_s = now_s
            digests = tuple(self._store.bucket_digests(ItemClass.URGENT))
            link.post(BucketDigests(item_class=int(ItemClass.URGENT), digests=digests))
        bulk = ItemClass(message.bulk_class)
        differing = []
        for bucket, digest in enumerate(message.bucket_digests, message.first_bucket):
            own = self._settled_digest(bulk, bucket)
            if None not in (own, digest) and own != digest:
                differing.append(bucket)
        if differing:
            link.synced_at_s = now_s
            self._send_summary(link, bulk, tuple(differing))

    def start_sync(self, link: Link) -> None:
        """Compare all digests with a peer whose link has just opened."""
        for item_class in ItemClass:
            if self._is_sent_on(item_class, link):
                digests = tuple(self._store.bucket_digests(item_class))
                link.post(BucketDigests(item_class=int(item_class), digests=digests))

    def on_bucket_digests(self, link: Link, message: BucketDigests) -> None:
        """Reply with summaries of the buckets that differ."""
        item_class = ItemClass(message.item_class)
        own = self._store.bucket_digests(item_class)
        differing = [bucket for bucket in range(BUCKETS) if own[bucket] != message.digests[bucket]]
        if differing:
            self._send_summary(link, item_class, tuple(differing))

    def on_summary(self, link: Link, message: Summary) -> None:
        """Push the items that the peer lacks and request those missing here."""
        item_class = ItemClass(message.item_class)
        own = self._store.hashes(item_class, message.buckets or range(BUCKETS))
        remote = dict(message.entries)
        missing = tuple(key for key, content in remote.items() if own.get(key) != content)
        if missing:
            if item_class is not ItemClass.URGENT:
                link.eager = True
            link.post(Want(item_class=int(item_class), key_hashes=missing))
        if not message.buckets:
            return
        for key, content in own.items():
            item = self._store.by_hash(item_class, key)
            if remote.get(key) != content and item is not None:
                link.post_item(item)

    def on_want(self, link: Link, message: Want) -> None:
        """Send the requested items; a bulk request makes the link eager again."""
        item_class = ItemClass(message.item_class)
        if item_class is not ItemClass.URGENT:
            link.eager = True
        for key_hash in message.key_hashes:
            item = self._store.by_hash(item_class, key_hash)
            if item is not None:
                link.post_item(item)

    def on_items(self, link: Link, message: Items) -> None:
        """Merge items; repeated duplicates of bulk items prune the link from the tree."""
        for entry in message.entries:
            item = entry.item()
            new = self.spread(item, link)
            if self._store.class_of(item.kind) is not ItemClass.URGENT:
                link.duplicates = max(0, link.duplicates + (-1 if new else 1))
        if (
            link.duplicates >= _DUPLICATES_TO_PRUNE
            and link.eager
            and self._has_other_eager_link(link)
        ):
            link.duplicates = 0
            link.eager = False
            link.post(Prune())

    def on_prune(self, link: Link) -> None:
        """Stop pushing bulk items on a link, unless it is the only eager one."""
        if self._has_other_eager_link(link):
            link.eager = False

    def _has_other_eager_link(self, link: Link) -> bool:
        if link.peer.zone != self._zone:
            return False  # Links between zones are few, so any of them may be the only working one.
        return any(
            other.eager and other.peer.zone == self._zone
            for other in self._links()
            if other is not link
        )

    def _is_sent_on(self, item_class: ItemClass, link: Link) -> bool:
        return item_class is not ItemClass.BULK_IN_ZONE or link.peer.zone == self._zone

    def _forward(self, link: Link, item: SpreadItem, item_class: ItemClass) -> None:
        if item_class is not ItemClass.URGENT:
            if link.eager:
                link.post_item(item, bulk=True)
            return
        if len(item.body) <= _MAX_PUSHED_BODY_BYTES:
            link.post_item(item)
            return
        entries = (self._store.hash_of(item),)
        link.post(Summary(item_class=int(item_class), buckets=(), entries=entries))

    def _send_summary(self, link: Link, item_class: ItemClass, buckets: tuple[int, ...]) -> None:
        entries = tuple(self._store.hashes(item_class, buckets).items())
        link.post(Summary(item_class=int(item_class), buckets=buckets, entries=entries))
