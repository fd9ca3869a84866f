"""Decides whether new samples wait for the newest weights; pure."""

from collections.abc import Sequence

import msgspec

from verbenawind.document import EnvironmentDocument
from verbenawind.rollout.staleness import StalenessBound

__all__ = ["FreshStart", "fresh_start"]

_MAX_WAIT_S = 10.0
_READY_SHARE = 0.5


class FreshStart(msgspec.Struct, frozen=True, kw_only=True):
    """Whether to start samples now, and the oldest version that may serve them."""

    start: bool
    min_version: int
    reason: str


def fresh_start(
    bound: StalenessBound,
    active_versions: Sequence[int | None],
    now_s: float,
    document: EnvironmentDocument,
) -> FreshStart:
    """Return whether samples start now.

    Just after a publication most engines still have the old weights; a sample that starts on
    them is a version old from its first token. The more the document weighs staleness, the
    longer it is worth waiting for them.
    """
    oldest = bound.oldest_dispatchable()
    published_at_s = max((entry.published_at_s for entry in bound.history), default=None)
    newest = [version for version in active_versions if (version or 0) >= bound.newest_version]
    if active_versions and len(newest) >= _READY_SHARE * len(active_versions):
        return FreshStart(start=True, min_version=bound.newest_version, reason="engines are new")
    total = document.trainer_idle_weight + document.staleness_weight
    share = document.staleness_weight / total if total > 0.0 else 0.0
    if published_at_s is not None and now_s - published_at_s < share * _MAX_WAIT_S:
        return FreshStart(start=False, min_version=oldest, reason="engines change to new weights")
    return FreshStart(start=True, min_version=oldest, reason="waited long enough for new weights")
