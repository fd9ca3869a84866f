"""What the demonstration reports, and which promises a run broke."""

import msgspec

__all__ = ["DemoSummary", "broken_promises"]


class DemoSummary(msgspec.Struct, frozen=True, kw_only=True):
    """The last line of the demonstration's output."""

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


def broken_promises(summary: DemoSummary) -> list[str]:
    """Return the fields of the summary that break a promise of the service."""
    must_be_zero = (
        "duplicate_samples",
        "stale_samples",
        "unlabelled_samples",
        "non_idempotent_double_runs",
    )
    broken = [name for name in must_be_zero if getattr(summary, name)]
    if summary.samples_delivered != summary.samples_expected:
        broken.append("samples_delivered")
    if summary.grades_delivered != summary.grades_sent:
        broken.append("grades_delivered")
    if summary.answers_whole != summary.answers_expected:
        broken.append("answers_whole")
    return broken
