"""Batch jobs: many items submitted at once, run later, and listed at fixed positions."""

from collections.abc import Sequence
from enum import StrEnum

from verbenawind.kernel.messages import Value

__all__ = [
    "BatchItem",
    "BatchSubmission",
    "ItemResult",
    "JobRecord",
    "JobState",
    "ResultState",
    "ResultsPage",
]


class JobState(StrEnum):
    """Where a job stands; only an open one is worked on."""

    OPEN = "open"
    DONE = "done"
    ENDED = "ended"


class ResultState(StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    TERMINATED = "terminated"


class BatchItem(Value, frozen=True, kw_only=True):
    """One request of a job; items of one group share their prompt.

    ``length_hint`` is the caller's guess of the output's tokens, 0 where there is none.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: str = ""
    length_hint: int = 0


class BatchSubmission(Value, frozen=True, kw_only=True):
    """A job as its caller submitted it; ``min_version`` bounds the weights of its tokens."""

    job_id: str
    host: str
    path: str
    items: tuple[BatchItem, ...]
    model: str = ""
    step: int = 0
    min_version: int = 0
    desired_groups: int = 0


class JobRecord(Value, frozen=True, kw_only=True):
    """A job's row: what all daemons know of it.

    ``owner`` is the daemon incarnation that runs the job, empty for none; ``epoch`` rises with
    each owner. ``submitted_ms`` is the store's clock.
    """

    job_id: str
    host: str
    path: str
    model: str
    step: int
    min_version: int
    total: int
    submitted_ms: int
    owner: str
    epoch: int
    state: JobState = JobState.OPEN

    def age_s(self, store_ms: int) -> float:
        """Return how long ago the job was submitted, when the store's clock reads *store_ms*."""
        return (store_ms - self.submitted_ms) / 1000


class ItemResult(Value, frozen=True, kw_only=True):
    """A listed result; ``versions`` are the weights that made its events."""

    item_id: str
    state: ResultState
    text: str
    versions: tuple[int, ...] = ()


class ResultsPage(Value, frozen=True, kw_only=True):
    """Results from a position on, and how many items the job has."""

    total: int
    results: Sequence[ItemResult]
