"""A job that this daemon runs: what is listed, what is held, and what is still to do."""

import asyncio
from collections import Counter
from collections.abc import Collection, Sequence

from verbenawind.batches.item_run import PartialText
from verbenawind.batches.journal import KeptText, StoredJob, Tail
from verbenawind.batches.ordering import Rank, rank_items
from verbenawind.batches.types import BatchItem, BatchSubmission, ItemResult

__all__ = ["ItemWork", "OwnedJob"]


class ItemWork:
    """An item that is not finished."""

    __slots__ = (
        "excluded",
        "excluded_as_slow",
        "failures",
        "item",
        "kept_events",
        "moves",
        "not_before_s",
        "partial",
        "rank",
        "task",
        "was_started",
    )

    def __init__(self, item: BatchItem, rank: Rank, partial: PartialText) -> None:
        self.item = item
        self.rank = rank
        self.partial = partial
        self.failures = 0
        # How many events of the text the store has; None once that is not known.
        self.kept_events: int | None = 0
        self.moves = 0
        self.excluded: set[str] = set()
        # Whether the excluded engine works and is only slow.
        self.excluded_as_slow = False
        self.not_before_s = 0.0
        self.was_started = False
        self.task: asyncio.Task[None] | None = None


class OwnedJob:
    """One owned job.

    Args:
        stored: The job's row under this owner.
        submission: The job as it was submitted.
        listed: Ids of the items that are listed, in order.
        tail: Where the next results go.
        held: Text of unfinished items from earlier jobs, by item.
        kept: Text of unfinished items that an earlier owner of this job kept, by item.
        returning_groups: Groups that an earlier job left unfinished.
    """

    __slots__ = (
        "_group_of",
        "_unlisted",
        "committing",
        "finished",
        "finished_since_s",
        "keep_at_s",
        "keeping",
        "stored",
        "submission",
        "tail",
        "unsure_texts",
        "work",
    )

    def __init__(
        self,
        stored: StoredJob,
        submission: BatchSubmission,
        *,
        listed: Sequence[str] = (),
        tail: Tail | None = None,
        partial: dict[str, PartialText] | None = None,
        kept: dict[str, PartialText] | None = None,
        carried_over_groups: Collection[str] = (),
    ) -> None:
        ranks = rank_items(submission, carried_over_groups)
        done = set(listed)
        texts = (partial or {}) | (kept or {})
        self.stored = stored
        self.submission = submission
        self.tail = tail or Tail()
        self.finished: list[ItemResult] = []
        self.finished_since_s = 0.0
        self.committing: asyncio.Task[None] | None = None
        self.keeping: asyncio.Task[None] | None = None
        self.keep_at_s = 0.0
        # Texts that were sent to the store without an answer, with their items.
        self.unsure_texts: tuple[tuple[ItemWork, KeptText], ...] = ()
        self.work = {
            item.item_id: ItemWork(
                item, ranks[item.item_id], texts.get(item.item_id, PartialText())
            )
            for item in submission.items
            if item.item_id not in done
        }
        self._group_of = {item.item_id: item.group for item in submission.items}
        self._unlisted = Counter(work.item.group for work in self.work.values())
        for item_id in (kept or {}).keys() & self.work.keys():
            self.work[item_id].kept_events = len(self.work[item_id].partial.events)

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.stored.record.job_id

    @property
    def waiting(self) -> Sequence[ItemWork]:
        """Items that run nowhere."""
        return [work for work in self.work.values() if work.task is None]

    def complete_groups(self, results: Sequence[ItemResult]) -> Sequence[str]:
        """Take in results that are listed now, and return the groups that they complete."""
        self._unlisted.subtract(self._group_of[result.item_id] for result in results)
        touched = {self._group_of[result.item_id] for result in results}
        return [group for group in sorted(touched) if self._unlisted[group] == 0]

    def finish(self, result: ItemResult, now_s: float) -> None:
        """Take an item out of the work; its result waits to be listed."""
        self.work.pop(result.item_id, None)
        if not self.finished:
            self.finished_since_s = now_s
        self.finished.append(result)

    def cancel(self) -> None:
        """Stop every run."""
        for work in self.work.values():
            if work.task is not None:
                work.task.cancel()
        for task in (self.committing, self.keeping):
            if task is not None:
                task.cancel()
