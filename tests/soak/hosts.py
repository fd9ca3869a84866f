"""Daemon processes that the soak signals, and whose store connection it disrupts."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from ports import own_ports
from soak.proxy import FaultyProxy

__all__ = ["SoakHost"]

_SOURCES = Path(__file__).parents[2] / "src"
_SETTINGS = """
node-name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "{zone}"
internal-ports = [{port}, {next_port}]
[zones]
{zone} = "{zone}"
[listen]
front = "{front}"
ready = "{ready}"
[bounds]
lease-ms = 3000
grace-s = 8
[platform]
address = "{store}"
"""


class SoakHost:
    """One daemon, run as a child process behind a proxy to the store.

    Args:
        name: Host name.
        zone: Availability zone of the host.
        store: Address of the store; the daemon connects to it through a proxy.
        directory: Directory for settings and logs.
    """

    def __init__(self, name: str, zone: str, store: str, directory: Path) -> None:
        first = own_ports().take(4)
        self.name = name
        self.callers_address = f"127.0.0.1:{first}"
        self.ready_address = f"127.0.0.1:{first + 1}"
        self._peer_port = first + 2
        self._zone = zone
        self._settings = directory / f"{name}.toml"
        self._log = directory / f"{name}.log"
        self.store_link = FaultyProxy(store)
        self.process: asyncio.subprocess.Process | None = None
        self.paused = False
        self._log_offset = 0
        # Two concurrent faults may both end by starting the host.
        self._start_lock = asyncio.Lock()

    @property
    def is_running(self) -> bool:
        """Whether the daemon's process exists and is not paused by SIGSTOP."""
        return self.process is not None and self.process.returncode is None and not self.paused

    async def start(self) -> None:
        """Start the daemon's process unless it is already running."""
        async with self._start_lock:
            if self.process is None or self.process.returncode is not None:
                await self._start()

    async def _start(self) -> None:
        if not self.store_link.address:
            await self.store_link.start()
            self._settings.write_text(
                _SETTINGS.format(
                    name=self.name,
                    zone=self._zone,
                    port=self._peer_port,
                    next_port=self._peer_port + 1,
                    front=self.callers_address,
                    ready=self.ready_address,
                    store=self.store_link.address,
                )
            )
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(_SOURCES),
            "VERBENAWIND_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._log_offset = log.tell()
            self.paused = False
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "verbenawind.platform",
                env=environment,
                stdout=log,
                stderr=log,
            )

    def has_started(self) -> bool:
        """Return whether the current process has logged that it started."""
        with self._log.open("rb") as log:
            log.seek(self._log_offset)
            return b'"event": "started"' in log.read()

    def count_logged(self, event: str) -> int:
        """Return how often the processes of this host have logged an event."""
        return self._log.read_bytes().count(f'"event": "{event}"'.encode())

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon's process, if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            if number is signal.SIGSTOP:
                self.paused = True
            if number is signal.SIGCONT:
                self.paused = False

    async def wait_for_exit(self, timeout_s: float) -> int | None:
        """Wait for the process to exit and return its exit code, None after *timeout_s*."""
        assert self.process is not None
        try:
            async with asyncio.timeout(timeout_s):
                return await self.process.wait()
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """Kill the process and stop the proxy to the store."""
        async with self._start_lock:
            if self.process is not None and self.process.returncode is None:
                self.send_signal(signal.SIGCONT)
                self.process.kill()
                await self.process.wait()
        await self.store_link.stop()
