"""The overlay topology: a few links within each zone, and fewer between zones."""

from collections.abc import Iterable, Mapping, Sequence

import xxhash

from verbenawind.kernel.rendezvous import top_members

__all__ = ["bridge_targets", "zone_targets"]

_RING_SUCCESSORS = 2
_BRIDGES_PER_ZONE_PAIR = 2


def zone_targets(own_id: str, zone_ids: Iterable[str]) -> Sequence[str]:
    """Return the daemons of the zone that *own_id* dials.

    They are its successors on a ring in hash order, and the opposite one, which keeps the diameter
    of the overlay small.
    """
    ring = sorted({*zone_ids, own_id}, key=lambda peer_id: (_hash(peer_id), peer_id))
    position = ring.index(own_id)
    offsets = [*range(1, _RING_SUCCESSORS + 1), len(ring) // 2]
    targets = [ring[(position + offset) % len(ring)] for offset in offsets]
    return [peer_id for peer_id in dict.fromkeys(targets) if peer_id != own_id]


def bridge_targets(
    own_id: str, own_zone: str, members_by_zone: Mapping[str, Sequence[str]]
) -> Mapping[str, str]:
    """Return the daemon to dial in each other zone for which *own_id* bridges its own zone."""
    targets: dict[str, str] = {}
    own_zone_ids = [*members_by_zone.get(own_zone, ()), own_id]
    for zone, members in members_by_zone.items():
        if zone == own_zone or not members:
            continue
        bridges = top_members(zone, own_zone_ids, _BRIDGES_PER_ZONE_PAIR)
        if own_id in bridges:
            remote_bridges = top_members(own_zone, members, _BRIDGES_PER_ZONE_PAIR)
            targets[zone] = remote_bridges[bridges.index(own_id) % len(remote_bridges)]
    return targets


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
