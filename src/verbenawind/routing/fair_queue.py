"""A queue that shares service among callers by weight, using start-time fair queueing."""

import heapq
import itertools
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

T = TypeVar("T")


class _Flow:
    """The scheduling state of one caller."""

    __slots__ = ("finish", "queued", "weight")

    def __init__(self) -> None:
        self.finish = 0.0
        self.queued = 0
        self.weight = 1.0


class FairQueue(Generic[T]):
    """Orders items by virtual finish time, so that each caller gets its weighted share."""

    __slots__ = ("_flows", "_heap", "_removed", "_sequence", "_virtual_time")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, str, T]] = []
        self._flows: dict[str, _Flow] = {}
        self._removed: set[int] = set()
        self._sequence = itertools.count()
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._heap) - len(self._removed)

    def push(self, item: T, *, caller: str, weight: float, cost: float = 1.0) -> int:
        """Add an item and return the number that identifies it to ``remove``."""
        flow = self._flows.setdefault(caller, _Flow())
        flow.weight = weight
        flow.queued += 1
        flow.finish = max(self._virtual_time, flow.finish) + cost / weight
        number = next(self._sequence)
        heapq.heappush(self._heap, (flow.finish, number, caller, item))
        return number

    def peek(self) -> tuple[float, T] | None:
        """Return the next item's virtual finish time and the item, or None if empty."""
        self._discard_removed()
        return (self._heap[0][0], self._heap[0][3]) if self._heap else None

    def pop(self) -> T:
        """Remove and return the next item; raises IndexError if empty."""
        self._discard_removed()
        finish, _, caller, item = heapq.heappop(self._heap)
        self._virtual_time = max(self._virtual_time, finish)
        self._count_departure(caller)
        return item

    def remove(self, number: int, caller: str) -> None:
        """Remove an item that is still queued."""
        self._removed.add(number)
        self._count_departure(caller)

    def estimate_ahead(self, caller: str, weight: float) -> float:
        """Estimate how many queued items would be served before a new item of *caller*."""
        flow = self._flows.get(caller)
        own = flow.queued if flow else 0
        others = sum(
            min(float(other.queued), (own + 1) * other.weight / weight)
            for other in self._flows.values()
            if other is not flow
        )
        return own + others

    def _count_departure(self, caller: str) -> None:
        flow = self._flows[caller]
        flow.queued -= 1
        if len(self) == 0:
            self._heap.clear()
            self._removed.clear()
            self._flows.clear()

    def _discard_removed(self) -> None:
        while self._heap and self._heap[0][1] in self._removed:
            _, number, _, _ = heapq.heappop(self._heap)
            self._removed.discard(number)
