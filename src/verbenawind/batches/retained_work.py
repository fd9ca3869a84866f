"""Retains texts and group names of dropped jobs, for later jobs that submit the same items again.

A trainer submits a group again if it had not read all of its results when it ended the step, even
if all of them were listed just then. Generating its texts again takes up to a whole step.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable

from verbenawind.batches.item_run import PartialText
from verbenawind.batches.owned_job import OwnedJob
from verbenawind.batches.types import BatchItem

__all__ = ["RetainedWork"]

# The oldest texts beyond this size are evicted; hosts may have as little as 128 MB of memory.
_MAX_TEXT_BYTES = 4 * 1024 * 1024
_MAX_GROUPS = 2000


class RetainedWork:
    """Texts by item, complete or not, and the names of groups that were not finished."""

    __slots__ = ("_groups", "_size_bytes", "_texts")

    def __init__(self) -> None:
        self._texts: OrderedDict[str, PartialText] = OrderedDict()
        self._groups: OrderedDict[str, None] = OrderedDict()
        self._size_bytes = 0

    def add(self, job: OwnedJob) -> None:
        """Add the texts of a job that this daemon no longer runs."""
        for item_id, text in job.completed.items():
            self._put(item_id, text)
        for work in job.unfinished.values():
            self._groups[work.item.group] = None
            if work.partial.last_event is not None:
                self._put(work.item.item_id, work.partial)
        while self._size_bytes > _MAX_TEXT_BYTES:
            _, text = self._texts.popitem(last=False)
            self._size_bytes -= text.size_bytes
        while len(self._groups) > _MAX_GROUPS:
            self._groups.popitem(last=False)

    def pop_texts(self, items: Iterable[BatchItem], min_version: int) -> dict[str, PartialText]:
        """Remove and return the texts of these items whose weights are new enough."""
        return {
            item.item_id: self._pop(item.item_id)
            for item in items
            if item.item_id in self._texts
            and self._texts[item.item_id].satisfies(min_version, single_version=False)
        }

    def groups_submitted_again(self, items: Collection[BatchItem]) -> set[str]:
        """Return the groups of these items that an earlier job had."""
        return {
            item.group
            for item in items
            if item.group in self._groups or item.item_id in self._texts
        }

    def _put(self, item_id: str, text: PartialText) -> None:
        if item_id in self._texts:
            self._pop(item_id)
        self._texts[item_id] = text
        self._size_bytes += text.size_bytes

    def _pop(self, item_id: str) -> PartialText:
        text = self._texts.pop(item_id)
        self._size_bytes -= text.size_bytes
        return text
