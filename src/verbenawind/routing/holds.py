"""Estimates how long requests hold their slots."""

__all__ = ["HoldTimes"]

_GAIN = 0.05
_DEVIATIONS = 2.0


class HoldTimes:
    """A smoothed mean and mean deviation of hold times, in seconds."""

    __slots__ = ("_deviation_s", "_seen", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._deviation_s = 0.0
        self._seen = 0

    def observe(self, hold_s: float) -> None:
        """Take in one finished request's hold time."""
        self._seen += 1
        gain = max(_GAIN, 1.0 / self._seen)
        error_s = hold_s - self.mean_s
        self.mean_s += gain * error_s
        self._deviation_s += gain * (abs(error_s) - self._deviation_s)

    def likely_s(self) -> float:
        """Return a time within which most requests end, in seconds."""
        return self.mean_s + _DEVIATIONS * self._deviation_s
