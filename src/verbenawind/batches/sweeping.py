"""Deletes jobs from the store after their retention period."""

from collections.abc import Callable

import structlog

from verbenawind.batches.job_registry import JobRegistry, KnownJob
from verbenawind.batches.job_store import JobStore
from verbenawind.batches.types import JobState
from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable

__all__ = ["JobSweeper"]

_SWEEP_PERIOD_S = 5.0
_TIMEOUT_S = 3.0
# Jobs are deleted this long after the period in which callers may read them.
_RETENTION_MARGIN_S = 60.0


class JobSweeper:
    """Deletes expired closed jobs.

    Rendezvous hashing over the live daemons assigns each job to one of them.

    Args:
        job_registry: Known jobs.
        job_store: Persistent record of jobs.
        is_assigned: Returns whether a job is assigned to this daemon.
        store_ms: Returns the store's time.
        retention_s: How long a job may be read after its submission.
        clock: Time source.
    """

    __slots__ = (
        "_clock",
        "_is_mine",
        "_job_registry",
        "_job_store",
        "_log",
        "_retention_s",
        "_store_ms",
    )

    def __init__(
        self,
        job_registry: JobRegistry,
        job_store: JobStore,
        *,
        is_assigned: Callable[[str], bool],
        store_ms: Callable[[], int],
        retention_s: float,
        clock: Clock,
    ) -> None:
        self._job_registry = job_registry
        self._job_store = job_store
        self._is_mine = is_assigned
        self._store_ms = store_ms
        self._retention_s = retention_s
        self._clock = clock
        self._log = structlog.get_logger("batches")

    async def run(self) -> None:
        """Delete expired jobs until cancelled."""
        while True:
            await self._clock.sleep(_SWEEP_PERIOD_S)
            for known in self._job_registry.closed_jobs():
                if self._is_expired(known) and self._is_mine(known.record.job_id):
                    await self._sweep(known)

    def _is_expired(self, known: KnownJob) -> bool:
        age_s = known.record.age_s(self._store_ms())
        return (
            known.record.state is not JobState.OPEN
            and age_s > self._retention_s + _RETENTION_MARGIN_S
        )

    async def _sweep(self, known: KnownJob) -> None:
        job_id = known.record.job_id
        try:
            await self._job_store.remove(known.job, _TIMEOUT_S)
        except (RowConflict, StoreUnavailable) as error:
            self._log.info("job_not_swept", job_id=job_id, reason=error.message)
        else:
            self._job_registry.remove(job_id)
            self._log.info("job_swept", job_id=job_id, state=known.record.state.value)
