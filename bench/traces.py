"""Idle time and staleness in the replays of the committed traces; times are virtual."""

import statistics
from collections.abc import Sequence
from pathlib import Path

from bench.measurements import Better, Measurement
from verbenawind.traces import read_trace
from verbenawind.traces.replay import Replay, replay

__all__ = ["run"]

_TRACES = Path(__file__).parent.parent / "tests" / "traces"
_SHORT = ("quiet-shift", "burst", "straggler-step", "failing-swap")
_STEP_BOUND_S = 600.0


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the figures of each trace; the traces carry their own seeds."""
    paths = sorted(_TRACES.glob("*.jsonl"))
    if short:
        paths = [path for path in paths if path.stem.endswith(_SHORT)]
    measured: list[Measurement] = []
    for path in paths:
        measured += _figures(path.stem, replay(read_trace(path)))
    return measured


def _figures(variant: str, shown: Replay) -> list[Measurement]:
    if not shown.waited_s:
        return []
    staleness = shown.staleness_versions or (0,)
    figures = [
        _figure("longest wait for a whole step", variant, max(shown.waited_s), "s", _STEP_BOUND_S),
        _figure("mean staleness", variant, statistics.fmean(staleness), "versions"),
        _figure("broken promises", variant, len(shown.violations), "", 0.0),
    ]
    if shown.trained_s:
        share = shown.idle_s / (shown.idle_s + shown.trained_s)
        figures.append(_figure("trainer's idle share", variant, share, ""))
    return figures


def _figure(
    figure: str, variant: str, value: float, unit: str, bound: float | None = None
) -> Measurement:
    source = {_STEP_BOUND_S: "letter: a step whole within 10 minutes", 0.0: "brief"}
    return Measurement(
        bench="traces",
        figure=figure,
        variant=variant,
        value=value,
        unit=unit,
        better=Better.LOWER,
        bound=bound,
        bound_source="" if bound is None else source[bound],
    )
