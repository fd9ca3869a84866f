"""Appends results of owned jobs to their result lists, and closes jobs with complete lists."""

from collections.abc import Callable, Sequence

import msgspec
import structlog

from verbenawind.batches.job_registry import JobRegistry
from verbenawind.batches.job_store import JobStore
from verbenawind.batches.owned_job import OwnedJob
from verbenawind.batches.types import ItemResult, JobState
from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable

__all__ = ["ResultLister"]

# Results wait this long so that several are written in one transaction.
_COMMIT_DELAY_S = 0.1
_COMMIT_TIMEOUT_S = 3.0
_READ_TIMEOUT_S = 3.0
_RETRY_S = 0.05


class ResultLister:
    """Writes finished results to the store, with at most one transaction per job at a time.

    A listed result has a fixed position and is visible to callers.

    Args:
        job_store: Persistent record of jobs.
        job_registry: Known jobs, updated when a job is closed.
        clock: Time source.
        drop: Stops running a job, with the reason.
        on_listed: Called with the results of each transaction.
    """

    __slots__ = ("_clock", "_drop", "_job_registry", "_job_store", "_log", "_on_listed", "listed")

    def __init__(
        self,
        job_store: JobStore,
        job_registry: JobRegistry,
        clock: Clock,
        drop: Callable[[OwnedJob, str], None],
        on_listed: Callable[[OwnedJob, Sequence[ItemResult]], None],
    ) -> None:
        self._job_store = job_store
        self._job_registry = job_registry
        self._clock = clock
        self._drop = drop
        self._on_listed = on_listed
        self._log = structlog.get_logger("batches")
        self.listed = 0

    def is_due(self, job: OwnedJob) -> bool:
        """Return whether a job's results should be listed now.

        A trainer waits for whole groups, so the last result of a group is listed at once.
        """
        if job.commit_task is not None or not (job.finished or not job.unfinished):
            return False
        waited_s = self._clock.monotonic_s() - job.finished_since_s
        return job.completes_group or not job.unfinished or waited_s >= _COMMIT_DELAY_S

    async def commit(self, job: OwnedJob) -> None:
        """List finished results, or close the job if all are listed.

        A transaction whose outcome is unknown is repeated unchanged.
        """
        try:
            if job.finished:
                await self._list(job)
            else:
                await self._close(job)
        except RowConflict as conflict:
            await self._reload(job, conflict)
        finally:
            job.commit_task = None

    async def _list(self, job: OwnedJob) -> None:
        batch = list(job.finished)
        job.completes_group = False
        repeated = False
        while True:
            try:
                tail = await self._job_store.append(
                    job.stored, job.tail, batch, _COMMIT_TIMEOUT_S, repeated=repeated
                )
                break
            except StoreUnavailable as error:
                repeated = repeated or error.effect_possible
                self._log.warning(
                    "results_not_listed",
                    job_id=job.job_id,
                    results=len(batch),
                    position=job.tail.listed,
                    reason=error.message,
                )
                await self._clock.sleep(_RETRY_S)
        count = tail.listed - job.tail.listed
        job.tail = tail
        del job.finished[:count]
        self.listed += count
        self._on_listed(job, batch[:count])
        self._log.info("results_listed", job_id=job.job_id, results=count, position=tail.listed)

    async def _close(self, job: OwnedJob) -> None:
        """Mark a job whose results are all listed as done."""
        done = msgspec.structs.replace(job.stored.record, state=JobState.DONE)
        try:
            self._job_registry.put(
                await self._job_store.update(job.stored, done, _COMMIT_TIMEOUT_S)
            )
        except StoreUnavailable as error:
            self._log.warning("job_not_closed", job_id=job.job_id, reason=error.message)
            await self._clock.sleep(_RETRY_S)

    async def _reload(self, job: OwnedJob, conflict: RowConflict) -> None:
        """Read a job again after a conflict, and drop it or update its record."""
        self._log.warning("job_conflict", job_id=job.job_id, reason=conflict.message)
        try:
            stored = await self._job_store.job(job.job_id, _READ_TIMEOUT_S)
        except StoreUnavailable as error:
            self._log.warning("job_not_read", job_id=job.job_id, reason=error.message)
            return
        if stored is None:
            self._drop(job, "its row was deleted")
        elif stored.version == job.stored.version:
            # The store has results that this owner did not expect. Once the job is dropped, the
            # takeover loop loads it again together with these results.
            self._drop(job, "the store has other results than expected")
        else:
            self._job_registry.put(stored)
