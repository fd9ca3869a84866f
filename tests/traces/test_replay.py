"""Replays every committed trace against its stated outcome."""

from pathlib import Path

import pytest

from verbenawind.traces import read_trace
from verbenawind.traces.replay import replay

TRACES = sorted(Path(__file__).parent.glob("*.jsonl"))


class TestReplay:
    @pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
    def test_stated_outcome_holds(self, path: Path) -> None:
        """Every promise holds in the replay, and its outcome is as stated."""
        shown = replay(read_trace(path))
        assert (shown.violations, shown.differences) == ((), ())
