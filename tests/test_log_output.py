"""Tests of the non-blocking log output and the rate limit of log events."""

import os
from typing import Any

import pytest
import structlog

from verbenawind.log_output import EventRateLimiter, NonBlockingOutput


def limited(limiter: EventRateLimiter, name: str) -> dict[str, Any] | None:
    """Pass a line through the limiter; return None if the limiter dropped it."""
    try:
        return dict(limiter(None, "info", {"event": name}))
    except structlog.DropEvent:
        return None


class TestOutput:
    def test_stalled_reader_does_not_block(self) -> None:
        """With a full pipe, lines are queued, then dropped and counted; the others are written."""
        reading, writing = os.pipe()
        try:
            output = NonBlockingOutput(writing)
            line = "x" * 999 + "\n"
            for _ in range(6000):
                output.write(line)
            assert output.dropped > 0
            received = b""
            os.set_blocking(reading, False)
            while True:
                try:
                    chunk = os.read(reading, 1 << 16)
                except BlockingIOError:
                    break
                received += chunk
                output.drain()
            complete_lines = received.decode().split("\n")[:-1]
            assert set(complete_lines) == {"x" * 999}
            assert len(complete_lines) + output.dropped == 6000
        finally:
            os.close(reading)
            os.close(writing)

    def test_lines_without_a_reader_are_counted(self) -> None:
        """Lines written to a pipe whose reader has closed are dropped and counted."""
        reading, writing = os.pipe()
        os.close(reading)
        try:
            output = NonBlockingOutput(writing)
            output.write("gone\n")
            assert output.dropped == 1
        finally:
            os.close(writing)


class TestLimiter:
    def test_flood_of_an_event_is_limited_and_counted(self) -> None:
        """Lines beyond an event's rate are dropped, and the next line has their number."""
        now_s = 0.0
        limiter = EventRateLimiter(lambda: now_s)
        lines = [limited(limiter, "flood") for _ in range(1000)]
        written = [line for line in lines if line is not None]
        assert len(written) == 400
        assert limited(limiter, "rare") is not None
        now_s = 1.0
        after = limited(limiter, "flood")
        assert after is not None and after["omitted_before"] == 600
        assert limiter.omitted == {"flood": 600}

    @pytest.mark.parametrize("rate_per_s", [10, 90])
    def test_rates_below_the_limit_lose_no_lines(self, rate_per_s: int) -> None:
        """No lines of an event below the rate limit are dropped over a long time."""
        now_s = 0.0
        limiter = EventRateLimiter(lambda: now_s)
        for _ in range(100 * rate_per_s):
            now_s += 1 / rate_per_s
            assert limited(limiter, "usual") is not None
