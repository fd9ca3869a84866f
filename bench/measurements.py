"""What every bench returns, so that one report can show all of them."""

from collections.abc import Callable, Sequence
from enum import StrEnum

import msgspec

__all__ = ["Bench", "Better", "Measurement"]


class Better(StrEnum):
    """Which direction of a figure is good."""

    LOWER = "lower"
    HIGHER = "higher"
    NEITHER = "neither"


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """One figure of one bench.

    ``variant`` names the policy or size that was measured; ``baseline_variant`` names the variant
    of the same run that the figure is set against. ``bound`` comes from ``bound_source``, never
    from a measured figure.
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
"""A bench module's ``run(seed, short)``: the measurements of one run, in short form if asked."""
