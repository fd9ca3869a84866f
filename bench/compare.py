"""Compares two results files, taking into account the noise over the repeats of each."""

import sys
from collections.abc import Sequence
from pathlib import Path

from bench.measurements import Better
from bench.results import Figure, Results, figures_of, read_results

__all__ = ["compare"]


def compare(before: Results, after: Results) -> Sequence[str]:
    """Return a Markdown table of the common figures, and the names of those in one file only."""
    old = {figure.key: figure for figure in figures_of(before.runs)}
    new = {figure.key: figure for figure in figures_of(after.runs)}
    lines = [
        f"before: {before.started_at} seed {before.seed}; after: {after.started_at} "
        f"seed {after.seed}",
        "",
        "| bench | figure | variant | before | after | change | verdict |",
        "|---|---|---|---:|---:|---:|---|",
    ]
    lines += [_row(old[key], new[key]) for key in old if key in new]
    lines += [f"only before: {' / '.join(key)}" for key in old if key not in new]
    lines += [f"only after: {' / '.join(key)}" for key in new if key not in old]
    return lines


def _row(old: Figure, new: Figure) -> str:
    change = new.mean / old.mean - 1.0 if old.mean else None
    shown = "" if change is None else f"{change:+.1%}"
    cells = [*new.key, _cell(old), _cell(new), shown, _verdict(old, new, change)]
    return "| " + " | ".join(cells) + " |"


def _cell(figure: Figure) -> str:
    noise = "noise unknown" if figure.noise is None else f"± {figure.noise:.1%}"
    return f"{figure.mean:.4g} {figure.measurement.unit} ({noise})"


def _verdict(old: Figure, new: Figure, change: float | None) -> str:
    better = new.measurement.better
    if change is None or better is Better.NEITHER:
        return ""
    if old.noise is None or new.noise is None:
        return "one run only: noise unknown"
    if abs(change) <= old.noise + new.noise:
        return "within noise"
    improved = (change < 0) == (better is Better.LOWER)
    return "better" if improved else "worse"


def main(arguments: Sequence[str]) -> int:
    """Print the comparison of two results files."""
    if len(arguments) != 2:
        print("usage: python -m bench.compare BEFORE.json AFTER.json", file=sys.stderr)
        return 2
    before, after = (read_results(Path(argument)) for argument in arguments)
    print("\n".join(compare(before, after)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
