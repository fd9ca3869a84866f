"""The results file: what one run of the benches measured, over its repeats."""

import statistics
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from bench.measurements import Better, Measurement

__all__ = ["BenchRun", "Figure", "Results", "figures_of", "read_results", "write_results"]


class BenchRun(msgspec.Struct, frozen=True, kw_only=True):
    """One repeat of one bench; ``failure`` says why it has no measurements."""

    bench: str
    seed: int
    duration_s: float
    measurements: tuple[Measurement, ...] = ()
    failure: str = ""


class Results(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that one run measured; ``not_run`` names benches that the time ran out for."""

    started_at: str
    seed: int
    short: bool
    cores: int
    python: str
    runs: tuple[BenchRun, ...]
    not_run: tuple[str, ...] = ()


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """One figure of one variant over the repeats; ``ratios`` are to the repeat's own baseline."""

    measurement: Measurement
    values: tuple[float, ...]
    ratios: tuple[float, ...]

    @property
    def key(self) -> tuple[str, str, str]:
        """What the figure is called in every results file."""
        return self.measurement.bench, self.measurement.figure, self.measurement.variant

    @property
    def mean(self) -> float:
        """The mean over the repeats."""
        return statistics.fmean(self.values)

    @property
    def noise(self) -> float | None:
        """Half the range over the repeats as a share of the mean, None for one repeat."""
        if len(self.values) < 2 or self.mean == 0.0:
            return None
        return (max(self.values) - min(self.values)) / 2.0 / abs(self.mean)

    @property
    def ratio(self) -> float | None:
        """The mean ratio to the baseline, None without one."""
        return statistics.fmean(self.ratios) if self.ratios else None

    @property
    def within_bound(self) -> bool | None:
        """Whether every repeat kept the bound, None without a bound or a direction."""
        bound, better = self.measurement.bound, self.measurement.better
        if bound is None or better is Better.NEITHER:
            return None
        if better is Better.LOWER:
            return max(self.values) <= bound
        return min(self.values) >= bound


def figures_of(runs: Iterable[BenchRun]) -> Sequence[Figure]:
    """Return the figures of all runs in the order of their first appearance."""
    values: dict[tuple[str, str, str], list[float]] = {}
    ratios: dict[tuple[str, str, str], list[float]] = {}
    first: dict[tuple[str, str, str], Measurement] = {}
    for run in runs:
        by_variant = {(item.bench, item.figure, item.variant): item for item in run.measurements}
        for key, item in by_variant.items():
            first.setdefault(key, item)
            values.setdefault(key, []).append(item.value)
            baseline = by_variant.get((item.bench, item.figure, item.baseline_variant or ""))
            if baseline is not None and baseline is not item and baseline.value:
                ratios.setdefault(key, []).append(item.value / baseline.value)
    return [
        Figure(measurement=item, values=tuple(values[key]), ratios=tuple(ratios.get(key, ())))
        for key, item in first.items()
    ]


def write_results(path: Path, results: Results) -> None:
    """Write a results file."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))


def read_results(path: Path) -> Results:
    """Return what a results file holds."""
    return msgspec.json.decode(path.read_bytes(), type=Results)
