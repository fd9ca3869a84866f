"""Bar charts of the variants of a figure, with the bound as a line."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl
from matplotlib.figure import Figure as Canvas

from bench.results import Figure

__all__ = ["plot_figure"]

_ROW_HEIGHT_INCHES = 0.35
_WIDTH_INCHES = 7.0
_BASELINE_COLOUR = "0.6"
_COLOUR = "tab:blue"

mpl.use("agg")


def plot_figure(path: Path, name: str, variants: Sequence[Figure]) -> None:
    """Draw a bar for each variant, grey for the baseline, with the range as error bars."""
    height = 1.3 + _ROW_HEIGHT_INCHES * len(variants)
    canvas = Canvas(figsize=(_WIDTH_INCHES, height), layout="constrained")
    axes = canvas.subplots()
    baselines = {figure.measurement.baseline_variant for figure in variants}
    means = [figure.mean for figure in variants]
    axes.barh(
        [figure.measurement.variant for figure in variants],
        means,
        color=[
            _BASELINE_COLOUR if figure.measurement.variant in baselines else _COLOUR
            for figure in variants
        ],
        xerr=[
            [mean - min(figure.values) for mean, figure in zip(means, variants, strict=True)],
            [max(figure.values) - mean for mean, figure in zip(means, variants, strict=True)],
        ],
    )
    axes.invert_yaxis()
    for bound in sorted({f.measurement.bound for f in variants if f.measurement.bound is not None}):
        axes.axvline(bound, color="tab:red", linestyle="--")
    axes.set_title(name)
    axes.set_xlabel(variants[0].measurement.unit)
    canvas.savefig(path, dpi=100)
