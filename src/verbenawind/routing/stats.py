"""Routing counters for metrics and benchmarks."""

from collections import Counter, deque

from verbenawind.kernel.messages import WorkKind

__all__ = ["RoutingStats"]

_MAX_RECENT_WAITS = 100_000


class RoutingStats:
    """Counters of one daemon's dispatcher.

    ``waits_s`` holds the most recent queue waits per kind of work, in seconds.
    """

    __slots__ = (
        "choices",
        "cross_region_bytes",
        "first_preference_choices",
        "refusals",
        "retries",
        "waits_s",
    )

    def __init__(self) -> None:
        self.choices = 0
        self.first_preference_choices = 0
        self.cross_region_bytes = 0
        self.retries = 0
        self.refusals: Counter[str] = Counter()
        self.waits_s: dict[WorkKind, deque[float]] = {
            kind: deque(maxlen=_MAX_RECENT_WAITS) for kind in WorkKind
        }

    def count_choice(self, is_first_preference: bool) -> None:
        """Count an engine choice and whether it was the first preference of the prefix."""
        self.choices += 1
        self.first_preference_choices += is_first_preference

    def count_wait(self, kind: WorkKind, wait_s: float) -> None:
        """Record how long a request waited in the queue before it got a slot."""
        self.waits_s[kind].append(wait_s)
