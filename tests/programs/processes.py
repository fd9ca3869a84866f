"""Runs the two programs as processes, with stand-ins that the test process serves."""

import asyncio
import json
import os
import sys
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import TypeVar

from litestar import Litestar

from loopback import DOCUMENT_TEXT, OPERATOR_TOKEN
from verbenawind.clock import SystemClock
from verbenawind.http_server import HttpServer
from verbenawind.ids import digest_hex
from verbenawind.kernel.messages import HostEntry, HostRole, Location
from verbenawind.standins.engine import EngineProfile, StandinEngine
from verbenawind.standins.http import engine_app, platform_app, service_app
from verbenawind.standins.platform import (
    StandinHostList,
    StandinObjects,
    StandinTable,
    StandinWeights,
)
from verbenawind.standins.services import StandinService

TEST_TIMEOUT_S = 40.0
_SOURCES = Path(__file__).resolve().parents[2] / "src"
_MAX_LOG_LINES = 200

T = TypeVar("T")


class ProcessHarness:
    """The stand-ins, and the daemon processes that use them."""

    def __init__(self, directory: Path, profile: EngineProfile | None) -> None:
        clock, rng = SystemClock(), Random(1)
        self.directory = directory
        self.hosts = StandinHostList(clock, lag_s=0.0)
        self.table = StandinTable(clock, rng)
        self.objects = StandinObjects(clock, rng)
        self.engine = StandinEngine("engine-0", {"tuner": 0}, clock, rng, profile=profile)
        self.service = StandinService("cards-0", clock)
        self.daemons: list[DaemonProcess] = []
        self._servers: list[HttpServer] = []
        self._platform_address = ""

    async def start(self) -> None:
        """Start the HTTP servers of the stand-ins."""
        apps = platform_app(self.table, self.objects, self.hosts, StandinWeights())
        self._platform_address = await self._serve(apps)
        engine_address = await self._serve(engine_app(self.engine))
        service_address = await self._serve(service_app(self.service))
        self._register_host("engine-0", HostRole.ENGINE, "tuning", engine_address)
        self._register_host("cards-0", HostRole.SERVICE, "job-cards", service_address)

    async def daemon(self, daemon_id: str = "daemon-0") -> "DaemonProcess":
        """Start a daemon process and wait until it serves."""
        settings = {
            "daemon_id": daemon_id,
            "zone": "bangkok-a",
            "region": "bangkok",
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "peer_key": "process-test-peer-key",
            "platform_url": f"http://{self._platform_address}",
            "operator_token_sha256": digest_hex(OPERATOR_TOKEN.encode()),
            "unready_grace_s": 0.2,
        }
        path = self.directory / f"{daemon_id}.jsonc"
        path.write_text(json.dumps(settings) + "  // settings of one daemon\n")
        daemon = DaemonProcess(await start_python("verbenawind.daemon", f"--settings={path}"))
        self.daemons.append(daemon)
        await daemon.wait_until_serving()
        return daemon

    async def command(self, daemon: "DaemonProcess", *words: str) -> tuple[int, str, str]:
        """Run a command of the CLI; return its exit code, standard output and standard error."""
        process = await start_python("verbenawind.cli", *words, f"--server={daemon.url}")
        out, err = await process.communicate()
        return process.returncode or 0, out.decode(), err.decode()

    def document(self, text: str = DOCUMENT_TEXT) -> str:
        """Write an environment document and return its path."""
        path = self.directory / "document.jsonc"
        path.write_text(text)
        return str(path)

    async def stop(self) -> None:
        """Kill the daemons and stop the stand-ins."""
        for daemon in self.daemons:
            await daemon.kill()
        await self.engine.stop()
        for server in self._servers:
            await server.kill()

    async def _serve(self, app: Litestar) -> str:
        server = HttpServer(app, "127.0.0.1", 0)
        await server.start()
        self._servers.append(server)
        return server.address

    def _register_host(self, host_id: str, role: HostRole, group: str, address: str) -> None:
        location = Location(zone="bangkok-a", region="bangkok")
        entry = HostEntry(
            host_id=host_id, role=role, group=group, address=address, location=location
        )
        self.hosts.add(entry, at_once=True)


class DaemonProcess:
    """A running daemon process, whose log is read continuously."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lines: deque[str] = deque(maxlen=_MAX_LOG_LINES)
        self._address: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._reading = asyncio.get_running_loop().create_task(self._read())

    @property
    def url(self) -> str:
        """The daemon's base URL."""
        return f"http://{self._address.result()}"

    @property
    def v1(self) -> str:
        """The base URL of the callers' interface."""
        return f"{self.url}/environments/siam-fold/production/v1"

    async def wait_until_serving(self) -> None:
        """Wait for the log line with the bound address."""
        await asyncio.wait((self._address, self._reading), return_when=asyncio.FIRST_COMPLETED)
        assert self._address.done(), "\n".join(self.lines)

    async def exit_code(self) -> int:
        """Wait for the process to exit and return its exit code."""
        code = await self.process.wait()
        await self._reading
        return code

    async def kill(self) -> None:
        """Kill the process if it is still running."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._reading

    async def _read(self) -> None:
        assert self.process.stdout is not None
        async for raw in self.process.stdout:
            line = raw.decode(errors="replace").rstrip()
            self.lines.append(line)
            if '"serving"' in line and not self._address.done():
                self._address.set_result(json.loads(line)["address"])


async def start_python(module: str, *arguments: str) -> asyncio.subprocess.Process:
    """Start a module of the package as a Python process."""
    environment = os.environ | {"PYTHONPATH": str(_SOURCES), "VERBENAWIND_TOKEN": OPERATOR_TOKEN}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


def run_with_harness(
    directory: Path,
    scenario: Callable[[ProcessHarness], Awaitable[T]],
    *,
    profile: EngineProfile | None = None,
) -> T:
    """Run *scenario* with started stand-ins, within a time limit."""

    async def run_all() -> T:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            harness = ProcessHarness(directory, profile)
            await harness.start()
            try:
                return await scenario(harness)
            finally:
                await harness.stop()

    return asyncio.run(run_all())
