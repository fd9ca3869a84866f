"""What jobs leave unfinished at this daemon, for later jobs with the same items or groups."""

from collections import OrderedDict
from collections.abc import Collection, Iterable

from verbenawind.batches.item_run import HeldText
from verbenawind.batches.owned_job import ItemWork
from verbenawind.batches.types import BatchItem

__all__ = ["Leftovers"]

_MAX_TEXTS = 2000
_MAX_GROUPS = 2000


class Leftovers:
    """Texts of unfinished items and unfinished groups, the latest of each."""

    __slots__ = ("_groups", "_texts")

    def __init__(self) -> None:
        self._texts: OrderedDict[str, HeldText] = OrderedDict()
        self._groups: OrderedDict[str, None] = OrderedDict()

    def keep(self, works: Iterable[ItemWork]) -> None:
        """Take in the unfinished items of a job that ends."""
        for work in works:
            self._groups[work.item.group] = None
            if work.held.last_event is not None:
                self._texts[work.item.item_id] = work.held
        while len(self._texts) > _MAX_TEXTS:
            self._texts.popitem(last=False)
        while len(self._groups) > _MAX_GROUPS:
            self._groups.popitem(last=False)

    def take_texts(self, items: Iterable[BatchItem], min_version: int) -> dict[str, HeldText]:
        """Hand out what is held of these items, where its weights fit."""
        return {
            item.item_id: self._texts.pop(item.item_id)
            for item in items
            if item.item_id in self._texts
            and self._texts[item.item_id].fits(min_version, single_version=False)
        }

    def unfinished(self, groups: Collection[str]) -> set[str]:
        """Return which of the groups an earlier job left unfinished."""
        return {group for group in groups if group in self._groups}

    def finished(self, item_id: str) -> None:
        """Drop the text of an item that is finished."""
        self._texts.pop(item_id, None)
