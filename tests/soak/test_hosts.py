"""Tests of the daemon processes of the soak."""

import asyncio
from pathlib import Path
from typing import Any

import pytest

from soak.hosts import SoakHost


class TestStarts:
    def test_host_that_is_started_twice_at_once_has_one_process(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Faults that end together start one process; a second would outlive the soak."""
        original = asyncio.create_subprocess_exec
        processes: list[asyncio.subprocess.Process] = []

        async def counted(*arguments: Any, **options: Any) -> asyncio.subprocess.Process:
            process = await original(*arguments, **options)
            processes.append(process)
            return process

        async def start_twice() -> None:
            host = SoakHost("h0", "a", "127.0.0.1:9", tmp_path)
            await asyncio.gather(host.start(), host.start())
            await host.start()
            await host.stop()

        monkeypatch.setattr(asyncio, "create_subprocess_exec", counted)
        asyncio.run(start_twice())
        assert len(processes) == 1
        assert processes[0].returncode is not None
