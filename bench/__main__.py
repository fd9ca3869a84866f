"""Runs the benches one after another and writes a results file and a report."""

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
_REPEATS = flags.DEFINE_integer("repeats", 1, "Repeats of each bench, with consecutive seeds.")
_FULL = flags.DEFINE_boolean("full", False, "Run the benches in full size.")
_ONLY = flags.DEFINE_list("only", [], "Names of the benches to run; all when empty.")
_BUDGET_S = flags.DEFINE_float(
    "budget_s", 290.0, "Time limit for all benches together, in seconds."
)
_OUT = flags.DEFINE_string(
    "out", "bench/results", "Directory for the results, the report and its plots."
)


class _BudgetSpent(Exception):
    """Raised by a signal in a bench that is still running when the budget is spent."""


def find_benches(only: Sequence[str] = ()) -> dict[str, Bench]:
    """Return the benches by module name; a module that fails to import fails when it is run."""
    found: dict[str, Bench] = {}
    for module in sorted(pkgutil.iter_modules(bench.__path__), key=lambda module: module.name):
        if module.name.startswith("_") or (only and module.name not in only):
            continue
        try:
            run = getattr(importlib.import_module(f"bench.{module.name}"), "run", None)
        except ImportError as error:
            run = functools.partial(_raise_import_error, error)
        if callable(run):
            found[module.name] = run
    return found


def run_bench(name: str, run: Bench, seed: int, *, short: bool, limit_s: float) -> BenchRun:
    """Run one repeat of a bench; an exception is recorded in ``failure`` of the result."""
    started_s = time.perf_counter()
    signal.signal(signal.SIGALRM, _raise_budget_spent)
    signal.setitimer(signal.ITIMER_REAL, limit_s)
    failure = ""
    measurements: tuple[Measurement, ...] = ()
    try:
        measurements = tuple(run(seed, short))
    except _BudgetSpent:
        failure = f"stopped after {limit_s:.0f} s: the time budget of all benches is spent"
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
    """Run all benches once per repeat until the time budget is spent."""
    started_at = datetime.now(UTC)
    deadline_s = time.perf_counter() + budget_s
    runs: list[BenchRun] = []
    not_run: list[str] = []
    for repeat in range(repeats):
        for name, run in benches.items():
            remaining_s = deadline_s - time.perf_counter()
            if remaining_s < 1.0:
                not_run.append(f"{name} (repeat {repeat + 1})")
                continue
            result = run_bench(name, run, seed + repeat, short=short, limit_s=remaining_s)
            print(f"{name}: {result.duration_s:.1f} s {result.failure}", file=sys.stderr)
            runs.append(result)
    return Results(
        started_at=started_at.isoformat(timespec="seconds"),
        seed=seed,
        short=short,
        cores=os.cpu_count() or 0,
        python=platform.python_version(),
        runs=tuple(runs),
        not_run=tuple(not_run),
    )


def _raise_import_error(error: ImportError, _seed: int, _short: bool) -> Sequence[Measurement]:
    raise error


def _raise_budget_spent(_number: int, _frame: FrameType | None) -> None:
    raise _BudgetSpent


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
