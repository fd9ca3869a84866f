"""Non-blocking log output, and a rate limit for each log event."""

import asyncio
import os
from collections import deque
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog

__all__ = ["EventRateLimiter", "NonBlockingOutput"]

# Limit of the queue for a slow reader; when it is full, new lines are dropped and counted.
_MAX_QUEUED_LINES = 4096
_FLUSH_INTERVAL_S = 0.05
# Rate and burst size of each event's token bucket.
_LINES_PER_S = 100.0
_BURST_LINES = 400.0


class NonBlockingOutput:
    """A file-like object that never blocks on its descriptor and queues a bounded number of lines.

    Args:
        descriptor: File descriptor of the output; it is set to non-blocking.
    """

    __slots__ = ("__weakref__", "_descriptor", "_flush_scheduled", "_partial", "_queue", "dropped")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._partial = b""
        self._flush_scheduled = False
        self.dropped = 0

    def write(self, text: str) -> int:
        """Queue a line, or drop it if the queue is full."""
        if len(self._queue) >= _MAX_QUEUED_LINES:
            self.dropped += 1
            return len(text)
        self._queue.append(text.encode())
        self._schedule_flush()
        return len(text)

    def flush(self) -> None:
        """Do nothing; queued lines are written by a timer."""

    def drain(self) -> None:
        """Write as much as the descriptor accepts, and schedule the rest."""
        self._flush_scheduled = False
        self._write_queued()
        if self._partial or self._queue:
            self._schedule_flush()

    def _write_queued(self) -> None:
        while self._partial or self._queue:
            if not self._partial:
                self._partial = b"".join(self._queue)
                self._queue.clear()
            try:
                written = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                break
            except OSError:
                # The reader has closed the pipe, so the error cannot be logged either.
                self.dropped += 1
                self._partial = b""
                continue
            self._partial = self._partial[written:]

    def _schedule_flush(self) -> None:
        if self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without a running event loop, lines are written immediately.
            self._write_queued()
            return
        self._flush_scheduled = True
        loop.call_later(_FLUSH_INTERVAL_S, self.drain)


class _TokenBucket:
    __slots__ = ("omitted", "tokens", "updated_at_s")

    def __init__(self, now_s: float) -> None:
        self.tokens = _BURST_LINES
        self.updated_at_s = now_s
        self.omitted = 0


class EventRateLimiter:
    """A structlog processor that limits the rate of each event and reports the omitted lines.

    Args:
        monotonic_s: Returns monotonic time in seconds.
    """

    __slots__ = ("_buckets", "_monotonic_s", "omitted")

    def __init__(self, monotonic_s: Callable[[], float]) -> None:
        self._monotonic_s = monotonic_s
        self._buckets: dict[str, _TokenBucket] = {}
        self.omitted: dict[str, int] = {}

    def __call__(
        self, _logger: Any, _method: str, line: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line, with the number of lines omitted before it, or drop it."""
        now_s = self._monotonic_s()
        name = str(line.get("event"))
        bucket = self._buckets.setdefault(name, _TokenBucket(now_s))
        bucket.tokens = min(
            _BURST_LINES, bucket.tokens + _LINES_PER_S * (now_s - bucket.updated_at_s)
        )
        bucket.updated_at_s = now_s
        if bucket.tokens < 1.0:
            bucket.omitted += 1
            self.omitted[name] = self.omitted.get(name, 0) + 1
            raise structlog.DropEvent
        bucket.tokens -= 1.0
        if bucket.omitted:
            line["omitted_before"] = bucket.omitted
            bucket.omitted = 0
        return line
