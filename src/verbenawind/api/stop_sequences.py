"""Ends a text at the first of several stop sequences, also where it comes in pieces."""

from collections.abc import Sequence

__all__ = ["StopScanner"]


class StopScanner:
    """Passes text on as soon as no stop sequence can begin in it.

    Args:
        stops: The stop sequences; with none everything passes at once.
    """

    __slots__ = ("_held", "_longest", "_stops", "stopped")

    def __init__(self, stops: Sequence[str]) -> None:
        self._stops = tuple(stops)
        self._longest = max((len(stop) for stop in stops), default=1)
        self._held = ""
        self.stopped = False

    def feed(self, text: str) -> str:
        """Return what of the text so far may be passed on; ``stopped`` tells the end."""
        if not self._stops:
            return text
        self._held += text
        found = [index for stop in self._stops if (index := self._held.find(stop)) >= 0]
        if found:
            self.stopped = True
            return self._release(min(found))
        return self._release(max(0, len(self._held) - self._longest + 1))

    def finish(self) -> str:
        """Return what was held back when the text ended without a stop sequence."""
        return self._release(len(self._held))

    def _release(self, length: int) -> str:
        passed, self._held = self._held[:length], self._held[length:]
        return passed
