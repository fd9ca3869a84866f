"""Units of delivery of a step (groups or single samples), and bitmaps of units."""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from itertools import accumulate, groupby

__all__ = ["StepUnits", "count_bits", "has_bit", "run_lengths", "with_bits", "without_bits"]


class StepUnits:
    """Maps the units of a step to its samples and back.

    Args:
        sizes: Number of samples in each group.
        singles: Whether each sample is a unit; otherwise each group is.
    """

    __slots__ = ("_offsets", "_singles", "_sizes", "samples")

    def __init__(self, sizes: Sequence[int], *, singles: bool) -> None:
        self._sizes = tuple(sizes)
        self._singles = singles
        self._offsets = [0, *accumulate(self._sizes)]
        self.samples = self._offsets[-1]

    @classmethod
    def from_runs(cls, runs: Iterable[tuple[int, int]], *, singles: bool) -> "StepUnits":
        """Create the units from run-length encoded group sizes."""
        return cls([size for count, size in runs for _ in range(count)], singles=singles)

    @property
    def count(self) -> int:
        """The number of units."""
        return self.samples if self._singles else len(self._sizes)

    def members(self, unit: int) -> list[tuple[int, int]]:
        """Return the (group, index) of each sample of a unit."""
        if not self._singles:
            return [(unit, index) for index in range(self._sizes[unit])]
        group = bisect_right(self._offsets, unit) - 1
        return [(group, unit - self._offsets[group])]

    def sample_number(self, group: int, index: int) -> int | None:
        """Return the index of a sample within the step, or None if there is no such sample."""
        if not 0 <= group < len(self._sizes) or not 0 <= index < self._sizes[group]:
            return None
        return self._offsets[group] + index

    def unit_of(self, group: int, index: int) -> int:
        """Return the unit that a sample belongs to."""
        return self._offsets[group] + index if self._singles else group


def run_lengths(sizes: Iterable[int]) -> tuple[tuple[int, int], ...]:
    """Run-length encode group sizes as (number of groups, samples in each)."""
    return tuple((len(list(run)), size) for size, run in groupby(sizes))


def has_bit(bitmap: bytes, number: int) -> bool:
    """Return whether bit *number* is set; bits past the end are clear."""
    byte = number // 8
    return byte < len(bitmap) and bool(bitmap[byte] >> (number % 8) & 1)


def with_bits(bitmap: bytes, numbers: Iterable[int]) -> bytes:
    """Return a copy of the bitmap with the given bits set, extended if necessary."""
    changed = bytearray(bitmap)
    for number in numbers:
        byte = number // 8
        changed.extend(b"\0" * (byte + 1 - len(changed)))
        changed[byte] |= 1 << (number % 8)
    return bytes(changed)


def without_bits(bitmap: bytes, numbers: Iterable[int]) -> bytes:
    """Return a copy of the bitmap with the given bits cleared."""
    changed = bytearray(bitmap)
    for number in numbers:
        if has_bit(bitmap, number):
            changed[number // 8] &= ~(1 << (number % 8))
    return bytes(changed)


def count_bits(bitmap: bytes) -> int:
    """Return the number of set bits."""
    return int.from_bytes(bitmap, "little").bit_count()
