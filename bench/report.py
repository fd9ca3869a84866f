"""Writes the report of a benchmark run: Markdown tables and a plot for each figure."""

from collections.abc import Sequence
from itertools import groupby
from pathlib import Path

from bench.plots import plot_figure
from bench.results import Figure, Results, figures_of

__all__ = ["write_report"]

_HEADER = (
    "| figure | variant | value | range | ratio to baseline | bound | within bound "
    "| source of the bound |"
)
_RULE = "|---|---|---:|---|---:|---:|---|---|"


def write_report(directory: Path, stem: str, results: Results) -> Path:
    """Write the report and its plots to *directory* and return the path of the report."""
    lines = _heading(results)
    for bench, group in groupby(figures_of(results.runs), lambda fig: fig.measurement.bench):
        figures = list(group)
        lines += ["", f"## {bench}", "", _HEADER, _RULE]
        lines += [_row(figure) for figure in figures]
        for name, variants in _group_by_name(figures).items():
            file = f"{stem}-{bench}-{_slug(name)}.png"
            plot_figure(directory / file, name, variants)
            lines += ["", f"![{name}]({file})"]
    path = directory / f"{stem}.md"
    path.write_text("\n".join(lines) + "\n")
    return path


def _heading(results: Results) -> list[str]:
    form = "short form" if results.short else "long form"
    lines = [
        f"# Benches of {results.started_at}",
        "",
        f"Seed {results.seed}, {form}, {results.cores} cores, Python {results.python}. "
        "Ratios are to the baseline variant of the same run.",
    ]
    failures = [run for run in results.runs if run.failure]
    lines += [f"- **failed**: {run.bench} (seed {run.seed}): {run.failure}" for run in failures]
    lines += [f"- **not run**: {name}" for name in results.not_run]
    return lines


def _row(figure: Figure) -> str:
    item = figure.measurement
    value_range = f"{min(figure.values):.4g} to {max(figure.values):.4g}"
    verdict = {None: "", True: "yes", False: "**no**"}[figure.within_bound]
    cells = [
        item.figure,
        item.variant,
        f"{figure.mean:.4g} {item.unit}",
        value_range if len(figure.values) > 1 else "one run",
        "" if figure.ratio is None else f"{figure.ratio:.3g}",
        "" if item.bound is None else f"{item.bound:.4g} {item.unit}",
        verdict,
        item.bound_source,
    ]
    return "| " + " | ".join(cells) + " |"


def _group_by_name(figures: Sequence[Figure]) -> dict[str, list[Figure]]:
    by_name: dict[str, list[Figure]] = {}
    for figure in figures:
        by_name.setdefault(figure.measurement.figure, []).append(figure)
    return by_name


def _slug(name: str) -> str:
    return "".join(char if char.isalnum() else "-" for char in name)
