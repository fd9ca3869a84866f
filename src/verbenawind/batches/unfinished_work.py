"""Retains unfinished items and groups of dropped jobs, for later jobs that submit them again."""

from collections import OrderedDict
from collections.abc import Collection, Iterable

from verbenawind.batches.item_run import PartialText
from verbenawind.batches.owned_job import ItemWork
from verbenawind.batches.types import BatchItem

__all__ = ["UnfinishedWork"]

_MAX_TEXTS = 2000
_MAX_GROUPS = 2000


class UnfinishedWork:
    """Partial texts by item and the names of unfinished groups; the oldest are evicted."""

    __slots__ = ("_groups", "_texts")

    def __init__(self) -> None:
        self._texts: OrderedDict[str, PartialText] = OrderedDict()
        self._groups: OrderedDict[str, None] = OrderedDict()

    def add(self, works: Iterable[ItemWork]) -> None:
        """Add the unfinished items of a job that this daemon no longer runs."""
        for work in works:
            self._groups[work.item.group] = None
            if work.partial.last_event is not None:
                self._texts[work.item.item_id] = work.partial
        while len(self._texts) > _MAX_TEXTS:
            self._texts.popitem(last=False)
        while len(self._groups) > _MAX_GROUPS:
            self._groups.popitem(last=False)

    def pop_texts(self, items: Iterable[BatchItem], min_version: int) -> dict[str, PartialText]:
        """Remove and return the partial texts of these items whose weights are new enough."""
        return {
            item.item_id: self._texts.pop(item.item_id)
            for item in items
            if item.item_id in self._texts
            and self._texts[item.item_id].satisfies(min_version, single_version=False)
        }

    def unfinished_groups(self, groups: Collection[str]) -> set[str]:
        """Return those of the groups that an earlier job left unfinished."""
        return {group for group in groups if group in self._groups}

    def discard_text(self, item_id: str) -> None:
        """Discard the partial text of an item, once it is finished."""
        self._texts.pop(item_id, None)
