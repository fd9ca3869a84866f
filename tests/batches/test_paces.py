"""Tests of the estimation of engine paces and of the decision to move a run."""

from datetime import UTC, datetime

import pytest

from verbenawind.batches.paces import EnginePaces, RunPace


class ManualClock:
    """A clock that advances only when it is set or slept on."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def now(self) -> datetime:
        return datetime.fromtimestamp(self.now_s, UTC)

    def monotonic_s(self) -> float:
        return self.now_s

    async def sleep(self, duration_s: float) -> None:
        self.now_s += duration_s


def run_of(gaps_s: list[float]) -> RunPace:
    """Return the pace of a run whose events arrived at these intervals."""
    pace, now_s = RunPace(), 0.0
    pace.add_events(now_s, 1)
    for gap_s in gaps_s:
        now_s += gap_s
        pace.add_events(now_s, 1)
    return pace


class TestRunPace:
    def test_one_long_gap_is_ignored(self) -> None:
        """A pause of about a second for a weight swap does not count as a slow pace."""
        assert run_of([0.04, 0.04, 0.9, 0.04, 0.04]).median_s == pytest.approx(0.04)

    def test_steady_long_gaps_are_the_pace(self) -> None:
        """A slowdown of an engine is detected after a few events."""
        assert run_of([0.04, 0.04, 0.15, 0.15, 0.15]).median_s == pytest.approx(0.15)

    def test_too_few_events_give_no_pace(self) -> None:
        """The first events are not representative, because they include prompt processing."""
        assert run_of([0.3, 0.2]).median_s is None


class TestMoves:
    def test_run_moves_to_an_engine_that_is_much_faster(self) -> None:
        """A run leaves a slow engine, but does not move for a small difference."""
        paces = EnginePaces(ManualClock())
        paces.observe("fast", 0.04)
        assert paces.faster(run_of([0.15] * 5), ["fast"], 6)
        assert not paces.faster(run_of([0.06] * 5), ["fast"], 6)
        assert not paces.faster(run_of([0.15] * 5), [], 6)

    def test_long_run_moves_for_a_smaller_gain(self) -> None:
        """A run with many events is likely to produce many more, so a gain of a third suffices."""
        paces = EnginePaces(ManualClock())
        paces.observe("fast", 0.045)
        assert paces.faster(run_of([0.06] * 5), ["fast"], 30)
        assert not paces.faster(run_of([0.05] * 5), ["fast"], 30)

    def test_slow_engine_is_retried_with_few_runs(self) -> None:
        """A slow engine gets two runs once its sample is stale, and all slots if they are fast."""
        clock = ManualClock()
        paces = EnginePaces(clock)
        paces.observe("fast", 0.04)
        paces.observe("slow", 0.15)
        assert paces.pace_s("slow") == pytest.approx(0.15)
        clock.now_s = 3.0
        paces.observe("fast", 0.04)
        assert paces.pace_s("slow") == 0.0
        assert paces.room("slow", 16, ["fast", "slow"]) == 2
        for _ in range(12):
            paces.observe("slow", 0.04)
        assert paces.room("slow", 16, ["fast", "slow"]) == 16
