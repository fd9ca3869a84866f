"""What callers ask of batch jobs: submit, read results, read a body, end."""

from collections import OrderedDict
from collections.abc import Callable

import structlog

from verbenawind.batches.book import JobBook
from verbenawind.batches.journal import JobJournal, StoredJob
from verbenawind.batches.placement import place_job
from verbenawind.batches.runner import BatchRunner
from verbenawind.batches.types import BatchSubmission, JobRecord, JobState, ResultsPage
from verbenawind.clock import Clock
from verbenawind.errors import Outcome, StoreUnavailable, UnknownResource
from verbenawind.state.beats import HostBeats

__all__ = ["BatchJobs"]

# How long the store may take for one call of a reader.
_READ_TIMEOUT_S = 2.0
# A reader that waits for a result looks this often.
_POLL_S = 0.2
# Shorter waits are over already.
_LEAST_WAIT_S = 0.001
_RETRY_S = 0.5
# Submissions that are kept decoded for reads of bodies, and their size.
_MAX_KEPT_JOBS = 8


class BatchJobs:
    """Answers callers; any daemon answers for any job.

    Args:
        journal: The lasting record.
        book: Every job that is known.
        runner: Runs the jobs that are placed here.
        beats: Who else may run jobs.
        store_ms: The store's clock.
        clock: Time source.
    """

    __slots__ = ("_beats", "_book", "_clock", "_journal", "_kept", "_log", "_runner", "_store_ms")

    def __init__(
        self,
        journal: JobJournal,
        book: JobBook,
        runner: BatchRunner,
        beats: HostBeats,
        store_ms: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._beats = beats
        self._journal = journal
        self._book = book
        self._runner = runner
        self._store_ms = store_ms
        self._clock = clock
        self._kept: OrderedDict[str, BatchSubmission] = OrderedDict()
        self._log = structlog.get_logger("batches")

    async def submit(self, submission: BatchSubmission, deadline_s: float) -> None:
        """Accept a job durably; a repeat of an accepted one changes nothing.

        Args:
            submission: The job.
            deadline_s: Monotonic time until which the caller waits.

        Raises:
            StoreUnavailable: It was not accepted; its outcome says whether it may still be.
        """
        job_id = submission.job_id
        if self._book.get(job_id) is not None:
            self._log.info("job_repeated", job_id=job_id)
            return
        place = place_job(
            f"{submission.host}/{submission.model}",
            self._runner.owner,
            [beat.owner_id for beat in self._beats.neighbours()],
            stopping=self._runner.stopping,
            view_is_fresh=self._beats.view_is_fresh,
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
            owner=place.owner_id,
            epoch=1,
        )
        started_s = self._clock.monotonic_s()
        try:
            stored = await self._journal.accept(submission, record, deadline_s - started_s)
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
        self._accepted(submission, stored, started_s, place.reason)

    def _accepted(
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
        self._keep(submission)
        self._book.learn(stored)
        if stored.record.owner == self._runner.owner and stored.record.state is JobState.OPEN:
            self._runner.take(stored, fresh=stored.record.epoch == 1)

    async def results(self, job_id: str, after: int, wait_s: float) -> ResultsPage:
        """Return results from a position on, waiting for a first one.

        Raises:
            UnknownResource: There is no such job.
            StoreUnavailable: The store did not answer.
        """
        ends_at_s = self._clock.monotonic_s() + wait_s
        total = await self._total(job_id)
        while True:
            found = await self._journal.results(job_id, after, _READ_TIMEOUT_S)
            left_s = ends_at_s - self._clock.monotonic_s()
            if found or after >= total or left_s <= _LEAST_WAIT_S:
                return ResultsPage(total=total, results=found)
            await self._clock.sleep(min(_POLL_S, left_s))

    async def body(self, job_id: str, item_id: str) -> bytes:
        """Return the body of an item.

        Raises:
            UnknownResource: There is no such job or item.
            StoreUnavailable: The store did not answer.
        """
        await self._total(job_id)
        submission = self._kept.get(job_id)
        if submission is None:
            submission = await self._journal.submission(job_id, _READ_TIMEOUT_S)
            self._keep(submission)
        for item in submission.items:
            if item.item_id == item_id:
                return item.body
        raise UnknownResource(f"job {job_id} has no item {item_id}")

    async def end(self, job_id: str) -> None:
        """End a job; ending it again changes nothing.

        Raises:
            UnknownResource: There is no such job.
            StoreUnavailable: The store did not answer; the job may have ended.
        """
        job = await self._journal.end(job_id, _READ_TIMEOUT_S)
        if job is None:
            raise UnknownResource(f"there is no job {job_id}")
        self._log.info("job_ended", job_id=job_id, owner=job.record.owner, version=job.version)
        self._book.learn(job)

    async def _total(self, job_id: str) -> int:
        """Return how many items a job has."""
        known = self._book.get(job_id)
        if known is not None:
            return known.record.total
        job = await self._journal.job(job_id, _READ_TIMEOUT_S)
        if job is None:
            raise UnknownResource(f"there is no job {job_id}")
        self._book.learn(job)
        return job.record.total

    def _keep(self, submission: BatchSubmission) -> None:
        self._kept[submission.job_id] = submission
        while len(self._kept) > _MAX_KEPT_JOBS:
            self._kept.popitem(last=False)
