"""Tracks failed orders: back-off, and engines that are set aside."""

from random import Random

from verbenawind.clock import Clock

__all__ = ["OrderFailures"]

_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 10.0
_SET_ASIDE_AFTER = 4
_SET_ASIDE_S = 60.0


class OrderFailures:
    """Consecutive failed orders of one shard, by engine, incarnation and model.

    After repeated failures an engine is set aside: it is retried rarely and no longer holds back
    the other engines of its pool.

    Args:
        clock: Time source.
        rng: Source of the back-off jitter.
    """

    __slots__ = ("_clock", "_failures", "_rng")

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._failures: dict[tuple[str, int, str], tuple[int, float]] = {}

    def failed(self, server_id: str, incarnation: int, model: str) -> bool:
        """Record a failed order and return whether the engine is now set aside."""
        key = (server_id, incarnation, model)
        count = self._failures.get(key, (0, 0.0))[0] + 1
        backoff_s = min(_MAX_BACKOFF_S, _BACKOFF_S * 2 ** (count - 1))
        delay_s = _SET_ASIDE_S if count >= _SET_ASIDE_AFTER else backoff_s
        retry_at_s = self._clock.monotonic_s() + self._rng.uniform(0.5, 1.0) * delay_s
        self._failures[key] = (count, retry_at_s)
        return count >= _SET_ASIDE_AFTER

    def succeeded(self, server_id: str, incarnation: int, model: str) -> None:
        """Reset the failures of an engine after a successful order."""
        self._failures.pop((server_id, incarnation, model), None)

    def retry_at_s(self, server_id: str, incarnation: int, model: str) -> float:
        """Return the monotonic time in seconds before which no order is retried."""
        return self._failures.get((server_id, incarnation, model), (0, 0.0))[1]

    def is_set_aside(self, server_id: str, incarnation: int, model: str) -> bool:
        """Return whether the engine is set aside after repeated failures."""
        return self._failures.get((server_id, incarnation, model), (0, 0.0))[0] >= _SET_ASIDE_AFTER

    def retain(self, servers: set[tuple[str, int]]) -> None:
        """Drop the state of every incarnation that is not in *servers*."""
        self._failures = {key: value for key, value in self._failures.items() if key[:2] in servers}
