"""Runs every bench in turn and writes a results file and a report."""

import functools
import importlib
import logging
import os
import pkgutil
import platform
import signal
import sys
import time
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path
from types import FrameType

import structlog
from absl import app, flags

import bench
from bench.measurements import Bench, Measurement
from bench.report import write_report
from bench.results import BenchRun, Results, write_results

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the first repeat.")
_REPEATS = flags.DEFINE_integer("repeats", 1, "Repeats of each bench, with seeds that follow.")
_FULL = flags.DEFINE_boolean("full", False, "Run the long forms.")
_ONLY = flags.DEFINE_list("only", [], "Names of the benches to run; all when empty.")
_BUDGET_S = flags.DEFINE_float("budget_s", 290.0, "Time for all benches together, in seconds.")
_OUT = flags.DEFINE_string("out", "bench/results", "Directory of the results.")


class _OutOfTime(Exception):
    """Raised in a bench that would exceed the budget."""


def find_benches(only: Sequence[str] = ()) -> dict[str, Bench]:
    """Return the benches by the name of their module; one that cannot be imported fails its run."""
    found: dict[str, Bench] = {}
    for module in sorted(pkgutil.iter_modules(bench.__path__), key=lambda module: module.name):
        if module.name.startswith("_") or (only and module.name not in only):
            continue
        try:
            run = getattr(importlib.import_module(f"bench.{module.name}"), "run", None)
        except ImportError as error:
            run = functools.partial(_raise, error)
        if callable(run):
            found[module.name] = run
    return found


def run_bench(name: str, run: Bench, seed: int, *, short: bool, limit_s: float) -> BenchRun:
    """Run one repeat of a bench; a failure becomes part of the results."""
    started_s = time.perf_counter()
    signal.signal(signal.SIGALRM, _alarm)
    signal.setitimer(signal.ITIMER_REAL, limit_s)
    failure = ""
    measurements: tuple[Measurement, ...] = ()
    try:
        measurements = tuple(run(seed, short))
    except _OutOfTime:
        failure = f"stopped after {limit_s:.0f} s, when the time for all benches was over"
    except Exception as error:
        failure = f"{type(error).__name__}: {error}"
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
    return BenchRun(
        bench=name,
        seed=seed,
        duration_s=round(time.perf_counter() - started_s, 3),
        measurements=measurements,
        failure=failure,
    )


def run_all(
    benches: dict[str, Bench], seed: int, repeats: int, *, short: bool, budget_s: float
) -> Results:
    """Run the benches, repeat after repeat, until the budget is spent."""
    started_at = datetime.now(UTC)
    ends_at_s = time.perf_counter() + budget_s
    runs: list[BenchRun] = []
    not_run: list[str] = []
    for repeat in range(repeats):
        for name, run in benches.items():
            left_s = ends_at_s - time.perf_counter()
            if left_s < 1.0:
                not_run.append(f"{name} (repeat {repeat + 1})")
                continue
            done = run_bench(name, run, seed + repeat, short=short, limit_s=left_s)
            print(f"{name}: {done.duration_s:.1f} s {done.failure}", file=sys.stderr)
            runs.append(done)
    return Results(
        started_at=started_at.isoformat(timespec="seconds"),
        seed=seed,
        short=short,
        cores=os.cpu_count() or 0,
        python=platform.python_version(),
        runs=tuple(runs),
        not_run=tuple(not_run),
    )


def _raise(error: ImportError, _seed: int, _short: bool) -> Sequence[Measurement]:
    raise error


def _alarm(_number: int, _frame: FrameType | None) -> None:
    raise _OutOfTime


def _main(_: list[str]) -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    logging.disable(logging.CRITICAL)
    results = run_all(
        find_benches(_ONLY.value),
        _SEED.value,
        _REPEATS.value,
        short=not _FULL.value,
        budget_s=_BUDGET_S.value,
    )
    directory = Path(_OUT.value)
    directory.mkdir(parents=True, exist_ok=True)
    stem = results.started_at.replace(":", "").replace("+0000", "Z")
    write_results(directory / f"{stem}.json", results)
    print(write_report(directory, stem, results))
    if any(run.failure for run in results.runs):
        sys.exit(1)


if __name__ == "__main__":
    app.run(_main)
