"""Tests that logging never waits and stays bounded."""

import os
from typing import Any

import pytest
import structlog

from verbenawind.log_output import LineLimiter, NonBlockingOutput


def limited(limiter: LineLimiter, name: str) -> dict[str, Any] | None:
    """Return a line that passed the limiter, None for one that did not."""
    try:
        return dict(limiter(None, "info", {"event": name}))
    except structlog.DropEvent:
        return None


class TestOutput:
    def test_reader_that_stalls_blocks_nothing(self) -> None:
        """With a full pipe lines wait, then are dropped and counted; the rest comes through."""
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
            whole = received.decode().split("\n")[:-1]
            assert set(whole) == {"x" * 999}
            assert len(whole) + output.dropped == 6000
        finally:
            os.close(reading)
            os.close(writing)

    def test_lines_without_a_reader_are_counted(self) -> None:
        """A pipe that nobody reads any more costs lines, not the process."""
        reading, writing = os.pipe()
        os.close(reading)
        try:
            output = NonBlockingOutput(writing)
            output.write("gone\n")
            assert output.dropped == 1
        finally:
            os.close(writing)


class TestLimiter:
    def test_flood_of_one_event_is_cut_and_counted(self) -> None:
        """Beyond its rate an event's lines are left out, and the next one says how many."""
        now_s = 0.0
        limiter = LineLimiter(lambda: now_s)
        lines = [limited(limiter, "flood") for _ in range(1000)]
        written = [line for line in lines if line is not None]
        assert len(written) == 400
        assert limited(limiter, "rare") is not None
        now_s = 1.0
        after = limited(limiter, "flood")
        assert after is not None and after["omitted_before"] == 600
        assert limiter.omitted == {"flood": 600}

    @pytest.mark.parametrize("rate_per_s", [10, 90])
    def test_usual_rates_are_whole(self, rate_per_s: int) -> None:
        """An event below its rate loses no line, however long it goes on."""
        now_s = 0.0
        limiter = LineLimiter(lambda: now_s)
        for _ in range(100 * rate_per_s):
            now_s += 1 / rate_per_s
            assert limited(limiter, "usual") is not None
