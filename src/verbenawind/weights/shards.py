"""Divides the engines of an availability zone into shards, each with a lease of its own.

An engine's shard depends on its name alone. So all orders to one engine carry fencing numbers
of one lease, which rise with every holder.
"""

import xxhash

__all__ = ["SHARD_COUNT", "lease_name", "shard_of"]

SHARD_COUNT = 16
"""Shards of an availability zone; 870 engines make some 54 a shard."""


def shard_of(server_id: str) -> int:
    """Return the shard of the engine called *server_id*, from 0 to ``SHARD_COUNT - 1``."""
    return xxhash.xxh64_intdigest(server_id.encode()) % SHARD_COUNT


def lease_name(zone: str, shard: int) -> str:
    """Return the name of the lease that guards a shard's orders."""
    return f"weights/{zone}/{shard:02}"
