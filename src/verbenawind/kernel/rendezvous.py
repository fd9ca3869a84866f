"""Rendezvous hashing: daemons with the same member list agree without communicating."""

from collections.abc import Iterable

import xxhash

__all__ = ["owner", "top_members"]


def top_members(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the *count* members with the highest scores for *key*, best first."""
    return sorted(members, key=lambda member: _score(key, member), reverse=True)[:count]


def owner(key: str, members: Iterable[str]) -> str:
    """Return the member with the highest score for *key*."""
    return max(members, key=lambda member: _score(key, member))


def _score(key: str, member: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode()), member
