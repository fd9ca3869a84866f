"""How long engines take for an event, learned from the runs of this daemon."""

from collections.abc import Collection

from verbenawind.clock import Clock

__all__ = ["EnginePaces"]

# Weight of the newest event in an engine's moving average.
_GAIN = 0.25
# A slow engine that nobody has measured for so long is tried again, with few runs.
_STALE_S = 2.0
_TRIAL_RUNS = 2
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
        """Return an engine's usual time for an event, 0 where it is not known lately."""
        pace = self._paces.get(instance_id)
        if pace is None or pace.events < _MIN_EVENTS or self._is_stale(pace):
            return 0.0
        return pace.pace_s

    def room(self, instance_id: str, slots: int, others: Collection[str]) -> int:
        """Return how many runs an engine may get: few while it may still be slow."""
        pace = self._paces.get(instance_id)
        if pace is None or not self._is_stale(pace):
            return slots
        return min(slots, _TRIAL_RUNS) if self._is_slow(instance_id, others) else slots

    def should_move(self, instance_id: str, others: Collection[str]) -> bool:
        """Return whether one of the *others* is so much faster that a run should move there."""
        return self.pace_s(instance_id) > 0 and self._is_slow(instance_id, others)

    def _is_slow(self, instance_id: str, others: Collection[str]) -> bool:
        paces = [pace_s for name in others if (pace_s := self._measured_s(name)) > 0]
        return bool(paces) and self._measured_s(instance_id) > _MOVE_FACTOR * min(paces)

    def _is_stale(self, pace: _Pace) -> bool:
        return self._clock.monotonic_s() - pace.at_s > _STALE_S

    def _measured_s(self, instance_id: str) -> float:
        """Return the last pace that was measured, however old, 0 where none was."""
        pace = self._paces.get(instance_id)
        return pace.pace_s if pace is not None and pace.events >= _MIN_EVENTS else 0.0
