"""Replays trace files and prints each one's guarantees kept, trainer idle time and staleness."""

import statistics
import sys
from pathlib import Path

import structlog
from absl import app

from verbenawind.traces.files import read_trace
from verbenawind.traces.replay import Replay, replay

_ERROR_LEVEL = 40


def summary_lines(result: Replay) -> list[str]:
    """Return the lines of a human-readable summary of one replay."""
    kept = [guarantee for guarantee, holds in result.held.items() if holds]
    waited_s = result.waited_s or (0.0,)
    staleness = result.staleness_versions or (0,)
    lines = [
        f"{result.name} ({result.duration_s:.0f} s of virtual time)",
        f"  guarantees kept: {', '.join(kept)}",
        f"  complete steps: {result.whole_steps}; "
        f"answered calls: {result.answered} of {result.asked}",
        f"  step wait: mean {statistics.fmean(waited_s):.1f} s, maximum {max(waited_s):.1f} s; "
        f"trainer idle time {result.idle_s:.1f} s, training time {result.trained_s:.1f} s",
        f"  staleness: mean {statistics.fmean(staleness):.2f} versions, maximum {max(staleness)}",
    ]
    lines += [
        f"  VIOLATED {violation.promise}: {violation.what}" for violation in result.violations
    ]
    lines += [f"  UNEXPECTED OUTCOME {difference}" for difference in result.differences]
    return lines


def _main(arguments: list[str]) -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(_ERROR_LEVEL))
    failed = False
    for name in arguments[1:]:
        result = replay(read_trace(Path(name)))
        print("\n".join(summary_lines(result)))
        failed = failed or bool(result.violations or result.differences)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(_main)
