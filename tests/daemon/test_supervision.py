"""Tests of the supervision of background tasks."""

import asyncio
from datetime import UTC, datetime

import pytest

from verbenawind.clock import LoopClock
from verbenawind.standins.deployment import run_virtual
from verbenawind.supervision import supervise


class TestSupervise:
    def test_failed_work_is_restarted(self) -> None:
        """Work that raises is restarted after a delay, until it returns."""
        starts: list[float] = []

        async def work() -> None:
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                raise RuntimeError("unexpected")

        run_virtual(supervise("test", work, LoopClock(datetime(2026, 1, 1, tzinfo=UTC))))
        assert len(starts) == 3
        assert starts[1] > starts[0]

    def test_cancelled_work_is_not_restarted(self) -> None:
        """Work that is cancelled is not restarted."""

        async def scenario() -> None:
            task = asyncio.create_task(
                supervise(
                    "test",
                    lambda: asyncio.sleep(60.0),
                    LoopClock(datetime(2026, 1, 1, tzinfo=UTC)),
                )
            )
            await asyncio.sleep(1.0)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

        run_virtual(scenario())
