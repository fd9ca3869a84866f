"""Types of batch jobs: items submitted together, run later, and listed at fixed positions."""

from collections.abc import Sequence
from enum import StrEnum

from verbenawind.kernel.messages import Value
from verbenawind.kernel.wire_types import Count, Int64

__all__ = [
    "BatchItem",
    "BatchSubmission",
    "ItemResult",
    "JobRecord",
    "JobState",
    "ResultState",
    "ResultsPage",
    "ScoringCall",
]


class JobState(StrEnum):
    """The state of a job; only open jobs are run."""

    OPEN = "open"
    DONE = "done"
    ENDED = "ended"


class ResultState(StrEnum):
    """The final state of an item."""

    COMPLETED = "completed"
    TERMINATED = "terminated"


class ScoringCall(Value, frozen=True, kw_only=True):
    """The request whose response scores the complete text of an item; it may be repeated."""

    call_id: str
    host: str
    path: str
    body: bytes


class BatchItem(Value, frozen=True, kw_only=True):
    """One request of a job; the items of a group share their prompt.

    ``length_hint`` is the caller's estimate of the output length in tokens, 0 if not given. An item
    with a ``scoring`` call is complete only with the score of its text.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: str = ""
    length_hint: int = 0
    scoring: ScoringCall | None = None


class BatchSubmission(Value, frozen=True, kw_only=True):
    """A job as submitted; no token may come from weights older than ``min_version``."""

    job_id: str
    host: str
    path: str
    items: tuple[BatchItem, ...]
    model: str = ""
    step: int = 0
    min_version: int = 0
    desired_groups: int = 0


class JobRecord(Value, frozen=True, kw_only=True):
    """A job's row in the store, which all daemons read.

    ``owner`` is the daemon incarnation that runs the job, empty if there is none. ``epoch``
    increases with each new owner. ``submitted_ms`` is a time of the store's clock.
    ``submission_rows`` is the number of rows that hold the submission, 0 if it is an object.
    """

    job_id: str
    host: str
    path: str
    model: str
    step: Int64
    min_version: Int64
    total: Count
    submitted_ms: Int64
    owner: str
    epoch: Count
    state: JobState = JobState.OPEN
    submission_rows: Count = 0

    def age_s(self, store_ms: int) -> float:
        """Return the time since submission, given the store's current time *store_ms*."""
        return (store_ms - self.submitted_ms) / 1000


class ItemResult(Value, frozen=True, kw_only=True):
    """A listed result; ``versions`` are the weight versions that generated its events.

    ``score`` is the signature of the response to the item's scoring call, empty if it has none.
    """

    item_id: str
    state: ResultState
    text: str
    versions: tuple[int, ...] = ()
    score: str = ""


class ResultsPage(Value, frozen=True, kw_only=True):
    """Results from a position on, and the number of items of the job."""

    total: int
    results: Sequence[ItemResult]
