"""How long engines take for an event, learned from the runs of this daemon."""

from collections import deque
from collections.abc import Collection, Sequence
from statistics import median

from verbenawind.clock import Clock

__all__ = ["EnginePaces", "RunPace"]

# Weight of the newest event in an engine's moving average.
_GAIN = 0.25
# A slow engine that nobody has measured for so long is tried again, with few runs.
_STALE_S = 2.0
_TRIAL_RUNS = 2
# Gaps between events that a run's pace is read from.
_GAPS_KEPT = 5
_GAPS_NEEDED = 4
# Another engine must be this much faster for a run to move there. A run that has already made
# many events will probably make many more, so that a smaller gain pays for the move.
_MOVE_FACTOR = 1.8
_LONG_MOVE_FACTOR = 1.25
_LONG_RUN_EVENTS = 20


class _Pace:
    __slots__ = ("at_s", "events", "pace_s")

    def __init__(self) -> None:
        self.pace_s = 0.0
        self.events = 0
        self.at_s = 0.0


class RunPace:
    """The usual time between the latest events of one run.

    It is a median, so that one long gap, as when an engine changes its weights, says nothing.
    """

    __slots__ = ("_before_s", "_gaps_s")

    def __init__(self) -> None:
        self._before_s: float | None = None
        self._gaps_s: deque[float] = deque(maxlen=_GAPS_KEPT)

    def note(self, now_s: float, events: int) -> None:
        """Take in the arrival of some events at once."""
        if self._before_s is not None and events:
            self._gaps_s.append((now_s - self._before_s) / events)
        self._before_s = now_s

    @property
    def usual_s(self) -> float | None:
        """The usual time of an event, None until enough have arrived."""
        return median(self._gaps_s) if len(self._gaps_s) >= _GAPS_NEEDED else None


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
        """Take in the usual time between the events of one run."""
        pace = self._paces.setdefault(instance_id, _Pace())
        pace.events += 1
        pace.at_s = self._clock.monotonic_s()
        pace.pace_s = gap_s if pace.events == 1 else pace.pace_s + _GAIN * (gap_s - pace.pace_s)

    def pace_s(self, instance_id: str) -> float:
        """Return an engine's usual time for an event, 0 where it is not known lately."""
        pace = self._paces.get(instance_id)
        if pace is None or self._is_stale(pace):
            return 0.0
        return pace.pace_s

    def room(self, instance_id: str, slots: int, others: Collection[str]) -> int:
        """Return how many runs an engine may get: few while it may still be slow."""
        pace = self._paces.get(instance_id)
        if pace is None or not self._is_stale(pace):
            return slots
        return min(slots, _TRIAL_RUNS) if self._is_slow(instance_id, others) else slots

    def faster(self, run: RunPace, others: Collection[str], events: int) -> Sequence[str]:
        """Return those of the *others* that are so much faster that a run should move there.

        Args:
            run: The pace of the run.
            others: Engines.
            events: How many events of the item there are.
        """
        own_s = run.usual_s
        if own_s is None:
            return ()
        factor = _LONG_MOVE_FACTOR if events >= _LONG_RUN_EVENTS else _MOVE_FACTOR
        return self._faster(own_s, others, factor)

    def _is_slow(self, instance_id: str, others: Collection[str]) -> bool:
        return bool(self._faster(self._measured_s(instance_id), others, _MOVE_FACTOR))

    def _faster(self, pace_s: float, others: Collection[str], factor: float) -> Sequence[str]:
        return [name for name in others if 0 < factor * self._measured_s(name) < pace_s]

    def _is_stale(self, pace: _Pace) -> bool:
        return self._clock.monotonic_s() - pace.at_s > _STALE_S

    def _measured_s(self, instance_id: str) -> float:
        """Return the last pace that was measured, however old, 0 where none was."""
        pace = self._paces.get(instance_id)
        return pace.pace_s if pace is not None else 0.0
