"""Loads what an owner needs to start a job or to resume it after another owner."""

from collections.abc import Iterable

import structlog

from verbenawind.batches.item_run import PartialText
from verbenawind.batches.job_rows import KeptText, StoredJob, Tail
from verbenawind.batches.job_store import JobStore
from verbenawind.batches.types import BatchSubmission
from verbenawind.clock import Clock
from verbenawind.errors import StoreUnavailable
from verbenawind.kernel.messages import Value

__all__ = ["JobLoader", "LoadedJob"]

_READ_TIMEOUT_S = 3.0
_RETRY_S = 0.05


class LoadedJob(Value, frozen=True, kw_only=True):
    """A job's stored state.

    Attributes:
        submission: The job as submitted.
        tail: The end of the result list.
        listed: Ids of the items with a listed result, in order.
        kept: Partial text that an earlier owner persisted, by item.
    """

    submission: BatchSubmission
    tail: Tail
    listed: tuple[str, ...]
    kept: dict[str, PartialText]


class JobLoader:
    """Loads jobs, retrying while the store is unavailable.

    Args:
        job_store: Persistent record of jobs.
        clock: Time source.
    """

    __slots__ = ("_clock", "_job_store", "_log")

    def __init__(self, job_store: JobStore, clock: Clock) -> None:
        self._job_store = job_store
        self._clock = clock
        self._log = structlog.get_logger("batches")

    async def load(self, stored: StoredJob, *, fresh: bool) -> LoadedJob:
        """Return a job's stored state; a *fresh* job has neither results nor partial texts."""
        while True:
            try:
                return await self._load(stored, fresh)
            except StoreUnavailable as error:
                self._log.warning(
                    "job_not_loaded", job_id=stored.record.job_id, reason=error.message
                )
                await self._clock.sleep(_RETRY_S)

    async def _load(self, stored: StoredJob, fresh: bool) -> LoadedJob:
        job_id = stored.record.job_id
        submission = await self._job_store.submission(stored.record, _READ_TIMEOUT_S)
        tail = Tail() if fresh else await self._job_store.tail(job_id, _READ_TIMEOUT_S)
        listed = await self._listed_item_ids(job_id, tail.listed)
        kept = [] if fresh else await self._job_store.kept_texts(job_id, _READ_TIMEOUT_S)
        return LoadedJob(
            submission=submission,
            tail=tail,
            listed=tuple(listed),
            kept=_assemble_texts(kept, stored.record.min_version),
        )

    async def _listed_item_ids(self, job_id: str, count: int) -> list[str]:
        """Return the ids of the listed items, in order."""
        listed: list[str] = []
        while len(listed) < count:
            found = await self._job_store.results(job_id, len(listed), _READ_TIMEOUT_S)
            if not found:
                raise StoreUnavailable(
                    f"job {job_id}: only {len(listed)} of {count} results are stored",
                    effect_possible=False,
                )
            listed += [result.item_id for result in found]
        return listed


def _assemble_texts(texts: Iterable[KeptText], min_version: int) -> dict[str, PartialText]:
    """Join persisted pieces to one text per item, each up to its first gap.

    Texts from weights older than *min_version* are left out.
    """
    partial: dict[str, PartialText] = {}
    for text in texts:
        joined = partial.setdefault(text.item_id, PartialText())
        if text.first == len(joined.events):
            joined.extend(text.events, text.last_event, text.last_version)
            joined.versions.update(text.versions)
            joined.complete = text.complete
    return {
        item_id: text
        for item_id, text in partial.items()
        if text.events and text.satisfies(min_version, single_version=False)
    }
