"""Tests of the staging budget, the failure tracking and the shards."""

from datetime import UTC, datetime
from random import Random

from verbenawind.weights.budget import StagingBudget
from verbenawind.weights.failures import OrderFailures
from verbenawind.weights.shards import SHARD_COUNT, shard_of


class ManualClock:
    """A clock that the tests advance explicitly."""

    def __init__(self) -> None:
        self.time_s = 0.0

    def now(self) -> datetime:
        return datetime.fromtimestamp(self.time_s, UTC)

    def monotonic_s(self) -> float:
        return self.time_s

    async def sleep(self, duration_s: float) -> None:
        self.time_s += duration_s


class TestStagingBudget:
    def test_mean_rate_holds_for_stagings_of_any_size(self) -> None:
        """Over a minute, the bytes started exceed the rate by at most one staging."""
        clock = ManualClock()
        budget = StagingBudget(clock)
        budget.set_rate(100.0)
        started_bytes = 0
        for _ in range(600):
            if budget.take(750):
                started_bytes += 750
            clock.time_s += 0.1
        assert 5000 <= started_bytes <= 6000 + 750


class TestOrderFailures:
    def test_engine_is_set_aside_after_four_failures(self) -> None:
        """The fourth consecutive failure sets the engine aside, for that incarnation only."""
        failures = OrderFailures(ManualClock(), Random(1))
        results = [failures.failed("e", 1, "m") for _ in range(4)]
        assert results == [False, False, False, True]
        assert failures.is_set_aside("e", 1, "m")
        assert not failures.is_set_aside("e", 2, "m")

    def test_success_resets_failures(self) -> None:
        """A success resets the failure count and the retry time."""
        failures = OrderFailures(ManualClock(), Random(1))
        failures.failed("e", 1, "m")
        failures.succeeded("e", 1, "m")
        assert failures.retry_at_s("e", 1, "m") == 0.0


class TestShards:
    def test_engines_are_spread_evenly_over_shards(self) -> None:
        """Of 870 engines, no shard has more than twice the mean."""
        counts = [0] * SHARD_COUNT
        for number in range(870):
            counts[shard_of(f"engine-{number}")] += 1
        assert max(counts) <= 2 * 870 / SHARD_COUNT
