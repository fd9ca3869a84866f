"""Decides whether to delay new samples until engines load new weights. Performs no I/O."""

from collections.abc import Sequence

import msgspec

from verbenawind.document import EnvironmentDocument
from verbenawind.rollout.staleness import StalenessBound

__all__ = ["StartDecision", "decide_start"]

_MAX_WAIT_S = 10.0
_READY_FRACTION = 0.5


class StartDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether to start samples now, and the oldest version that may generate them."""

    start: bool
    min_version: int
    reason: str


def decide_start(
    bound: StalenessBound,
    active_versions: Sequence[int | None],
    now_s: float,
    document: EnvironmentDocument,
) -> StartDecision:
    """Decide whether samples start now.

    Just after a publication most engines still serve the old weights, and a sample that starts
    on them is one version behind from its first token. The longest wait for the new weights is
    proportional to the relative weight of staleness in the document.
    """
    oldest = bound.oldest_dispatchable()
    published_at_s = max((entry.published_at_s for entry in bound.history), default=None)
    up_to_date = [version for version in active_versions if (version or 0) >= bound.newest_version]
    if active_versions and len(up_to_date) >= _READY_FRACTION * len(active_versions):
        return StartDecision(
            start=True,
            min_version=bound.newest_version,
            reason="enough engines serve the newest version",
        )
    total = document.trainer_idle_weight + document.staleness_weight
    fraction = document.staleness_weight / total if total > 0.0 else 0.0
    if published_at_s is not None and now_s - published_at_s < fraction * _MAX_WAIT_S:
        return StartDecision(
            start=False, min_version=oldest, reason="engines are loading the newest version"
        )
    return StartDecision(
        start=True, min_version=oldest, reason="no further wait for the newest version"
    )
