"""Measures the processor time that a daemon spends on a request, a batch item and an event.

Run ``python -m soak.cost`` from ``tests/`` with ``src`` on the path. The daemon runs in its own
process, so that the time of the load generator is not included.
"""

import asyncio
import base64
import json
import os
import tempfile
from pathlib import Path

from on_platform.harness import HOST, MODEL, PlatformHarness
from on_platform.stubs import StubServer, StubStore
from soak.hosts import SoakHost
from soak.run import send_raw_request

__all__ = ["main"]

_REQUESTS = 400
_ITEMS = 400
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_POLL_INTERVAL_S = 0.1


def _processor_s(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


async def _request(host: SoakHost, method: str, target: str, name: str, body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
    lines += [f"X-Verbenawind-Attempt-Id: {name}", f"Content-Length: {len(body)}", "\r\n"]
    response = await send_raw_request(
        host.callers_address, "\r\n".join(lines).encode() + body, 10.0
    )
    return response.body if response is not None else b""


async def _run_job(host: SoakHost, name: str, events: int) -> float:
    """Run a batch job and return the processor time that the daemon used for it, in seconds."""
    assert host.process is not None
    before_s = _processor_s(host.process.pid)
    items = [
        {
            "id": f"{name}-{index}",
            "path": "/batch/x/1",
            "headers": {"X-Verbenawind-Model-Name": MODEL},
            "body": base64.b64encode(str(events).encode()).decode(),
            "group": f"{name}-{index}",
        }
        for index in range(_ITEMS)
    ]
    body = json.dumps({"model": MODEL, "min-version": 1, "items": items}).encode()
    await _request(host, "POST", f"/batch/{name}", name, body)
    result_count = 0
    while result_count < _ITEMS:
        await asyncio.sleep(_POLL_INTERVAL_S)
        page = await _request(host, "GET", f"/api/lots/{name}?after={result_count}", "read")
        result_count += len(json.loads(page)["results"]) if page else 0
    return _processor_s(host.process.pid) - before_s


async def _wait_until_serving(host: SoakHost) -> None:
    while True:
        if await _request(host, "POST", "/plain/x", "warm", b"b") == b"echo b":
            return
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _measure(directory: Path) -> None:
    harness = PlatformHarness()
    harness.store = store = StubStore()
    await store.start()
    for server in (*harness.engines, *harness.plain):
        await server.start()
        harness.register(server, "engines" if server in harness.engines else "plain", slots=32)
    harness.configure()
    host = SoakHost("h0", "a", store.address, directory)
    await host.start()
    assert host.process is not None
    try:
        await _wait_until_serving(host)
        before_s = _processor_s(host.process.pid)
        for number in range(_REQUESTS):
            await _request(host, "POST", "/plain/x", f"r{number}", b"b" * 600)
        request_s = (_processor_s(host.process.pid) - before_s) / _REQUESTS
        few_events_s, many_events_s = await _run_job(host, "few", 1), await _run_job(
            host, "many", 41
        )
        event_s = (many_events_s - few_events_s) / (_ITEMS * 40)
        figures = {
            "request_ms": round(request_s * 1000, 2),
            "item_ms": round((few_events_s / _ITEMS - event_s) * 1000, 2),
            "event_ms": round(event_s * 1000, 3),
        }
        print(json.dumps(figures))
    finally:
        await host.stop()
        for served in (*harness.engines, *harness.plain, store):
            assert isinstance(served, StubServer | StubStore)
            await served.stop()


def main() -> None:
    """Print the three costs as one JSON object, in milliseconds."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(_measure(Path(directory)))


if __name__ == "__main__":
    main()
