"""This daemon's share of an engine's concurrency, adapted from the engine's own latency."""

__all__ = ["EngineLimit"]

_BASE_WINDOW_S = 10.0
_QUEUEING_TARGET_S = 0.1
_DECREASE = 0.8
_DECREASE_PERIOD_S = 0.25
_BUSY_FRACTION = 0.9


class EngineLimit:
    """How many requests this daemon keeps on one engine.

    The time to the first token, above the least one seen of late, is the engine's own queueing;
    the limit falls when that exceeds a target while the engine reports no free place, and
    rises while it is used up. Above its even
    share a daemon only borrows: it goes on while the engine reports free places.

    Args:
        now_s: Monotonic time, in seconds.
    """

    __slots__ = (
        "_base_s",
        "_ceiling",
        "_decreased_at_s",
        "_has_places",
        "_previous_base_s",
        "_share",
        "_value",
        "_window_at_s",
    )

    def __init__(self, now_s: float) -> None:
        self._share = 1.0
        self._ceiling = 1.0
        self._value: float | None = None
        self._has_places = False
        self._base_s = float("inf")
        self._previous_base_s = float("inf")
        self._window_at_s = now_s
        self._decreased_at_s = now_s

    def slots(self) -> int:
        """Return the limit now, at least 1."""
        value = self._share if self._value is None else self._value
        return max(1, int(min(value, self._ceiling) + 1e-9))

    def divide(
        self, *, capacity: int, users: float, running: int, waiting: int, rising: bool
    ) -> None:
        """Take in a report of the engine.

        Args:
            capacity: Requests that the engine runs at once.
            users: Daemons that use the engine.
            running: Requests it runs.
            waiting: Requests that wait in its own queue.
            rising: Whether this daemon has requests waiting.
        """
        self._share = max(1.0, capacity / users)
        self._ceiling = float(capacity)
        self._has_places = waiting == 0 and running < capacity * _BUSY_FRACTION
        if self._value is None:
            return
        if waiting > 0 and self._value > self._share:
            self._value = max(self._share, self._value * _DECREASE)
        elif rising and self._has_places:
            self._value = min(self._ceiling, max(self._value, self._share) + 1.0)

    def observe_start(self, start_s: float, now_s: float, *, used_up: bool) -> None:
        """Take in the time from dispatch to the first token, in seconds."""
        self._roll_window(now_s)
        self._base_s = min(self._base_s, start_s)
        base_s = min(self._base_s, self._previous_base_s)
        value = self._share if self._value is None else self._value
        late = start_s - base_s > max(_QUEUEING_TARGET_S, base_s)
        # With free places on the engine the delay is this daemon's own or the prompt's length.
        if late and not self._has_places:
            if now_s - self._decreased_at_s >= _DECREASE_PERIOD_S:
                self._decreased_at_s = now_s
                self._value = max(1.0, min(value, self._ceiling) * _DECREASE)
            return
        if used_up and value < self._share:
            self._value = min(self._share, value + 1.0 / value)

    def refuse(self, now_s: float) -> None:
        """Take in that the engine refused a request."""
        if now_s - self._decreased_at_s >= _DECREASE_PERIOD_S:
            self._decreased_at_s = now_s
            self._value = max(1.0, self.slots() * _DECREASE)

    def _roll_window(self, now_s: float) -> None:
        if now_s - self._window_at_s < _BASE_WINDOW_S:
            return
        self._window_at_s = now_s
        self._previous_base_s = self._base_s
        self._base_s = float("inf")
