"""How many free slots of a pool rollouts leave to application callers."""

import math

__all__ = ["ApplicationReserve"]

_DECAY_S = 30.0
_GROWTH = 1.25


class ApplicationReserve:
    """Keeps free what applications are likely to need, at most their share of the pool.

    The likely need is a little above the recent peak of application requests; the peak decays,
    so that rollouts get all that applications leave.

    Args:
        now_s: Monotonic time, in seconds.
    """

    __slots__ = ("_at_s", "_peak")

    def __init__(self, now_s: float) -> None:
        self._peak = 0.0
        self._at_s = now_s

    def headroom(
        self, *, fraction: float, slots: int, in_use: int, wanted: int, now_s: float
    ) -> int:
        """Return how many slots must stay free of new rollout work.

        Args:
            fraction: The applications' share of the pool.
            slots: The pool's slots.
            in_use: Slots that applications hold.
            wanted: Application requests in flight and waiting.
            now_s: Monotonic time, in seconds.
        """
        decayed = self._peak * math.exp((self._at_s - now_s) / _DECAY_S)
        self._peak = max(float(wanted), decayed)
        self._at_s = now_s
        likely = math.ceil(self._peak * _GROWTH) + 1
        return max(0, min(int(fraction * slots), likely) - in_use)
