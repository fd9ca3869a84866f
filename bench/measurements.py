"""The common result type of the benches."""

from collections.abc import Callable, Sequence
from enum import StrEnum

import msgspec

__all__ = ["Bench", "Better", "Measurement"]


class Better(StrEnum):
    """Which values of a figure are better."""

    LOWER = "lower"
    HIGHER = "higher"
    NEITHER = "neither"


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """One figure of one bench.

    ``variant`` names the measured policy or size; ``baseline_variant`` names the variant of the
    same run that the value is compared with. ``bound`` is a requirement taken from
    ``bound_source``, never derived from a measured value.
    """

    bench: str
    figure: str
    variant: str
    value: float
    unit: str
    better: Better = Better.NEITHER
    baseline_variant: str | None = None
    bound: float | None = None
    bound_source: str = ""


Bench = Callable[[int, bool], Sequence[Measurement]]
"""The type of a bench module's ``run(seed, short)``; *short* selects a smaller, faster run."""
