"""Limits the rate at which staging reads from the weight store."""

from verbenawind.clock import Clock

__all__ = ["StagingBudget"]


class StagingBudget:
    """A token bucket of bytes. When it is full, one staging of any size may start.

    Args:
        clock: Time source.
        burst_s: Capacity of the bucket, in seconds at the current rate.
    """

    __slots__ = ("_available_bytes", "_burst_s", "_clock", "_rate_bytes_per_s", "_updated_at_s")

    def __init__(self, clock: Clock, burst_s: float = 1.0) -> None:
        self._clock = clock
        self._burst_s = burst_s
        self._rate_bytes_per_s = 0.0
        self._available_bytes = 0.0
        self._updated_at_s = clock.monotonic_s()

    def set_rate(self, rate_bytes_per_s: float) -> None:
        """Set the rate in bytes per second. The first call fills the bucket."""
        if self._rate_bytes_per_s == 0.0:
            self._available_bytes = rate_bytes_per_s * self._burst_s
        self._refill()
        self._rate_bytes_per_s = rate_bytes_per_s

    def take(self, size_bytes: int) -> bool:
        """Take *size_bytes* if the bucket allows it, and return whether it was taken.

        A staging larger than the capacity is allowed when the bucket is full. It makes the balance
        negative, so that the mean rate holds for stagings of any size.
        """
        self._refill()
        capacity = self._rate_bytes_per_s * self._burst_s
        if self._available_bytes < min(size_bytes, capacity):
            return False
        self._available_bytes -= size_bytes
        return True

    def _refill(self) -> None:
        now_s = self._clock.monotonic_s()
        gained = (now_s - self._updated_at_s) * self._rate_bytes_per_s
        capacity = self._rate_bytes_per_s * self._burst_s
        self._available_bytes = min(capacity, self._available_bytes + gained)
        self._updated_at_s = now_s
