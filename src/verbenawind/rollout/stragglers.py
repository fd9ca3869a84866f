"""Decides when a sample leaves a slow engine; pure but for what it has learned."""

import msgspec

__all__ = ["StreamProgress", "StreamSpeeds"]

_SLOW_SHARE = 0.5
_MIN_TOKENS = 8
_MIN_OBSERVED_S = 2.0
_MAX_MOVES = 2
_SMOOTHING = 0.1


class StreamProgress(msgspec.Struct, frozen=True, kw_only=True):
    """How one sample's stream has come along on its present engine."""

    tokens: int
    elapsed_s: float
    moves: int


class StreamSpeeds:
    """Learns the usual speed of a pool's streams, in tokens per second."""

    __slots__ = ("_speeds",)

    def __init__(self) -> None:
        self._speeds: dict[str, float] = {}

    def learn(self, pool: str, progress: StreamProgress) -> None:
        """Take in a finished stream."""
        if progress.tokens < _MIN_TOKENS or progress.elapsed_s <= 0.0:
            return
        speed = progress.tokens / progress.elapsed_s
        known = self._speeds.get(pool, speed)
        self._speeds[pool] = known + _SMOOTHING * (speed - known)

    def should_move(self, pool: str, progress: StreamProgress, free_slots: int) -> bool:
        """Return whether another engine would surely be faster and has room.

        Moving costs the new engine a pass over the tokens held, so that a stream moves only when
        it runs at less than half of the usual speed, and a bounded number of times.
        """
        usual = self._speeds.get(pool)
        if usual is None or free_slots <= 0 or progress.moves >= _MAX_MOVES:
            return False
        if progress.tokens < _MIN_TOKENS or progress.elapsed_s < _MIN_OBSERVED_S:
            return False
        return progress.tokens / progress.elapsed_s < _SLOW_SHARE * usual
