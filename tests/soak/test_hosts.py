"""Tests of the soak's own hosts."""

import asyncio
from pathlib import Path
from typing import Any

import pytest

from soak.hosts import SoakHost


class TestStarts:
    def test_host_that_is_started_twice_at_once_has_one_process(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Two faults that end at once start one process, so that none outlives the soak."""
        execute = asyncio.create_subprocess_exec
        started: list[asyncio.subprocess.Process] = []

        async def counted(*arguments: Any, **options: Any) -> asyncio.subprocess.Process:
            process = await execute(*arguments, **options)
            started.append(process)
            return process

        async def work() -> None:
            host = SoakHost("h0", "a", "127.0.0.1:9", tmp_path)
            await asyncio.gather(host.start(), host.start())
            await host.start()
            await host.stop()

        monkeypatch.setattr(asyncio, "create_subprocess_exec", counted)
        asyncio.run(work())
        assert len(started) == 1
        assert started[0].returncode is not None
