"""Tests of the results file, the report and the comparison."""

from pathlib import Path

from bench.__main__ import run_all
from bench.compare import compare
from bench.measurements import Better, Measurement
from bench.report import write_report
from bench.results import figures_of, read_results, write_results


def sample_bench(seed: int, short: bool) -> list[Measurement]:
    """Return two variants with values proportional to the seed."""
    return [
        Measurement(
            bench="sample",
            figure="idle",
            variant=variant,
            value=value * seed,
            unit="s",
            better=Better.LOWER,
            baseline_variant="plain",
            bound=2.5,
            bound_source="brief",
        )
        for variant, value in (("plain", 2.0), ("clever", 1.0))
    ]


def broken_bench(seed: int, short: bool) -> list[Measurement]:
    """Raise ValueError."""
    raise ValueError("no engine")


class TestResults:
    def test_ratio_is_to_the_baseline_of_the_same_run(self) -> None:
        """The ratio does not depend on the absolute values, and a missed bound is reported."""
        results = run_all({"sample": sample_bench}, 1, 2, short=True, budget_s=60.0)
        plain, clever = figures_of(results.runs)
        assert (plain.ratio, clever.ratio) == (None, 0.5)
        assert (plain.within_bound, clever.within_bound) == (False, True)

    def test_failure_is_reported(self, tmp_path: Path) -> None:
        """A failed bench is reported with its cause, and the other benches still run."""
        benches = {"broken": broken_bench, "sample": sample_bench}
        results = run_all(benches, 1, 1, short=True, budget_s=60.0)
        write_results(tmp_path / "r.json", results)
        report = write_report(tmp_path, "r", read_results(tmp_path / "r.json")).read_text()
        assert "**failed**: broken (seed 1): ValueError: no engine" in report
        assert "| idle | clever | 1 s |" in report

    def test_change_within_noise_has_no_verdict(self) -> None:
        """A change within the noise of both files has no verdict, a larger one has."""
        first = run_all({"sample": sample_bench}, 2, 2, short=True, budget_s=60.0)
        slower = run_all({"sample": sample_bench}, 40, 2, short=True, budget_s=60.0)
        assert "within noise" in "\n".join(compare(first, first))
        assert "| worse |" in "\n".join(compare(first, slower))
