"""Persists the partial text of long items, so that another daemon can resume them."""

import structlog

from verbenawind.batches.job_rows import KeptText
from verbenawind.batches.job_store import JobStore
from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable

__all__ = ["PartialTextWriter"]

_WRITE_PERIOD_S = 0.5
_WRITE_TIMEOUT_S = 1.5
# Short, because the store may fail again soon after it recovers, and hosts along with it.
_RETRY_S = 0.1
# Regenerating a shorter text takes no longer than reading it from the store.
_MIN_EVENTS = 8
_MIN_NEW_EVENTS = 4
_MAX_ROWS = 40


class PartialTextWriter:
    """Writes the new events of unfinished items to the store.

    A failed write loses no results: at worst the next owner generates more of a text again.

    Args:
        job_store: Persistent record of jobs.
        clock: Time source.
    """

    __slots__ = ("_clock", "_job_store", "_log")

    def __init__(self, job_store: JobStore, clock: Clock) -> None:
        self._job_store = job_store
        self._clock = clock
        self._log = structlog.get_logger("batches")

    def is_due(self, job: OwnedJob) -> bool:
        """Return whether a job has partial text that should be written now."""
        if job.write_task is not None or self._clock.monotonic_s() < job.next_write_at_s:
            return False
        return bool(job.unconfirmed_texts) or any(
            _needs_writing(work, _MIN_NEW_EVENTS) for work in job.unfinished.values()
        )

    async def write(self, job: OwnedJob, min_new_events: int = _MIN_NEW_EVENTS) -> None:
        """Write the events that are not persisted yet, those of the longest texts first.

        If the outcome of the previous write is unknown, the same rows are written again before
        anything else.
        """
        texts, pause_s = job.unconfirmed_texts, _WRITE_PERIOD_S
        if not texts:
            works = [
                work for work in job.unfinished.values() if _needs_writing(work, min_new_events)
            ]
            works.sort(key=lambda work: -len(work.partial.events))
            texts = tuple((work, _new_text(work)) for work in works[:_MAX_ROWS])
        try:
            if not texts:
                return
            count = await self._job_store.keep_texts(
                job.stored,
                [text for _, text in texts],
                _WRITE_TIMEOUT_S,
                repeated=bool(job.unconfirmed_texts),
            )
        except StoreUnavailable as error:
            pause_s = _RETRY_S
            if error.effect_possible:
                job.unconfirmed_texts = texts
            self._log.info("texts_not_kept", job_id=job.job_id, reason=error.message)
        except RowConflict as conflict:
            # The store has other rows for these texts. Later rows could leave a gap, and readers
            # stop at the first gap.
            for work, _ in texts:
                work.persisted_events = None
            job.unconfirmed_texts = ()
            self._log.info("texts_not_kept", job_id=job.job_id, reason=conflict.message)
        else:
            for work, text in texts[:count]:
                work.persisted_events = text.first + len(text.events)
                work.persisted_complete = text.complete
            job.unconfirmed_texts = ()
        finally:
            job.next_write_at_s = self._clock.monotonic_s() + pause_s
            job.write_task = None


def _needs_writing(work: ItemWork, min_new_events: int) -> bool:
    count = len(work.partial.events)
    if work.persisted_events is None:
        return False
    if work.partial.complete:
        # The score may take long, and only the generation of the text is expensive.
        return not work.persisted_complete
    if count < _MIN_EVENTS:
        return False
    if count < work.persisted_events:
        # The text was discarded and restarted, so the persisted part no longer belongs to it.
        work.persisted_events = None
        return False
    return count - work.persisted_events >= min_new_events


def _new_text(work: ItemWork) -> KeptText:
    first = work.persisted_events or 0
    return KeptText(
        item_id=work.item.item_id,
        first=first,
        events=tuple(work.partial.events[first:]),
        last_event=work.partial.last_event or 0,
        versions=tuple(sorted(work.partial.versions)),
        last_version=work.partial.last_version or 0,
        complete=work.partial.complete,
    )
