"""The adaptive limit on the requests that this daemon keeps in flight on one engine."""

__all__ = ["EngineLimit"]

_MIN_TTFT_WINDOW_S = 10.0
_QUEUEING_DELAY_TARGET_S = 0.1
_DECREASE_FACTOR = 0.8
_MIN_DECREASE_INTERVAL_S = 0.25
_FULL_FRACTION = 0.9


class EngineLimit:
    """Adapts this daemon's concurrency limit for one engine to the engine's queueing delay.

    The queueing delay is the time to first token (TTFT) minus the minimum TTFT of the recent
    windows. The limit decreases when the delay exceeds a target while the engine reports no free
    slots, and increases while this daemon uses the limit fully. Beyond the daemon's even share
    the limit increases only while the engine reports free slots, and falls back to the share when
    the engine reports queued requests.

    Args:
        now_s: Monotonic time, in seconds.
    """

    __slots__ = (
        "_adapted_limit",
        "_ceiling",
        "_decreased_at_s",
        "_has_free_slots",
        "_min_ttft_s",
        "_previous_min_ttft_s",
        "_share",
        "_window_start_s",
    )

    def __init__(self, now_s: float) -> None:
        self._share = 1.0
        self._ceiling = 1.0
        self._adapted_limit: float | None = None
        self._has_free_slots = False
        self._min_ttft_s = float("inf")
        self._previous_min_ttft_s = float("inf")
        self._window_start_s = now_s
        self._decreased_at_s = now_s

    def slots(self) -> int:
        """Return the current limit, at least 1."""
        limit = self._share if self._adapted_limit is None else self._adapted_limit
        return max(1, int(min(limit, self._ceiling) + 1e-9))

    def update(
        self, *, capacity: int, daemons: float, running: int, waiting: int, has_queued: bool
    ) -> None:
        """Apply a status report of the engine.

        Args:
            capacity: Maximum number of requests that the engine runs concurrently.
            daemons: Number of daemons that share the engine.
            running: Requests running on the engine.
            waiting: Requests waiting in the engine's own queue.
            has_queued: Whether requests are queued at this daemon.
        """
        self._share = max(1.0, capacity / daemons)
        self._ceiling = float(capacity)
        self._has_free_slots = waiting == 0 and running < capacity * _FULL_FRACTION
        if self._adapted_limit is None:
            return
        if waiting > 0 and self._adapted_limit > self._share:
            self._adapted_limit = max(self._share, self._adapted_limit * _DECREASE_FACTOR)
        elif has_queued and self._has_free_slots:
            self._adapted_limit = min(self._ceiling, max(self._adapted_limit, self._share) + 1.0)

    def observe_ttft(self, ttft_s: float, now_s: float, *, limit_reached: bool) -> None:
        """Apply a measured time from dispatch to the first token, in seconds.

        ``limit_reached`` tells whether this daemon had as many requests in flight as the limit.
        """
        self._advance_window(now_s)
        self._min_ttft_s = min(self._min_ttft_s, ttft_s)
        min_ttft_s = min(self._min_ttft_s, self._previous_min_ttft_s)
        limit = self._share if self._adapted_limit is None else self._adapted_limit
        late = ttft_s - min_ttft_s > max(_QUEUEING_DELAY_TARGET_S, min_ttft_s)
        # While the engine has free slots, a long TTFT stems from this daemon or from a long prompt.
        if late and not self._has_free_slots:
            if now_s - self._decreased_at_s >= _MIN_DECREASE_INTERVAL_S:
                self._decreased_at_s = now_s
                self._adapted_limit = max(1.0, min(limit, self._ceiling) * _DECREASE_FACTOR)
            return
        if limit_reached and limit < self._share:
            self._adapted_limit = min(self._share, limit + 1.0 / limit)

    def record_refusal(self, now_s: float) -> None:
        """Decrease the limit because the engine refused a request."""
        if now_s - self._decreased_at_s >= _MIN_DECREASE_INTERVAL_S:
            self._decreased_at_s = now_s
            self._adapted_limit = max(1.0, self.slots() * _DECREASE_FACTOR)

    def _advance_window(self, now_s: float) -> None:
        if now_s - self._window_start_s < _MIN_TTFT_WINDOW_S:
            return
        self._window_start_s = now_s
        self._previous_min_ttft_s = self._min_ttft_s
        self._min_ttft_s = float("inf")
