"""Decides when to move a sample from a slow engine to another one. Performs no I/O."""

import msgspec

__all__ = ["StreamProgress", "StreamSpeeds"]

_SLOW_FRACTION = 0.5
_MIN_TOKENS = 8
_MIN_OBSERVED_S = 2.0
_MAX_MOVES = 2
_SMOOTHING = 0.1


class StreamProgress(msgspec.Struct, frozen=True, kw_only=True):
    """The progress of a sample's stream on its current engine."""

    tokens: int
    elapsed_s: float
    moves: int


class StreamSpeeds:
    """Keeps a moving average of the stream speed of each pool, in tokens per second."""

    __slots__ = ("_speeds",)

    def __init__(self) -> None:
        self._speeds: dict[str, float] = {}

    def record(self, pool: str, progress: StreamProgress) -> None:
        """Record the speed of a finished stream, unless it is too short to be representative."""
        if progress.tokens < _MIN_TOKENS or progress.elapsed_s <= 0.0:
            return
        speed = progress.tokens / progress.elapsed_s
        previous = self._speeds.get(pool, speed)
        self._speeds[pool] = previous + _SMOOTHING * (speed - previous)

    def should_move(self, pool: str, progress: StreamProgress, free_slots: int) -> bool:
        """Return whether a stream should be resumed on another engine.

        Resuming costs the new engine a prefill of the tokens generated so far. A stream
        therefore moves only if it runs at less than half of the average speed of its pool and
        the pool has a free slot, and only a limited number of times.
        """
        average_speed = self._speeds.get(pool)
        if average_speed is None or free_slots <= 0 or progress.moves >= _MAX_MOVES:
            return False
        if progress.tokens < _MIN_TOKENS or progress.elapsed_s < _MIN_OBSERVED_S:
            return False
        return progress.tokens / progress.elapsed_s < _SLOW_FRACTION * average_speed
