"""The state of a job that this daemon runs: unfinished items, partial texts and results."""

import asyncio
from collections import Counter
from collections.abc import Collection, Mapping, Sequence

from verbenawind.batches.item_run import PartialText
from verbenawind.batches.job_rows import KeptText, StoredJob, Tail
from verbenawind.batches.ordering import Rank, rank_items
from verbenawind.batches.types import BatchItem, BatchSubmission, ItemResult

__all__ = ["ItemWork", "OwnedJob"]


class ItemWork:
    """An unfinished item and the state of its runs."""

    __slots__ = (
        "excluded",
        "excluded_as_slow",
        "failures",
        "item",
        "moves",
        "not_before_s",
        "partial",
        "persisted_complete",
        "persisted_events",
        "rank",
        "score_failures",
        "task",
        "text_complete_at_s",
        "was_started",
    )

    def __init__(self, item: BatchItem, rank: Rank, partial: PartialText) -> None:
        self.item = item
        self.rank = rank
        self.partial = partial
        self.failures = 0
        # Number of persisted events; None once the persisted text can no longer be extended.
        self.persisted_events: int | None = 0
        # Whether the persisted text is marked as complete.
        self.persisted_complete = False
        self.text_complete_at_s = 0.0
        # Number of responses with status 500 to the item's scoring call.
        self.score_failures = 0
        self.moves = 0
        self.excluded: set[str] = set()
        # Whether the engine is excluded only because it is slow.
        self.excluded_as_slow = False
        self.not_before_s = 0.0
        self.was_started = False
        self.task: asyncio.Task[None] | None = None


class OwnedJob:
    """A job that this daemon owns.

    Args:
        stored: The job's row under this owner.
        submission: The job as submitted.
        listed: Ids of the items with a listed result, in order.
        tail: The end of the result list.
        partial: Partial text from earlier jobs, by item.
        kept: Partial text that an earlier owner of this job persisted, by item.
        carried_over_groups: Groups that an earlier job left unfinished.
    """

    __slots__ = (
        "_group_of",
        "_unlisted",
        "commit_task",
        "completed",
        "completes_group",
        "finished",
        "finished_since_s",
        "next_write_at_s",
        "stored",
        "submission",
        "tail",
        "unconfirmed_texts",
        "unfinished",
        "write_task",
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
        partial_texts = (partial or {}) | (kept or {})
        self.stored = stored
        self.submission = submission
        self.tail = tail or Tail()
        self.finished: list[ItemResult] = []
        # Whether a finished result that is not listed yet is the last one of its group.
        self.completes_group = False
        # Complete texts of the items that this daemon has finished.
        self.completed: dict[str, PartialText] = {}
        self.finished_since_s = 0.0
        self.commit_task: asyncio.Task[None] | None = None
        self.write_task: asyncio.Task[None] | None = None
        self.next_write_at_s = 0.0
        # Items and texts of a write whose outcome is unknown.
        self.unconfirmed_texts: tuple[tuple[ItemWork, KeptText], ...] = ()
        self.unfinished = {
            item.item_id: ItemWork(
                item, ranks[item.item_id], partial_texts.get(item.item_id, PartialText())
            )
            for item in submission.items
            if item.item_id not in done
        }
        self._group_of = {item.item_id: item.group for item in submission.items}
        self._unlisted = Counter(work.item.group for work in self.unfinished.values())
        for item_id in (kept or {}).keys() & self.unfinished.keys():
            work = self.unfinished[item_id]
            work.persisted_events = len(work.partial.events)
            work.persisted_complete = work.partial.complete

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.stored.record.job_id

    @property
    def waiting(self) -> Sequence[ItemWork]:
        """Items without a complete text that are not running."""
        return [
            work
            for work in self.unfinished.values()
            if work.task is None and not work.partial.complete
        ]

    @property
    def awaiting_score(self) -> Sequence[ItemWork]:
        """Items whose complete text has no score and that have no call in flight."""
        return [
            work for work in self.unfinished.values() if work.task is None and work.partial.complete
        ]

    def unfinished_by_group(self) -> Mapping[str, int]:
        """Return the number of unfinished items of each group."""
        return Counter(work.item.group for work in self.unfinished.values())

    def complete_groups(self, results: Sequence[ItemResult]) -> Sequence[str]:
        """Record that results are listed, and return the groups that they complete."""
        self._unlisted.subtract(self._group_of[result.item_id] for result in results)
        affected = {self._group_of[result.item_id] for result in results}
        return [group for group in sorted(affected) if self._unlisted[group] == 0]

    def finish(self, result: ItemResult, now_s: float) -> None:
        """Remove a finished item and queue its result for listing."""
        self.unfinished.pop(result.item_id, None)
        group = self._group_of[result.item_id]
        if not any(work.item.group == group for work in self.unfinished.values()):
            self.completes_group = True
        if not self.finished:
            self.finished_since_s = now_s
        self.finished.append(result)

    def cancel(self) -> None:
        """Cancel all runs and writes."""
        for work in self.unfinished.values():
            if work.task is not None:
                work.task.cancel()
        for task in (self.commit_task, self.write_task):
            if task is not None:
                task.cancel()
