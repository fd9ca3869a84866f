"""Replays trace files and prints, for each, what held, and idle time and staleness."""

import statistics
import sys
from pathlib import Path

import structlog
from absl import app

from verbenawind.traces.files import read_trace
from verbenawind.traces.replay import Replay, replay

_ERROR_LEVEL = 40


def summary(shown: Replay) -> list[str]:
    """Return the readable lines about one replay."""
    held = [promise for promise, kept in shown.held.items() if kept]
    waited_s = shown.waited_s or (0.0,)
    staleness = shown.staleness_versions or (0,)
    lines = [
        f"{shown.name} ({shown.duration_s:.0f} s of virtual time)",
        f"  held: {', '.join(held)}",
        f"  whole steps: {shown.whole_steps}; answered {shown.answered} of {shown.asked}",
        f"  step wait: mean {statistics.fmean(waited_s):.1f} s, longest {max(waited_s):.1f} s; "
        f"trainers idle {shown.idle_s:.1f} s beside {shown.trained_s:.1f} s of training",
        f"  staleness: mean {statistics.fmean(staleness):.2f} versions, most {max(staleness)}",
    ]
    lines += [f"  BROKEN {violation.promise}: {violation.what}" for violation in shown.violations]
    lines += [f"  NOT AS STATED {difference}" for difference in shown.differences]
    return lines


def _main(arguments: list[str]) -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(_ERROR_LEVEL))
    failed = False
    for name in arguments[1:]:
        shown = replay(read_trace(Path(name)))
        print("\n".join(summary(shown)))
        failed = failed or bool(shown.violations or shown.differences)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(_main)
