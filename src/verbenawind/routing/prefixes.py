"""Which engines a prompt's beginning prefers, the same at every daemon."""

from collections.abc import Sequence

import xxhash

from verbenawind.kernel.rendezvous import top

__all__ = ["PrefixTable", "prefix_slot"]

_PREFIX_SLOTS = 1024
_PREFIX_CHARACTERS = 512


def prefix_slot(model: str, prompt: str) -> int:
    """Return the slot of a prompt's beginning; prompts that begin alike share it."""
    head = f"{model}\0{prompt[:_PREFIX_CHARACTERS]}"
    return xxhash.xxh3_64_intdigest(head.encode()) % _PREFIX_SLOTS


class PrefixTable:
    """The engines that a prefix slot prefers, worked out when first asked for.

    Args:
        members: The engines.
        count: How many are kept for each slot.
    """

    __slots__ = ("_count", "_slots", "members")

    def __init__(self, members: Sequence[str], count: int) -> None:
        self.members = members
        self._count = count
        self._slots: dict[int, list[str]] = {}

    def preferred(self, slot: int) -> list[str]:
        """Return the preferred engines of a slot, best first."""
        found = self._slots.get(slot)
        if found is None:
            found = self._slots[slot] = top(str(slot), self.members, self._count)
        return found
