"""Mergeable replicated state: for each key the item with the highest rank wins."""

from collections.abc import Iterable, Mapping, Sequence
from enum import IntEnum

import structlog
import xxhash

from verbenawind.clock import Clock
from verbenawind.kernel.ports import SpreadItem

__all__ = ["BUCKETS", "ItemClass", "SpreadStore"]

BUCKETS = 64
_MAX_ITEMS_PER_KIND = 4096
_MAX_BODY_BYTES = 1024 * 1024
_TOMBSTONE_LIFETIME_S = 900.0


class ItemClass(IntEnum):
    """How items of a kind are forwarded.

    Urgent items are flooded over every link and bulk items follow a tree. In-zone bulk items do not
    leave their zone.
    """

    URGENT = 0
    BULK = 1
    BULK_IN_ZONE = 2


_CLASS_OF_KIND = {
    "engine": ItemClass.BULK_IN_ZONE,
    "engine-remote": ItemClass.BULK,
    "server": ItemClass.BULK_IN_ZONE,
    "server-remote": ItemClass.BULK,
    "revision-held": ItemClass.BULK,
}


class _StoredItem:
    __slots__ = ("item", "item_class", "item_hash", "key_hash")

    def __init__(self, item: SpreadItem) -> None:
        self.item = item
        self.item_class = SpreadStore.class_of(item.kind)
        self.key_hash = xxhash.xxh64_intdigest(f"{item.kind}\0{item.key}".encode())
        content = f"{item.rank}{item.expires_at_s}".encode() + item.body
        self.item_hash = xxhash.xxh64_intdigest(content, seed=self.key_hash)


class SpreadStore:
    """Stores spread items, limited in size and count, with digests for comparing two stores.

    Args:
        clock: Time source; items expire by its wall-clock time.
    """

    __slots__ = ("_by_hash", "_changed_at_s", "_clock", "_digests", "_kinds", "_log", "_tombstones")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kinds: dict[str, dict[str, _StoredItem]] = {}
        self._by_hash: dict[tuple[ItemClass, int], dict[int, _StoredItem]] = {}
        self._changed_at_s = {item_class: [0.0] * BUCKETS for item_class in ItemClass}
        self._digests = {item_class: [0] * BUCKETS for item_class in ItemClass}
        self._tombstones: dict[tuple[str, str], tuple[tuple[int, ...], float]] = {}
        self._log = structlog.get_logger("membership")

    @staticmethod
    def class_of(kind: str) -> ItemClass:
        """Return how items of *kind* are forwarded."""
        return _CLASS_OF_KIND.get(kind, ItemClass.URGENT)

    def merge(self, item: SpreadItem) -> bool:
        """Store *item* if it outranks the stored one; return whether it was stored."""
        kind = self._kinds.setdefault(item.kind, {})
        previous = kind.get(item.key)
        if previous is not None and _merge_order(previous.item) >= _merge_order(item):
            return False
        if self._is_expired(item) or self._is_tombstoned(item):
            return False
        if len(item.body) > _MAX_BODY_BYTES:
            self._log.warning(
                "spread_item_refused", kind=item.kind, key=item.key, size_bytes=len(item.body)
            )
            return False
        if previous is None and len(kind) >= _MAX_ITEMS_PER_KIND:
            self._log.warning("spread_item_refused", kind=item.kind, key=item.key, held=len(kind))
            return False
        if previous is not None:
            self._remove(previous)
        self._add(_StoredItem(item))
        return True

    def get(self, kind: str, key: str) -> SpreadItem | None:
        """Return the unexpired item of a key, or None."""
        stored = self._kinds.get(kind, {}).get(key)
        if stored is None or self._is_expired(stored.item):
            return None
        return stored.item

    def items(self, kind: str) -> Sequence[SpreadItem]:
        """Return the unexpired items of a kind."""
        return tuple(
            stored.item
            for stored in self._kinds.get(kind, {}).values()
            if not self._is_expired(stored.item)
        )

    def drop(self, kind: str, key: str) -> None:
        """Remove an item, and reject its rank for a time so that peers cannot restore it."""
        stored = self._kinds.get(kind, {}).get(key)
        if stored is None:
            return
        self._remove(stored)
        self._tombstones[(kind, key)] = (
            stored.item.rank,
            self._clock.monotonic_s() + _TOMBSTONE_LIFETIME_S,
        )

    def expire(self) -> None:
        """Remove expired items and old tombstones."""
        for kind in self._kinds.values():
            for stored in [stored for stored in kind.values() if self._is_expired(stored.item)]:
                self._remove(stored)
        now_s = self._clock.monotonic_s()
        self._tombstones = {
            key: (rank, until_s)
            for key, (rank, until_s) in self._tombstones.items()
            if until_s > now_s
        }

    def total_digest(self, item_class: ItemClass) -> int:
        """Return one digest of all stored items of a class."""
        total = 0
        for digest in self._digests[item_class]:
            total ^= digest
        return total

    def bucket_digests(self, item_class: ItemClass) -> Sequence[int]:
        """Return the digest of each bucket of a class."""
        return tuple(self._digests[item_class])

    def unchanged_s(self, item_class: ItemClass, bucket: int) -> float:
        """Return the seconds since an item was last added to a bucket."""
        return self._clock.monotonic_s() - self._changed_at_s[item_class][bucket]

    def hashes(self, item_class: ItemClass, buckets: Iterable[int]) -> Mapping[int, int]:
        """Return the content hashes of the items in *buckets*, by key hash."""
        return {
            key_hash: stored.item_hash
            for bucket in buckets
            for key_hash, stored in self._by_hash.get((item_class, bucket), {}).items()
        }

    def by_hash(self, item_class: ItemClass, key_hash: int) -> SpreadItem | None:
        """Return the item with a key hash, or None."""
        stored = self._by_hash.get((item_class, key_hash % BUCKETS), {}).get(key_hash)
        return stored.item if stored else None

    def hash_of(self, item: SpreadItem) -> tuple[int, int]:
        """Return the key hash and the content hash of *item*."""
        stored = _StoredItem(item)
        return stored.key_hash, stored.item_hash

    def count(self) -> int:
        """Return the number of stored items."""
        return sum(len(kind) for kind in self._kinds.values())

    def _add(self, stored: _StoredItem) -> None:
        bucket = stored.key_hash % BUCKETS
        self._kinds[stored.item.kind][stored.item.key] = stored
        self._by_hash.setdefault((stored.item_class, bucket), {})[stored.key_hash] = stored
        self._digests[stored.item_class][bucket] ^= stored.item_hash
        self._changed_at_s[stored.item_class][bucket] = self._clock.monotonic_s()

    def _remove(self, stored: _StoredItem) -> None:
        bucket = stored.key_hash % BUCKETS
        del self._kinds[stored.item.kind][stored.item.key]
        del self._by_hash[(stored.item_class, bucket)][stored.key_hash]
        self._digests[stored.item_class][bucket] ^= stored.item_hash

    def _is_expired(self, item: SpreadItem) -> bool:
        return 0.0 < item.expires_at_s <= self._clock.now().timestamp()

    def _is_tombstoned(self, item: SpreadItem) -> bool:
        tombstone = self._tombstones.get((item.kind, item.key))
        return tombstone is not None and item.rank <= tombstone[0]


def _merge_order(item: SpreadItem) -> tuple[tuple[int, ...], float, bytes]:
    return item.rank, item.expires_at_s, item.body
