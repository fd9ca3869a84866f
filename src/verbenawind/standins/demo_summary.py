"""The demonstration's summary and the check for violated guarantees."""

import msgspec

__all__ = ["DemoSummary", "violated_guarantees"]


class DemoSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of a run, printed as JSON in the last line of the output."""

    samples_expected: int
    samples_delivered: int
    duplicate_samples: int
    stale_samples: int
    unlabelled_samples: int
    grades_sent: int
    grades_delivered: int
    answers_expected: int
    answers_whole: int
    non_idempotent_requests: int
    non_idempotent_confirmed: int
    non_idempotent_double_runs: int
    trainer_idle_ratio: float
    staleness_versions_p95: int
    cross_region_bytes: int
    engine_crashes: int


def violated_guarantees(summary: DemoSummary) -> list[str]:
    """Return the fields of the summary that show a violated guarantee."""
    must_be_zero = (
        "duplicate_samples",
        "stale_samples",
        "unlabelled_samples",
        "non_idempotent_double_runs",
    )
    violated = [name for name in must_be_zero if getattr(summary, name)]
    if summary.samples_delivered != summary.samples_expected:
        violated.append("samples_delivered")
    if summary.grades_delivered != summary.grades_sent:
        violated.append("grades_delivered")
    if summary.answers_whole != summary.answers_expected:
        violated.append("answers_whole")
    return violated
