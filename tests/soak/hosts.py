"""Daemons as processes of their own, with signals and links that the soak may spoil."""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

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


def _free_ports(count: int) -> int:
    """Return the first of some free ports in a row, in a part of this process's own."""
    begin = _FIRST_PORT + os.getpid() % _PARTS * _PART_PORTS
    for first in range(begin, begin + _PART_PORTS, count):
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        if first not in _TAKEN:
            _TAKEN.add(first)
            return first
    raise OSError("no free ports in a row")


_TAKEN: set[int] = set()
# Runs beside each other take their ports from different parts.
_FIRST_PORT = 20_000
_PART_PORTS = 60
_PARTS = 200


class SoakHost:
    """One daemon.

    Args:
        name: The host's name.
        zone: Its availability zone.
        store: The store's own address; the daemon reaches it over a proxy.
        directory: Where settings and logs go.
    """

    def __init__(self, name: str, zone: str, store: str, directory: Path) -> None:
        first = _free_ports(4)
        self.name = name
        self.front = f"127.0.0.1:{first}"
        self.ready = f"127.0.0.1:{first + 1}"
        self._peer_port = first + 2
        self._zone = zone
        self._settings = directory / f"{name}.toml"
        self._log = directory / f"{name}.log"
        self.link = FaultyProxy(store)
        self.process: asyncio.subprocess.Process | None = None
        self.stopped = False
        self._log_offset = 0
        # Two faults at once may both end by starting the host.
        self._starting = asyncio.Lock()

    @property
    def runs(self) -> bool:
        """Whether a process of this host is there and not frozen."""
        return self.process is not None and self.process.returncode is None and not self.stopped

    async def start(self) -> None:
        """Start the daemon's process, unless one is there."""
        async with self._starting:
            if self.process is None or self.process.returncode is not None:
                await self._start()

    async def _start(self) -> None:
        if not self.link.address:
            await self.link.start()
            self._settings.write_text(
                _SETTINGS.format(
                    name=self.name,
                    zone=self._zone,
                    port=self._peer_port,
                    next_port=self._peer_port + 1,
                    front=self.front,
                    ready=self.ready,
                    store=self.link.address,
                )
            )
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(_SOURCES),
            "VERBENAWIND_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._log_offset = log.tell()
            self.stopped = False
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "verbenawind.platform",
                env=environment,
                stdout=log,
                stderr=log,
            )

    def has_begun(self) -> bool:
        """Return whether the present process has said that it serves."""
        with self._log.open("rb") as log:
            log.seek(self._log_offset)
            return b'"event": "started"' in log.read()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this host started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            if number is signal.SIGSTOP:
                self.stopped = True
            if number is signal.SIGCONT:
                self.stopped = False

    async def ended(self, timeout_s: float) -> int | None:
        """Wait for the process to end and return its code, None when it is still there."""
        assert self.process is not None
        try:
            async with asyncio.timeout(timeout_s):
                return await self.process.wait()
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """Kill the process and close the link."""
        async with self._starting:
            if self.process is not None and self.process.returncode is None:
                self.send(signal.SIGCONT)
                self.process.kill()
                await self.process.wait()
        await self.link.stop()
