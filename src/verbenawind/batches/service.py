"""Operations on batch jobs for callers: submit, read results, read an item's body, end."""

from collections import OrderedDict
from collections.abc import Callable

import structlog

from verbenawind.batches.job_registry import JobRegistry
from verbenawind.batches.job_rows import StoredJob
from verbenawind.batches.job_store import JobStore
from verbenawind.batches.placement import place_job
from verbenawind.batches.runner import BatchRunner
from verbenawind.batches.types import BatchSubmission, JobRecord, JobState, ResultsPage
from verbenawind.clock import Clock
from verbenawind.errors import Outcome, StoreUnavailable, UnknownResource
from verbenawind.state.heartbeats import HostHeartbeats

__all__ = ["BatchJobs"]

# Timeout of a store call made on behalf of a caller.
_READ_TIMEOUT_S = 2.0
# Polling interval while a caller waits for results.
_POLL_S = 0.1
# A shorter remaining wait is treated as expired.
_MIN_WAIT_S = 0.001
_RETRY_S = 0.5
# Number of decoded submissions that are cached to serve item bodies.
_MAX_CACHED_SUBMISSIONS = 8


class BatchJobs:
    """Serves callers; every daemon can serve requests for every job.

    Args:
        job_store: Persistent record of jobs.
        job_registry: Known jobs.
        runner: Runs the jobs that are placed on this daemon.
        heartbeats: Heartbeats of the daemons that may run jobs.
        store_ms: Returns the store's time.
        clock: Time source.
    """

    __slots__ = (
        "_clock",
        "_heartbeats",
        "_job_registry",
        "_job_store",
        "_log",
        "_runner",
        "_store_ms",
        "_submissions",
    )

    def __init__(
        self,
        job_store: JobStore,
        job_registry: JobRegistry,
        runner: BatchRunner,
        heartbeats: HostHeartbeats,
        store_ms: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._heartbeats = heartbeats
        self._job_store = job_store
        self._job_registry = job_registry
        self._runner = runner
        self._store_ms = store_ms
        self._clock = clock
        self._submissions: OrderedDict[str, BatchSubmission] = OrderedDict()
        self._log = structlog.get_logger("batches")

    def is_known(self, job_id: str) -> bool:
        """Return whether this daemon knows that a job was accepted; the store may have others."""
        return self._job_registry.get(job_id) is not None

    async def submit(self, submission: BatchSubmission, deadline_s: float) -> None:
        """Accept a job durably; submitting an accepted job again has no effect.

        Args:
            submission: The job.
            deadline_s: Monotonic time until which the caller waits.

        Raises:
            StoreUnavailable: The job was not confirmed; the error's outcome tells whether it may
                have been recorded.
        """
        job_id = submission.job_id
        if self._job_registry.get(job_id) is not None:
            self._log.info("job_repeated", job_id=job_id)
            return
        placement = place_job(
            f"{submission.host}/{submission.model}",
            self._runner.owner,
            [heartbeat.owner_id for heartbeat in self._heartbeats.live_zone_peers()],
            stopping=self._runner.stopping,
            view_is_fresh=self._heartbeats.view_is_fresh,
        )
        record = JobRecord(
            job_id=job_id,
            host=submission.host,
            path=submission.path,
            model=submission.model,
            step=submission.step,
            min_version=submission.min_version,
            total=len(submission.items),
            submitted_ms=self._store_ms(),
            owner=placement.owner_id,
            epoch=1,
        )
        started_s = self._clock.monotonic_s()
        try:
            stored = await self._job_store.accept(submission, record, deadline_s - started_s)
        except StoreUnavailable as error:
            self._log.warning(
                "job_not_accepted",
                job_id=job_id,
                reason=error.message,
                may_be_recorded=error.effect_possible,
                took_s=round(self._clock.monotonic_s() - started_s, 3),
            )
            error.outcome = Outcome.MAY_HAVE_RUN if error.effect_possible else Outcome.NOT_RUN
            error.retry_after_s = _RETRY_S
            raise
        self._job_accepted(submission, stored, started_s, placement.reason)

    def _job_accepted(
        self, submission: BatchSubmission, stored: StoredJob, started_s: float, reason: str
    ) -> None:
        self._log.info(
            "job_accepted",
            job_id=submission.job_id,
            owner=stored.record.owner,
            reason=reason,
            items=stored.record.total,
            step=submission.step,
            model=submission.model,
            min_version=submission.min_version,
            desired_groups=submission.desired_groups,
            took_s=round(self._clock.monotonic_s() - started_s, 3),
        )
        self._cache_submission(submission)
        self._job_registry.put(stored)
        if stored.record.owner == self._runner.owner and stored.record.state is JobState.OPEN:
            self._runner.start_job(stored, fresh=stored.record.epoch == 1)

    async def results(self, job_id: str, after: int, wait_s: float) -> ResultsPage:
        """Return results from a position on, waiting up to *wait_s* for the first one.

        Raises:
            UnknownResource: There is no such job.
            StoreUnavailable: The store did not respond.
        """
        ends_at_s = self._clock.monotonic_s() + wait_s
        total = (await self._record(job_id)).total
        while True:
            found = await self._job_store.results(job_id, after, _READ_TIMEOUT_S)
            remaining_s = ends_at_s - self._clock.monotonic_s()
            if found or after >= total or remaining_s <= _MIN_WAIT_S:
                return ResultsPage(total=total, results=found)
            await self._clock.sleep(min(_POLL_S, remaining_s))

    async def body(self, job_id: str, item_id: str) -> bytes:
        """Return the body of an item.

        Raises:
            UnknownResource: There is no such job or item.
            StoreUnavailable: The store did not respond.
        """
        record = await self._record(job_id)
        submission = self._submissions.get(job_id)
        if submission is None:
            submission = await self._job_store.submission(record, _READ_TIMEOUT_S)
            self._cache_submission(submission)
        for item in submission.items:
            if item.item_id == item_id:
                return item.body
        raise UnknownResource(f"job {job_id} has no item {item_id}")

    async def end(self, job_id: str) -> None:
        """End a job; ending it again has no effect.

        Raises:
            UnknownResource: There is no such job.
            StoreUnavailable: The store did not respond; the job may have ended.
        """
        try:
            job = await self._job_store.end(job_id, _READ_TIMEOUT_S)
        except StoreUnavailable as error:
            error.outcome = Outcome.MAY_HAVE_RUN if error.effect_possible else Outcome.NOT_RUN
            raise
        if job is None:
            raise UnknownResource(f"there is no job {job_id}")
        self._log.info("job_ended", job_id=job_id, owner=job.record.owner, version=job.version)
        self._job_registry.put(job)

    async def _record(self, job_id: str) -> JobRecord:
        """Return a job's record, which may be an earlier one of the same job."""
        known = self._job_registry.get(job_id)
        if known is not None:
            return known.record
        job = await self._job_store.job(job_id, _READ_TIMEOUT_S)
        if job is None:
            raise UnknownResource(f"there is no job {job_id}")
        self._job_registry.put(job)
        return job.record

    def _cache_submission(self, submission: BatchSubmission) -> None:
        self._submissions[submission.job_id] = submission
        while len(self._submissions) > _MAX_CACHED_SUBMISSIONS:
            self._submissions.popitem(last=False)
