"""Replays every committed trace and compares the outcome with the expected one."""

from pathlib import Path

import pytest

from verbenawind.traces import read_trace
from verbenawind.traces.replay import replay

TRACES = sorted(Path(__file__).parent.glob("*.jsonl"))


class TestReplay:
    @pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
    def test_expected_outcome(self, path: Path) -> None:
        """The replay violates no guarantee and produces the expected outcome."""
        result = replay(read_trace(path))
        assert (result.violations, result.differences) == ((), ())
