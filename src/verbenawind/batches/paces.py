"""How long engines take for an event, learned from the runs of this daemon."""

from collections.abc import Collection

from verbenawind.clock import Clock

__all__ = ["EnginePaces"]

# Weight of the newest event in an engine's moving average.
_GAIN = 0.25
# A pace without a fresh event halves in this time, so that a slow engine is tried again.
_FORGET_S = 3.0
# Events of a run before its engine's pace counts as known.
_MIN_EVENTS = 3
# Another engine must be this much faster for a run to move there.
_MOVE_FACTOR = 1.8


class _Pace:
    __slots__ = ("at_s", "events", "pace_s")

    def __init__(self) -> None:
        self.pace_s = 0.0
        self.events = 0
        self.at_s = 0.0


class EnginePaces:
    """Moving averages of the time between events.

    Args:
        clock: Time source.
    """

    __slots__ = ("_clock", "_paces")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._paces: dict[str, _Pace] = {}

    def learn(self, instance_id: str, gap_s: float) -> None:
        """Take in the time between two events of one run."""
        pace = self._paces.setdefault(instance_id, _Pace())
        pace.events += 1
        pace.at_s = self._clock.monotonic_s()
        pace.pace_s = gap_s if pace.events == 1 else pace.pace_s + _GAIN * (gap_s - pace.pace_s)

    def pace_s(self, instance_id: str) -> float:
        """Return an engine's usual time for an event, 0 where it is not known."""
        pace = self._paces.get(instance_id)
        if pace is None or pace.events < _MIN_EVENTS:
            return 0.0
        age_s = self._clock.monotonic_s() - pace.at_s
        return float(pace.pace_s * 0.5 ** (age_s / _FORGET_S))

    def should_move(self, instance_id: str, others: Collection[str]) -> bool:
        """Return whether one of the *others* is so much faster that a run should move there."""
        own_s = self.pace_s(instance_id)
        paces = [pace_s for name in others if (pace_s := self._measured_s(name)) > 0]
        return own_s > 0 and bool(paces) and own_s > _MOVE_FACTOR * min(paces)

    def _measured_s(self, instance_id: str) -> float:
        """Return a pace that has not faded, so that an old measurement draws no runs."""
        pace = self._paces.get(instance_id)
        return pace.pace_s if pace is not None and pace.events >= _MIN_EVENTS else 0.0
