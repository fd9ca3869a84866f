"""Test harness that runs platform daemons with a stub store and stub servers on loopback."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from on_platform.stubs import StubServer, StubStore
from ports import own_ports
from verbenawind.clock import SystemClock
from verbenawind.kernel.messages import Location
from verbenawind.platform.daemon import PlatformDaemon
from verbenawind.platform.settings import HostSettings

HOST = "rollouts.example"
MODEL = "tuner"
_MAX_CHECKS = 500


def own_address() -> str:
    """Return a loopback address that no other process of a test run takes."""
    return f"127.0.0.1:{own_ports().take()}"


class Response:
    """A parsed HTTP response, with a decoded body if it is chunked."""

    def __init__(self, raw: bytes) -> None:
        head, _, body = raw.partition(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").split("\r\n")
        self.status = int(status_line.split()[1]) if status_line else 0
        self.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        self.body = _unchunked(body) if "transfer-encoding" in self.headers else body


def _unchunked(body: bytes) -> bytes:
    data = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        data += body[:length]
        body = body[length + 2 :]
    return data


class PlatformHarness:
    """Daemons, a store, an engine pool and a plain service."""

    def __init__(self) -> None:
        self.store = StubStore()
        self.engines = [StubServer("e0"), StubServer("e1")]
        self.plain = [StubServer("p0"), StubServer("p1")]
        self.daemons: list[PlatformDaemon] = []

    async def start(self, daemons: int = 1) -> None:
        """Start all servers and daemons, and wait until the daemons are ready."""
        for app in (self.store, *self.engines, *self.plain):
            await app.start()
        for servers, service in ((self.engines, "engines"), (self.plain, "plain")):
            for server in servers:
                self.register(server, service)
        self.configure()
        for index in range(daemons):
            await self.add_daemon(f"host-{index}")

    async def add_daemon(
        self, name: str, *, ready: bool = True, stop_grace_s: float = 8.0
    ) -> PlatformDaemon:
        """Start a daemon; wait until it is ready unless *ready* is false."""
        daemon = PlatformDaemon(
            HostSettings(
                host_name=name,
                location=Location(zone="a", region="a"),
                callers_address=own_address(),
                ready_address=own_address(),
                peer_address=own_address(),
                metrics_address=own_address(),
                store_address=self.store.address,
                max_row_bytes=65536,
                max_object_bytes=1 << 20,
                region_of_zone={"a": "a"},
                order_gap_s=3.0,
                stop_grace_s=stop_grace_s,
                job_status_s=120.0,
            ),
            SystemClock(),
            Random(1),
        )
        self.daemons.append(daemon)
        await daemon.start()
        if ready:
            await self.until(lambda: daemon.node.ready)
        return daemon

    @staticmethod
    async def until(condition: Callable[[], Any]) -> None:
        """Wait until a condition is true."""
        for _ in range(_MAX_CHECKS):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the condition did not become true in time")

    def register(self, server: StubServer, service: str, **changes: Any) -> None:
        """Write a server's registration."""
        entry = {
            "service": service,
            "address": server.address,
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold-remaining-ms": 0,
            "born": 1,
            "seq": 1,
        }
        if service == "engines":
            entry["models"] = [{"name": MODEL, "version": server.version, "adapters": []}]
        self.store.put("servers", server.instance_id, entry | changes)

    def configure(
        self,
        version: int = 1,
        *,
        max_attempts: int = 2,
        timeout_ms: int = 3000,
        **limits: int,
    ) -> None:
        """Write a configuration with a route of each kind."""
        common = {
            "host": HOST,
            "timeout-ms": timeout_ms,
            "target-latency-ms": 400,
            "max-attempts": max_attempts,
        }
        routes = [
            {"name": "plain", "path-prefix": "/plain/", "kind": "idempotent", "service": "plain"},
            {"name": "once", "path-prefix": "/once/", "kind": "non_idempotent", "service": "plain"},
            {
                "name": "stream",
                "path-prefix": "/stream/",
                "kind": "streaming",
                "service": "engines",
                "resumable": True,
            },
            {
                "name": "batch",
                "path-prefix": "/batch/",
                "kind": "rollout",
                "service": "engines",
                "result-deadline-ms": 7500,
                "retention-s": 40.0,
            },
        ]
        configuration = {
            "version": version,
            "routes": [common | route for route in routes],
            "services": [
                {"name": "plain", "max-connections": 50},
                {
                    "name": "engines",
                    "max-connections": 50,
                    "engine": {"slots": 4, "models": [{"name": MODEL}]},
                },
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 100_000,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            }
            | limits,
        }
        self.store.put("op", "config", configuration)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        daemon: int = 0,
        request_id: str = "r1",
        host: str = HOST,
        **headers: str,
    ) -> Response:
        """Send a request on a new connection."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", "Connection: close"]
        lines.append(f"X-Verbenawind-Attempt-Id: {request_id}")
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return await self.raw("\r\n".join([*lines, "\r\n"]).encode() + body, daemon=daemon)

    async def raw(self, data: bytes, *, daemon: int = 0, address: str = "") -> Response:
        """Send bytes on a new connection and return the response received until it closes."""
        target_address = address or self.daemons[daemon].settings.callers_address
        host, _, port = target_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        raw = await reader.read()
        writer.close()
        return Response(raw)

    async def stop(self) -> None:
        """Stop all daemons and servers immediately."""
        for daemon in self.daemons:
            await daemon.kill()
        for app in (self.store, *self.engines, *self.plain):
            await app.stop()


def submission(items: int = 4, events: int = 3, *, size: int = 2) -> bytes:
    """Return the body of a batch job submission."""
    return json.dumps(
        {
            "step": 1,
            "model": MODEL,
            "min-version": 1,
            "desired-count": items // size,
            "items": [
                {
                    "id": f"i{index}",
                    "path": f"/batch/1/{index}",
                    "headers": {"X-Verbenawind-Model-Name": MODEL},
                    "body": base64.b64encode(str(events).encode()).decode(),
                    "tokens": 100,
                    "group": f"g{index // size}",
                }
                for index in range(items)
            ],
        }
    ).encode()


def run_with_harness(
    work: Callable[[PlatformHarness], Awaitable[None]], *, daemons: int = 1
) -> None:
    """Run *work* with a harness whose daemons are ready."""

    async def run_all() -> None:
        harness = PlatformHarness()
        try:
            await harness.start(daemons)
            await work(harness)
        finally:
            await harness.stop()

    asyncio.run(run_all())
