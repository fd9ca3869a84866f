"""Tests of how the demonstration judges itself."""

import msgspec
import pytest

from verbenawind.standins.demo_summary import DemoSummary, broken_promises

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


class TestBrokenPromises:
    def test_good_run_breaks_none(self) -> None:
        """A run in which all was delivered once breaks no promise."""
        assert broken_promises(GOOD) == []

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
    def test_each_break_is_named(self, field: str) -> None:
        """One sample, grade, answer or run too many or too few is reported by its field."""
        summary = msgspec.structs.replace(GOOD, **{field: getattr(GOOD, field) + 1})
        assert broken_promises(summary) == [field]
