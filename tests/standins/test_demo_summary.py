"""Tests of the demonstration's check for violated guarantees."""

import msgspec
import pytest

from verbenawind.standins.demo_summary import DemoSummary, violated_guarantees

GOOD = DemoSummary(
    samples_expected=32,
    samples_delivered=32,
    duplicate_samples=0,
    stale_samples=0,
    unlabelled_samples=0,
    grades_sent=32,
    grades_delivered=32,
    answers_expected=10,
    answers_whole=10,
    non_idempotent_requests=5,
    non_idempotent_confirmed=4,
    non_idempotent_double_runs=0,
    trainer_idle_ratio=0.1,
    staleness_versions_p95=1,
    cross_region_bytes=0,
    engine_crashes=0,
)


class TestViolatedGuarantees:
    def test_good_run_has_no_violation(self) -> None:
        """A run in which everything was delivered exactly once has no violation."""
        assert violated_guarantees(GOOD) == []

    @pytest.mark.parametrize(
        "field",
        [
            "samples_delivered",
            "duplicate_samples",
            "stale_samples",
            "unlabelled_samples",
            "grades_delivered",
            "answers_whole",
            "non_idempotent_double_runs",
        ],
    )
    def test_each_violation_is_named(self, field: str) -> None:
        """An extra or missing sample, grade, answer or run is reported by its field name."""
        summary = msgspec.structs.replace(GOOD, **{field: getattr(GOOD, field) + 1})
        assert violated_guarantees(summary) == [field]
