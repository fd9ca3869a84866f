"""Checks weight versions against the staleness bound. Performs no I/O."""

from collections.abc import Sequence

import msgspec

from verbenawind.document import StalenessSpec
from verbenawind.rollout.records import VersionTime

__all__ = ["StalenessBound"]


class StalenessBound(msgspec.Struct, frozen=True, kw_only=True):
    """The staleness bound at one point in time.

    A version is within the bound if it is at most ``spec.max_versions`` behind
    ``newest_version`` and, where ``spec.max_age_s`` is set, its successor was published at most
    that many seconds before ``now_s``.
    """

    spec: StalenessSpec
    newest_version: int
    history: Sequence[VersionTime]
    now_s: float

    @property
    def oldest_allowed(self) -> int:
        """The oldest version within ``spec.max_versions``, whatever its age."""
        return self.newest_version - self.spec.max_versions

    def allows(self, version: int) -> bool:
        """Return whether a sample whose oldest version is *version* may be delivered now."""
        if version < self.oldest_allowed:
            return False
        if self.spec.max_age_s is None:
            return True
        superseded_at_s = self.superseded_at_s(version)
        return superseded_at_s is None or self.now_s - superseded_at_s <= self.spec.max_age_s

    def superseded_at_s(self, version: int) -> float | None:
        """Return when the first newer version was published, or None if none is known."""
        times = [entry.published_at_s for entry in self.history if entry.version > version]
        return min(times, default=None)

    def oldest_dispatchable(self) -> int:
        """Return the oldest version that a new sample may start with."""
        version = max(0, self.oldest_allowed)
        while version < self.newest_version and not self.allows(version):
            version += 1
        return version
