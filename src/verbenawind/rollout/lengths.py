"""Estimates the length of samples by prompt, so that the longest can be started first."""

from collections import OrderedDict

import xxhash

__all__ = ["LengthEstimator"]

_SMOOTHING = 0.3
_MAX_PROMPTS = 8192


class LengthEstimator:
    """Keeps a moving average, per prompt, of the longest sample of each group."""

    __slots__ = ("_lengths", "_mean")

    def __init__(self) -> None:
        self._lengths: OrderedDict[int, float] = OrderedDict()
        self._mean = 0.0

    def record_length(self, prompt: str, token_count: int) -> None:
        """Record the length of the longest sample of a group, in tokens."""
        key = xxhash.xxh64_intdigest(prompt.encode())
        previous = self._lengths.pop(key, None)
        self._lengths[key] = _smoothed(previous, token_count)
        self._mean = _smoothed(self._mean or None, token_count)
        while len(self._lengths) > _MAX_PROMPTS:
            self._lengths.popitem(last=False)

    def expected_tokens(self, prompt: str) -> int:
        """Return the expected length, or the mean over all prompts if *prompt* is unknown."""
        return round(self._lengths.get(xxhash.xxh64_intdigest(prompt.encode()), self._mean))


def _smoothed(previous: float | None, seen: int) -> float:
    return float(seen) if previous is None else previous + _SMOOTHING * (seen - previous)
