"""Local copy of all job records, updated from the change feed and from this daemon's writes."""

from collections.abc import Callable, Sequence

import structlog

from verbenawind.batches.job_rows import StoredJob, decode_job
from verbenawind.batches.types import JobRecord, JobState
from verbenawind.clock import Clock
from verbenawind.errors import Undecodable
from verbenawind.kernel.row_ports import StoredRow

__all__ = ["JobRegistry", "KnownJob"]


class KnownJob:
    """A job, and the time at which this daemon first saw its current owner."""

    __slots__ = ("job", "owned_since_s")

    def __init__(self, job: StoredJob, owned_since_s: float) -> None:
        self.job = job
        self.owned_since_s = owned_since_s

    @property
    def record(self) -> JobRecord:
        """The job's record."""
        return self.job.record


class JobRegistry:
    """Known jobs by id, each with the highest row version that was seen.

    Args:
        clock: Time source.
    """

    __slots__ = ("_clock", "_jobs", "_listeners", "_log")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._jobs: dict[str, KnownJob] = {}
        self._listeners: list[Callable[[StoredJob], None]] = []
        self._log = structlog.get_logger("batches")

    def on_change(self, listener: Callable[[StoredJob], None]) -> None:
        """Call *listener* with every new or changed job."""
        self._listeners.append(listener)

    def apply_row(self, row: StoredRow) -> None:
        """Apply a row of the jobs table."""
        if row.value is None:
            self._jobs.pop(row.row_id.part, None)
            return
        try:
            record = decode_job(row.value)
        except Undecodable as error:
            self._log.error("job_unreadable", job_id=row.row_id.part, error=error.message)
            return
        self.put(StoredJob(record=record, version=row.version))

    def put(self, job: StoredJob) -> None:
        """Store a job unless the same or a newer version is known."""
        job_id = job.record.job_id
        known = self._jobs.get(job_id)
        if known is not None and known.job.version >= job.version:
            return
        since_s = self._clock.monotonic_s()
        if known is not None and known.record.owner == job.record.owner:
            since_s = known.owned_since_s
        self._jobs[job_id] = KnownJob(job, since_s)
        for listener in self._listeners:
            listener(job)

    def get(self, job_id: str) -> KnownJob | None:
        """Return a job, or None if it is not known to this daemon; the store may still have it."""
        return self._jobs.get(job_id)

    def remove(self, job_id: str) -> None:
        """Remove a job that was deleted from the store."""
        self._jobs.pop(job_id, None)

    def closed_jobs(self) -> Sequence[KnownJob]:
        """Return the jobs that are done or ended."""
        return [known for known in self._jobs.values() if known.record.state is not JobState.OPEN]

    def open_jobs(self) -> Sequence[KnownJob]:
        """Return the jobs that are neither done nor ended."""
        return [known for known in self._jobs.values() if known.record.state is JobState.OPEN]
