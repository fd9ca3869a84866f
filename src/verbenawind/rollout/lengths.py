"""Learns how long the samples of a prompt get, so that the longest can start first."""

from collections import OrderedDict

import xxhash

__all__ = ["LengthBook"]

_SMOOTHING = 0.3
_MAX_PROMPTS = 8192


class LengthBook:
    """Keeps a moving average of the longest sample in each prompt's groups."""

    __slots__ = ("_lengths", "_mean")

    def __init__(self) -> None:
        self._lengths: OrderedDict[int, float] = OrderedDict()
        self._mean = 0.0

    def learn(self, prompt: str, token_count: int) -> None:
        """Take in the length of a group's longest sample, in tokens."""
        key = xxhash.xxh64_intdigest(prompt.encode())
        known = self._lengths.pop(key, None)
        self._lengths[key] = _smoothed(known, token_count)
        self._mean = _smoothed(self._mean or None, token_count)
        while len(self._lengths) > _MAX_PROMPTS:
            self._lengths.popitem(last=False)

    def expected_tokens(self, prompt: str) -> int:
        """Return the expected length; of an unknown prompt, the mean of all."""
        return round(self._lengths.get(xxhash.xxh64_intdigest(prompt.encode()), self._mean))


def _smoothed(known: float | None, seen: int) -> float:
    return float(seen) if known is None else known + _SMOOTHING * (seen - known)
