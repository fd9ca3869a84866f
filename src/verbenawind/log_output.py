"""Writes log lines without ever waiting for their reader, and keeps their number bounded."""

import asyncio
import os
from collections import deque
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog

__all__ = ["LineLimiter", "NonBlockingOutput"]

# Lines that wait for a slow reader; beyond these the newest are dropped and counted.
_MAX_WAITING_LINES = 4096
_FLUSH_S = 0.05
# Lines of one event that may be written in a second, and at once.
_LINES_PER_S = 100.0
_BURST_LINES = 400.0


class NonBlockingOutput:
    """A file-like object over a descriptor; bytes that cannot be written now wait, bounded.

    Args:
        descriptor: Where to write; it is set to non-blocking.
    """

    __slots__ = ("__weakref__", "_descriptor", "_flushing", "_partial", "_waiting", "dropped")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._partial = b""
        self._flushing = False
        self.dropped = 0

    def write(self, text: str) -> int:
        """Queue one line."""
        if len(self._waiting) >= _MAX_WAITING_LINES:
            self.dropped += 1
            return len(text)
        self._waiting.append(text.encode())
        self._schedule()
        return len(text)

    def flush(self) -> None:
        """Do nothing; lines are written soon after they are queued."""

    def drain(self) -> None:
        """Write what the reader takes now, and the rest soon."""
        self._flushing = False
        self._write_waiting()
        if self._partial or self._waiting:
            self._schedule()

    def _write_waiting(self) -> None:
        while self._partial or self._waiting:
            if not self._partial:
                self._partial = b"".join(self._waiting)
                self._waiting.clear()
            try:
                written = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                break
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self.dropped += 1
                self._partial = b""
                continue
            self._partial = self._partial[written:]

    def _schedule(self) -> None:
        if self._flushing:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the loop runs and after it has ended lines are written at once.
            self._write_waiting()
            return
        self._flushing = True
        loop.call_later(_FLUSH_S, self.drain)


class _Event:
    __slots__ = ("at_s", "omitted", "room")

    def __init__(self, now_s: float) -> None:
        self.room = _BURST_LINES
        self.at_s = now_s
        self.omitted = 0


class LineLimiter:
    """Drops lines of an event beyond a rate and says how many; a structlog processor.

    Args:
        monotonic_s: Reads monotonic time.
    """

    __slots__ = ("_events", "_monotonic_s", "omitted")

    def __init__(self, monotonic_s: Callable[[], float]) -> None:
        self._monotonic_s = monotonic_s
        self._events: dict[str, _Event] = {}
        self.omitted: dict[str, int] = {}

    def __call__(
        self, _logger: Any, _method: str, line: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line with what was left out before it, or drop it."""
        now_s = self._monotonic_s()
        name = str(line.get("event"))
        event = self._events.setdefault(name, _Event(now_s))
        event.room = min(_BURST_LINES, event.room + _LINES_PER_S * (now_s - event.at_s))
        event.at_s = now_s
        if event.room < 1.0:
            event.omitted += 1
            self.omitted[name] = self.omitted.get(name, 0) + 1
            raise structlog.DropEvent
        event.room -= 1.0
        if event.omitted:
            line["omitted_before"] = event.omitted
            event.omitted = 0
        return line
