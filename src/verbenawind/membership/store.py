"""Mergeable state that daemons spread: of one key the highest rank stays."""

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
_TOMBSTONE_S = 900.0


class ItemClass(IntEnum):
    """How items of a kind travel.

    Urgent ones flood every link, bulk ones follow a tree; those of a zone don't leave it.
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


class _Held:
    __slots__ = ("item", "item_class", "item_hash", "key_hash")

    def __init__(self, item: SpreadItem) -> None:
        self.item = item
        self.item_class = SpreadStore.class_of(item.kind)
        self.key_hash = xxhash.xxh64_intdigest(f"{item.kind}\0{item.key}".encode())
        content = f"{item.rank}{item.expires_at_s}".encode() + item.body
        self.item_hash = xxhash.xxh64_intdigest(content, seed=self.key_hash)


class SpreadStore:
    """Holds spread items, bounded in size and count, with digests for comparing two stores.

    Args:
        clock: Gives the wall-clock time that expiry is judged by.
    """

    __slots__ = ("_by_hash", "_changed_at_s", "_clock", "_digests", "_kinds", "_log", "_tombstones")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kinds: dict[str, dict[str, _Held]] = {}
        self._by_hash: dict[tuple[ItemClass, int], dict[int, _Held]] = {}
        self._changed_at_s = {item_class: [0.0] * BUCKETS for item_class in ItemClass}
        self._digests = {item_class: [0] * BUCKETS for item_class in ItemClass}
        self._tombstones: dict[tuple[str, str], tuple[tuple[int, ...], float]] = {}
        self._log = structlog.get_logger("membership")

    @staticmethod
    def class_of(kind: str) -> ItemClass:
        """Return how items of *kind* travel."""
        return _CLASS_OF_KIND.get(kind, ItemClass.URGENT)

    def merge(self, item: SpreadItem) -> bool:
        """Keep *item* if it outranks what is held; return whether it does."""
        kind = self._kinds.setdefault(item.kind, {})
        known = kind.get(item.key)
        if known is not None and _order(known.item) >= _order(item):
            return False
        if self._expired(item) or self._buried(item):
            return False
        if len(item.body) > _MAX_BODY_BYTES:
            self._log.warning(
                "spread_item_refused", kind=item.kind, key=item.key, size_bytes=len(item.body)
            )
            return False
        if known is None and len(kind) >= _MAX_ITEMS_PER_KIND:
            self._log.warning("spread_item_refused", kind=item.kind, key=item.key, held=len(kind))
            return False
        if known is not None:
            self._remove(known)
        self._add(_Held(item))
        return True

    def get(self, kind: str, key: str) -> SpreadItem | None:
        """Return the unexpired item of a key."""
        held = self._kinds.get(kind, {}).get(key)
        if held is None or self._expired(held.item):
            return None
        return held.item

    def items(self, kind: str) -> Sequence[SpreadItem]:
        """Return the unexpired items of a kind."""
        return tuple(
            held.item for held in self._kinds.get(kind, {}).values() if not self._expired(held.item)
        )

    def drop(self, kind: str, key: str) -> None:
        """Forget an item, and refuse its rank for a time so that peers can't bring it back."""
        held = self._kinds.get(kind, {}).get(key)
        if held is None:
            return
        self._remove(held)
        self._tombstones[(kind, key)] = (held.item.rank, self._clock.monotonic_s() + _TOMBSTONE_S)

    def expire(self) -> None:
        """Forget expired items and old tombstones."""
        for kind in self._kinds.values():
            for held in [held for held in kind.values() if self._expired(held.item)]:
                self._remove(held)
        now_s = self._clock.monotonic_s()
        self._tombstones = {
            key: (rank, until_s)
            for key, (rank, until_s) in self._tombstones.items()
            if until_s > now_s
        }

    def total_digest(self, item_class: ItemClass) -> int:
        """Return one digest of everything held of a class."""
        total = 0
        for digest in self._digests[item_class]:
            total ^= digest
        return total

    def bucket_digests(self, item_class: ItemClass) -> Sequence[int]:
        """Return the digest of each bucket of a class."""
        return tuple(self._digests[item_class])

    def quiet_s(self, item_class: ItemClass, bucket: int) -> float:
        """Return for how long nothing was added to a bucket, in seconds."""
        return self._clock.monotonic_s() - self._changed_at_s[item_class][bucket]

    def hashes(self, item_class: ItemClass, buckets: Iterable[int]) -> Mapping[int, int]:
        """Return the content hash by key hash of what some buckets hold."""
        return {
            key_hash: held.item_hash
            for bucket in buckets
            for key_hash, held in self._by_hash.get((item_class, bucket), {}).items()
        }

    def by_hash(self, item_class: ItemClass, key_hash: int) -> SpreadItem | None:
        """Return the item with a key hash."""
        held = self._by_hash.get((item_class, key_hash % BUCKETS), {}).get(key_hash)
        return held.item if held else None

    def hash_of(self, item: SpreadItem) -> tuple[int, int]:
        """Return the key hash and the content hash of *item*."""
        held = _Held(item)
        return held.key_hash, held.item_hash

    def count(self) -> int:
        """Return how many items are held."""
        return sum(len(kind) for kind in self._kinds.values())

    def _add(self, held: _Held) -> None:
        bucket = held.key_hash % BUCKETS
        self._kinds[held.item.kind][held.item.key] = held
        self._by_hash.setdefault((held.item_class, bucket), {})[held.key_hash] = held
        self._digests[held.item_class][bucket] ^= held.item_hash
        self._changed_at_s[held.item_class][bucket] = self._clock.monotonic_s()

    def _remove(self, held: _Held) -> None:
        bucket = held.key_hash % BUCKETS
        del self._kinds[held.item.kind][held.item.key]
        del self._by_hash[(held.item_class, bucket)][held.key_hash]
        self._digests[held.item_class][bucket] ^= held.item_hash

    def _expired(self, item: SpreadItem) -> bool:
        return 0.0 < item.expires_at_s <= self._clock.now().timestamp()

    def _buried(self, item: SpreadItem) -> bool:
        tombstone = self._tombstones.get((item.kind, item.key))
        return tombstone is not None and item.rank <= tombstone[0]


def _order(item: SpreadItem) -> tuple[tuple[int, ...], float, bytes]:
    return item.rank, item.expires_at_s, item.body
