"""Prefix affinity: maps prompt prefixes to preferred engines, identically at every daemon."""

from collections.abc import Sequence

import xxhash

from verbenawind.kernel.rendezvous import top_members

__all__ = ["PrefixTable", "prefix_slot"]

_PREFIX_SLOTS = 1024
_PREFIX_CHARACTERS = 512


def prefix_slot(model: str, prompt: str) -> int:
    """Return the hash slot of a prompt's prefix; prompts with the same prefix share a slot."""
    head = f"{model}\0{prompt[:_PREFIX_CHARACTERS]}"
    return xxhash.xxh3_64_intdigest(head.encode()) % _PREFIX_SLOTS


class PrefixTable:
    """The preferred engines of each prefix slot, computed on first use.

    Args:
        members: Identifiers of the engines.
        count: Number of preferred engines per slot.
    """

    __slots__ = ("_count", "_slots", "members")

    def __init__(self, members: Sequence[str], count: int) -> None:
        self.members = members
        self._count = count
        self._slots: dict[int, list[str]] = {}

    def preferred(self, slot: int) -> list[str]:
        """Return the preferred engines of a slot, best first."""
        engines = self._slots.get(slot)
        if engines is None:
            engines = self._slots[slot] = top_members(str(slot), self.members, self._count)
        return engines
