"""Partitions the engines of an availability zone into shards, each with its own lease.

An engine's shard depends on its id alone, so all orders to an engine carry fencing numbers of
the same lease. These increase with every lease holder.
"""

import xxhash

__all__ = ["SHARD_COUNT", "lease_name", "shard_of"]

SHARD_COUNT = 16
"""Number of shards per availability zone; a zone of 870 engines has about 54 per shard."""


def shard_of(server_id: str) -> int:
    """Return the shard of an engine, from 0 to ``SHARD_COUNT - 1``."""
    return xxhash.xxh64_intdigest(server_id.encode()) % SHARD_COUNT


def lease_name(zone: str, shard: int) -> str:
    """Return the name of the lease that a daemon must hold to give orders to a shard."""
    return f"weights/{zone}/{shard:02}"
