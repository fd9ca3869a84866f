"""The durations that components measure for the metrics."""

from enum import StrEnum
from typing import Protocol

__all__ = ["Timing", "Timings"]


class Timing(StrEnum):
    """A measured quantity, in seconds except for the ratio."""

    ITEM_WAIT = "item_wait_seconds"
    ITEM_SCORE = "item_score_seconds"
    RESULT_LISTING = "result_listing_seconds"
    GROUP_COMPLETION = "group_completion_seconds"
    GROUP_DEADLINE = "group_completion_deadline_ratio"
    ENGINE_LOAD = "engine_load_seconds"
    STORE_CALL = "store_call_seconds"


class Timings(Protocol):
    """Port that records measured durations."""

    def observe(self, timing: Timing, value: float) -> None:
        """Record a duration or ratio."""
