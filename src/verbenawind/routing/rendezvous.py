"""Rendezvous hashing: daemons that know the same members agree without talking."""

from collections.abc import Iterable, Sequence

import xxhash

__all__ = ["PrefixTable", "owner", "prefix_slot", "top"]

_PREFIX_SLOTS = 1024
_PREFIX_CHARACTERS = 512


def _score(key: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def top(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the *count* members with the highest scores for *key*, best first."""
    return sorted(members, key=lambda member: _score(key, member), reverse=True)[:count]


def owner(key: str, members: Iterable[str]) -> str:
    """Return the member with the highest score for *key*."""
    return max(members, key=lambda member: _score(key, member))


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
