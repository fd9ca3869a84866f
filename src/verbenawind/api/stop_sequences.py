"""Detection of stop sequences in text that arrives in pieces."""

from collections.abc import Sequence

__all__ = ["StopSequenceScanner"]


class StopSequenceScanner:
    """Truncates text at the first stop sequence, also one that spans several pieces.

    Text is returned once it cannot be the start of a stop sequence; the rest is buffered.

    Args:
        stop_sequences: The stop sequences; without any, text is returned unchanged.
    """

    __slots__ = ("_buffer", "_longest_length", "_stop_sequences", "stopped")

    def __init__(self, stop_sequences: Sequence[str]) -> None:
        self._stop_sequences = tuple(stop_sequences)
        self._longest_length = max((len(stop) for stop in stop_sequences), default=1)
        self._buffer = ""
        self.stopped = False

    def feed(self, text: str) -> str:
        """Add *text* and return what can be sent; sets ``stopped`` at a stop sequence."""
        if not self._stop_sequences:
            return text
        self._buffer += text
        positions = [
            index for stop in self._stop_sequences if (index := self._buffer.find(stop)) >= 0
        ]
        if positions:
            self.stopped = True
            return self._release(min(positions))
        return self._release(max(0, len(self._buffer) - self._longest_length + 1))

    def finish(self) -> str:
        """Return the buffered text after the end of the input."""
        return self._release(len(self._buffer))

    def _release(self, length: int) -> str:
        released, self._buffer = self._buffer[:length], self._buffer[length:]
        return released
