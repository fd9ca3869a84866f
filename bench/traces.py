"""Trainer idle time and staleness in replays of the committed traces, in virtual time."""

import statistics
from collections.abc import Sequence
from pathlib import Path

from bench.measurements import Better, Measurement
from verbenawind.traces import read_trace
from verbenawind.traces.replay import Replay, replay

__all__ = ["run"]

_TRACES = Path(__file__).parent.parent / "tests" / "traces"
_SHORT_FORM_TRACES = ("quiet-shift", "burst", "straggler-step", "failing-swap")
_MAX_STEP_WAIT_S = 600.0


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the figures of each trace. *seed* is unused, since each trace contains its seed."""
    paths = sorted(_TRACES.glob("*.jsonl"))
    if short:
        paths = [path for path in paths if path.stem.endswith(_SHORT_FORM_TRACES)]
    measured: list[Measurement] = []
    for path in paths:
        measured += _trace_measurements(path.stem, replay(read_trace(path)))
    return measured


def _trace_measurements(variant: str, replayed: Replay) -> list[Measurement]:
    if not replayed.waited_s:
        return []
    staleness = replayed.staleness_versions or (0,)
    figures = [
        _measurement(
            "longest wait for a whole step", variant, max(replayed.waited_s), "s", _MAX_STEP_WAIT_S
        ),
        _measurement("mean staleness", variant, statistics.fmean(staleness), "versions"),
        _measurement("broken promises", variant, len(replayed.violations), "", 0.0),
    ]
    if replayed.trained_s:
        idle_ratio = replayed.idle_s / (replayed.idle_s + replayed.trained_s)
        figures.append(_measurement("trainer's idle share", variant, idle_ratio, ""))
    return figures


def _measurement(
    figure: str, variant: str, value: float, unit: str, bound: float | None = None
) -> Measurement:
    bound_sources = {_MAX_STEP_WAIT_S: "letter: a step whole within 10 minutes", 0.0: "brief"}
    return Measurement(
        bench="traces",
        figure=figure,
        variant=variant,
        value=value,
        unit=unit,
        better=Better.LOWER,
        bound=bound,
        bound_source="" if bound is None else bound_sources[bound],
    )
