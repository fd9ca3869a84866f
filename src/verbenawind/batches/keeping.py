"""Keeps the text of long runs in the store, so that another daemon can go on with it."""

import structlog

from verbenawind.batches.journal import JobJournal, KeptText
from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable

__all__ = ["TextKeeper"]

_PERIOD_S = 0.5
_TIMEOUT_S = 1.5
# Shorter texts are made again as fast as they are read.
_MIN_EVENTS = 8
_MIN_NEW_EVENTS = 4
_MAX_ROWS = 40


class TextKeeper:
    """Writes what is new of the texts of unfinished items; a write that fails costs only time.

    Args:
        journal: The lasting record.
        clock: Time source.
    """

    __slots__ = ("_clock", "_journal", "_log", "kept")

    def __init__(self, journal: JobJournal, clock: Clock) -> None:
        self._journal = journal
        self._clock = clock
        self._log = structlog.get_logger("batches")
        self.kept = 0

    def is_due(self, job: OwnedJob) -> bool:
        """Return whether a job has text that should be kept now."""
        if job.keeping is not None or self._clock.monotonic_s() - job.kept_at_s < _PERIOD_S:
            return False
        return any(_is_worth_keeping(work, _MIN_NEW_EVENTS) for work in job.work.values())

    async def keep(self, job: OwnedJob, min_new_events: int = _MIN_NEW_EVENTS) -> None:
        """Write the events that are new since the last time, of the longest texts first."""
        works = [work for work in job.work.values() if _is_worth_keeping(work, min_new_events)]
        works.sort(key=lambda work: -len(work.held.events))
        texts = [_new_text(work) for work in works[:_MAX_ROWS]]
        try:
            if not texts:
                return
            count = await self._journal.keep_texts(job.stored, texts, _TIMEOUT_S)
        except (RowConflict, StoreUnavailable) as error:
            # Whether these rows are there is not known, and a gap ends what can be read.
            for work in works[:_MAX_ROWS]:
                work.kept_events = None
            self._log.info("texts_not_kept", job_id=job.job_id, reason=error.message)
        else:
            for work, text in zip(works[:count], texts[:count], strict=True):
                work.kept_events = text.first + len(text.events)
            self.kept += count
        finally:
            job.kept_at_s = self._clock.monotonic_s()
            job.keeping = None


def _is_worth_keeping(work: ItemWork, min_new_events: int) -> bool:
    count = len(work.held.events)
    if work.kept_events is None or count < _MIN_EVENTS:
        return False
    if count < work.kept_events:
        # The text was dropped and begun anew; what is kept of it is of no use.
        work.kept_events = None
        return False
    return count - work.kept_events >= min_new_events


def _new_text(work: ItemWork) -> KeptText:
    first = work.kept_events or 0
    return KeptText(
        item_id=work.item.item_id,
        first=first,
        events=tuple(work.held.events[first:]),
        last_event=work.held.last_event or 0,
        versions=tuple(sorted(work.held.versions)),
        last_version=work.held.last_version or 0,
    )
