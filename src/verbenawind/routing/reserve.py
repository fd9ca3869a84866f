"""Reserves slots of a pool for application requests while rollouts use the rest."""

import math

__all__ = ["ApplicationReserve"]

_DECAY_S = 30.0
_PEAK_MARGIN = 1.25


class ApplicationReserve:
    """Keeps the slots free that applications are expected to need, up to their share of the pool.

    The expected need is slightly above the recent peak of application requests. The peak decays
    over time, so that rollouts can use every slot that applications leave idle.

    Args:
        now_s: Monotonic time, in seconds.
    """

    __slots__ = ("_peak", "_updated_at_s")

    def __init__(self, now_s: float) -> None:
        self._peak = 0.0
        self._updated_at_s = now_s

    def headroom(
        self, *, fraction: float, slots: int, in_use: int, demand: int, now_s: float
    ) -> int:
        """Return how many free slots new rollout requests must not use.

        Args:
            fraction: The applications' share of the pool.
            slots: Number of slots in the pool.
            in_use: Slots in use by application requests.
            demand: Application requests in flight and queued.
            now_s: Monotonic time, in seconds.
        """
        decayed = self._peak * math.exp((self._updated_at_s - now_s) / _DECAY_S)
        self._peak = max(float(demand), decayed)
        self._updated_at_s = now_s
        expected_need = math.ceil(self._peak * _PEAK_MARGIN) + 1
        return max(0, min(int(fraction * slots), expected_need) - in_use)
