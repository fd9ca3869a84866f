"""Keeps the text of long runs in the store, so that another daemon can go on with it."""

import structlog

from verbenawind.batches.journal import JobJournal, KeptText
from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable

__all__ = ["TextKeeper"]

_PERIOD_S = 0.5
_TIMEOUT_S = 1.5
# The store may be lost again soon after its return, and hosts with it.
_RETRY_S = 0.1
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

    __slots__ = ("_clock", "_journal", "_log")

    def __init__(self, journal: JobJournal, clock: Clock) -> None:
        self._journal = journal
        self._clock = clock
        self._log = structlog.get_logger("batches")

    def is_due(self, job: OwnedJob) -> bool:
        """Return whether a job has text that should be kept now."""
        if job.keeping is not None or self._clock.monotonic_s() < job.keep_at_s:
            return False
        return bool(job.unsure_texts) or any(
            _is_worth_keeping(work, _MIN_NEW_EVENTS) for work in job.work.values()
        )

    async def keep(self, job: OwnedJob, min_new_events: int = _MIN_NEW_EVENTS) -> None:
        """Write the events that are new since the last time, of the longest texts first.

        Rows whose fate is open are written again as they were before anything else is.
        """
        texts, pause_s = job.unsure_texts, _PERIOD_S
        if not texts:
            works = [work for work in job.work.values() if _is_worth_keeping(work, min_new_events)]
            works.sort(key=lambda work: -len(work.partial.events))
            texts = tuple((work, _new_text(work)) for work in works[:_MAX_ROWS])
        try:
            if not texts:
                return
            count = await self._journal.keep_texts(
                job.stored,
                [text for _, text in texts],
                _TIMEOUT_S,
                repeated=bool(job.unsure_texts),
            )
        except StoreUnavailable as error:
            pause_s = _RETRY_S
            if error.effect_possible:
                job.unsure_texts = texts
            self._log.info("texts_not_kept", job_id=job.job_id, reason=error.message)
        except RowConflict as conflict:
            # Other rows are there, and a gap ends what can be read.
            for work, _ in texts:
                work.kept_events = None
            job.unsure_texts = ()
            self._log.info("texts_not_kept", job_id=job.job_id, reason=conflict.message)
        else:
            for work, text in texts[:count]:
                work.kept_events = text.first + len(text.events)
            job.unsure_texts = ()
        finally:
            job.keep_at_s = self._clock.monotonic_s() + pause_s
            job.keeping = None


def _is_worth_keeping(work: ItemWork, min_new_events: int) -> bool:
    count = len(work.partial.events)
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
        events=tuple(work.partial.events[first:]),
        last_event=work.partial.last_event or 0,
        versions=tuple(sorted(work.partial.versions)),
        last_version=work.partial.last_version or 0,
    )
