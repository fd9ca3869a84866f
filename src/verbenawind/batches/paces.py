"""Estimates the pace of engines (time between two events of a stream) from this daemon's runs."""

from collections import deque
from collections.abc import Collection, Sequence
from statistics import median

from verbenawind.clock import Clock

__all__ = ["EnginePaces", "RunPace"]

# Weight of the newest sample in an engine's exponential moving average.
_SMOOTHING = 0.25
# A slow engine without a sample for this long is tried again with at most _TRIAL_RUNS runs.
_MEASUREMENT_TTL_S = 2.0
_TRIAL_RUNS = 2
# Number of gaps between events from which a run's pace is computed.
_MAX_GAPS = 5
_MIN_GAPS = 4
# A run moves only to an engine that is faster by this factor. A run that has already produced many
# events will probably produce many more, so a smaller gain outweighs the cost of the move.
_MOVE_FACTOR = 1.8
_LONG_MOVE_FACTOR = 1.25
_LONG_RUN_EVENTS = 20


class _Pace:
    __slots__ = ("events", "measured_at_s", "pace_s")

    def __init__(self) -> None:
        self.pace_s = 0.0
        self.events = 0
        self.measured_at_s = 0.0


class RunPace:
    """The median time between the latest events of one run.

    The median ignores a single long gap, such as the one while an engine swaps its weights.
    """

    __slots__ = ("_gaps_s", "_last_event_at_s")

    def __init__(self) -> None:
        self._last_event_at_s: float | None = None
        self._gaps_s: deque[float] = deque(maxlen=_MAX_GAPS)

    def add_events(self, now_s: float, events: int) -> None:
        """Record the arrival of a number of events at the same time."""
        if self._last_event_at_s is not None and events:
            self._gaps_s.append((now_s - self._last_event_at_s) / events)
        self._last_event_at_s = now_s

    @property
    def median_s(self) -> float | None:
        """The median time per event, None until enough events have arrived."""
        return median(self._gaps_s) if len(self._gaps_s) >= _MIN_GAPS else None


class EnginePaces:
    """Moving averages of the time between events, by engine.

    Args:
        clock: Time source.
    """

    __slots__ = ("_clock", "_paces")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._paces: dict[str, _Pace] = {}

    def observe(self, instance_id: str, gap_s: float) -> None:
        """Add the median time between events of one run as a sample."""
        pace = self._paces.setdefault(instance_id, _Pace())
        pace.events += 1
        pace.measured_at_s = self._clock.monotonic_s()
        pace.pace_s = (
            gap_s if pace.events == 1 else pace.pace_s + _SMOOTHING * (gap_s - pace.pace_s)
        )

    def pace_s(self, instance_id: str) -> float:
        """Return an engine's time per event, 0 if it has no recent sample."""
        pace = self._paces.get(instance_id)
        if pace is None or self._is_stale(pace):
            return 0.0
        return pace.pace_s

    def room(self, instance_id: str, slots: int, others: Collection[str]) -> int:
        """Return how many runs may be placed on an engine.

        An engine that was slow when it was last measured gets few until it is measured again.
        """
        pace = self._paces.get(instance_id)
        if pace is None or not self._is_stale(pace):
            return slots
        return min(slots, _TRIAL_RUNS) if self._is_slow(instance_id, others) else slots

    def faster(self, run: RunPace, others: Collection[str], events: int) -> Sequence[str]:
        """Return the engines among *others* that are enough faster for a run to move to.

        Args:
            run: The pace of the run.
            others: Candidate engines.
            events: Number of events that the item has produced so far.
        """
        own_s = run.median_s
        if own_s is None:
            return ()
        factor = _LONG_MOVE_FACTOR if events >= _LONG_RUN_EVENTS else _MOVE_FACTOR
        return self._faster(own_s, others, factor)

    def _is_slow(self, instance_id: str, others: Collection[str]) -> bool:
        return bool(self._faster(self._last_pace_s(instance_id), others, _MOVE_FACTOR))

    def _faster(self, pace_s: float, others: Collection[str], factor: float) -> Sequence[str]:
        return [name for name in others if 0 < factor * self._last_pace_s(name) < pace_s]

    def _is_stale(self, pace: _Pace) -> bool:
        return self._clock.monotonic_s() - pace.measured_at_s > _MEASUREMENT_TTL_S

    def _last_pace_s(self, instance_id: str) -> float:
        """Return the latest pace regardless of its age, 0 if there is none."""
        pace = self._paces.get(instance_id)
        return pace.pace_s if pace is not None else 0.0
