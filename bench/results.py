"""The results file of a benchmark run, and the statistics over its repeats."""

import statistics
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from bench.measurements import Better, Measurement

__all__ = ["BenchRun", "Figure", "Results", "figures_of", "read_results", "write_results"]


class BenchRun(msgspec.Struct, frozen=True, kw_only=True):
    """One repeat of one bench; ``failure`` is the reason why it has no measurements."""

    bench: str
    seed: int
    duration_s: float
    measurements: tuple[Measurement, ...] = ()
    failure: str = ""


class Results(msgspec.Struct, frozen=True, kw_only=True):
    """The contents of a results file; ``not_run`` names the benches skipped for lack of time."""

    started_at: str
    seed: int
    short: bool
    cores: int
    python: str
    runs: tuple[BenchRun, ...]
    not_run: tuple[str, ...] = ()


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """One figure of one variant over the repeats; ``ratios`` are to the baseline of each repeat."""

    measurement: Measurement
    values: tuple[float, ...]
    ratios: tuple[float, ...]

    @property
    def key(self) -> tuple[str, str, str]:
        """Bench, figure and variant, which identify the figure across results files."""
        return self.measurement.bench, self.measurement.figure, self.measurement.variant

    @property
    def mean(self) -> float:
        """Mean over the repeats."""
        return statistics.fmean(self.values)

    @property
    def noise(self) -> float | None:
        """Half the range over the repeats, relative to the mean; None for a single repeat."""
        if len(self.values) < 2 or self.mean == 0.0:
            return None
        return (max(self.values) - min(self.values)) / 2.0 / abs(self.mean)

    @property
    def ratio(self) -> float | None:
        """Mean ratio to the baseline; None without a baseline."""
        return statistics.fmean(self.ratios) if self.ratios else None

    @property
    def within_bound(self) -> bool | None:
        """Whether every repeat is within the bound; None without a bound or a direction."""
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
    """Read a results file."""
    return msgspec.json.decode(path.read_bytes(), type=Results)
