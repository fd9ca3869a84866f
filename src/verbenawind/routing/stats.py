"""Counts what routing did, for metrics and benches."""

from collections import Counter, deque

from verbenawind.kernel.messages import WorkKind

__all__ = ["RoutingStats"]

_KEPT_WAITS = 100_000


class RoutingStats:
    """Counters of one daemon's dispatcher; waits are the most recent ones, in seconds."""

    __slots__ = (
        "affine_choices",
        "choices",
        "cross_region_bytes",
        "refusals",
        "retries",
        "waits_s",
    )

    def __init__(self) -> None:
        self.choices = 0
        self.affine_choices = 0
        self.cross_region_bytes = 0
        self.retries = 0
        self.refusals: Counter[str] = Counter()
        self.waits_s: dict[WorkKind, deque[float]] = {
            kind: deque(maxlen=_KEPT_WAITS) for kind in WorkKind
        }

    def chose(self, affine: bool) -> None:
        """Count a choice, and whether it was the prefix's first engine."""
        self.choices += 1
        self.affine_choices += affine

    def waited(self, kind: WorkKind, wait_s: float) -> None:
        """Count a turn after a wait in the queue."""
        self.waits_s[kind].append(wait_s)
