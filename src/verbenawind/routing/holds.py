"""Estimates how long requests occupy their slots."""

__all__ = ["HoldTimeEstimator"]

_MIN_GAIN = 0.05
_DEVIATION_MULTIPLE = 2.0


class HoldTimeEstimator:
    """Exponentially smoothed mean and mean deviation of slot hold times, in seconds."""

    __slots__ = ("_deviation_s", "_observations", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._deviation_s = 0.0
        self._observations = 0

    def observe(self, hold_s: float) -> None:
        """Update the estimate with the hold time of a finished request."""
        self._observations += 1
        gain = max(_MIN_GAIN, 1.0 / self._observations)
        error_s = hold_s - self.mean_s
        self.mean_s += gain * error_s
        self._deviation_s += gain * (abs(error_s) - self._deviation_s)

    def upper_estimate_s(self) -> float:
        """Return a hold time that most requests do not exceed, in seconds."""
        return self.mean_s + _DEVIATION_MULTIPLE * self._deviation_s
