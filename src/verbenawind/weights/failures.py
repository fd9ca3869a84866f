"""Remembers failed orders: back-off, and engines that are set aside."""

from random import Random

from verbenawind.clock import Clock

__all__ = ["OrderFailures"]

_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 10.0
_SET_ASIDE_AFTER = 4
_SET_ASIDE_S = 60.0


class OrderFailures:
    """Failed orders of one shard, by engine, incarnation and model.

    Args:
        clock: Gives monotonic time.
        rng: Jitter of the back-off.
    """

    __slots__ = ("_clock", "_failures", "_rng")

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._failures: dict[tuple[str, int, str], tuple[int, float]] = {}

    def failed(self, server_id: str, incarnation: int, model: str) -> bool:
        """Record a failed order and return whether the engine is set aside from now on."""
        key = (server_id, incarnation, model)
        count = self._failures.get(key, (0, 0.0))[0] + 1
        backoff_s = min(_MAX_BACKOFF_S, _BACKOFF_S * 2 ** (count - 1))
        delay_s = _SET_ASIDE_S if count >= _SET_ASIDE_AFTER else backoff_s
        retry_at_s = self._clock.monotonic_s() + self._rng.uniform(0.5, 1.0) * delay_s
        self._failures[key] = (count, retry_at_s)
        return count >= _SET_ASIDE_AFTER

    def succeeded(self, server_id: str, incarnation: int, model: str) -> None:
        """Forget an engine's failures."""
        self._failures.pop((server_id, incarnation, model), None)

    def retry_at_s(self, server_id: str, incarnation: int, model: str) -> float:
        """Return the monotonic time in seconds before which no order is repeated."""
        return self._failures.get((server_id, incarnation, model), (0, 0.0))[1]

    def is_set_aside(self, server_id: str, incarnation: int, model: str) -> bool:
        """Return whether the engine has failed too often to hold up others."""
        return self._failures.get((server_id, incarnation, model), (0, 0.0))[0] >= _SET_ASIDE_AFTER

    def keep_only(self, servers: set[tuple[str, int]]) -> None:
        """Forget every incarnation that is not among *servers*."""
        self._failures = {key: value for key, value in self._failures.items() if key[:2] in servers}
