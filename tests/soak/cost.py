"""Measures the processor time that a daemon spends on a request, an item and an event.

``python -m soak.cost`` from ``tests/`` with ``src`` on the path; the daemon is its own process.
"""

import asyncio
import base64
import json
import os
import tempfile
from pathlib import Path

from on_platform.scene import HOST, MODEL, Scene
from on_platform.wire import WireServer, WireStore
from soak.hosts import SoakHost
from soak.run import raw_call

__all__ = ["main"]

_REQUESTS = 400
_ITEMS = 400
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_WAIT_S = 0.1


def _processor_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


async def _call(host: SoakHost, method: str, target: str, name: str, body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
    lines += [f"X-Verbenawind-Attempt-Id: {name}", f"Content-Length: {len(body)}", "\r\n"]
    answer = await raw_call(host.front, "\r\n".join(lines).encode() + body, 10.0)
    return answer.body if answer is not None else b""


async def _job(host: SoakHost, name: str, events: int) -> float:
    """Run a job and return the daemon's processor time for it, in seconds."""
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
    await _call(host, "POST", f"/batch/{name}", name, body)
    listed = 0
    while listed < _ITEMS:
        await asyncio.sleep(_WAIT_S)
        page = await _call(host, "GET", f"/api/lots/{name}?after={listed}", "read")
        listed += len(json.loads(page)["results"]) if page else 0
    return _processor_s(host.process.pid) - before_s


async def _until_it_serves(host: SoakHost) -> None:
    while True:
        if await _call(host, "POST", "/plain/x", "warm", b"b") == b"echo b":
            return
        await asyncio.sleep(_WAIT_S)


async def _measure(directory: Path) -> None:
    scene = Scene()
    scene.store = store = WireStore()
    await store.start()
    for server in (*scene.engines, *scene.plain):
        await server.start()
        scene.register(server, "engines" if server in scene.engines else "plain", slots=32)
    scene.configure()
    host = SoakHost("h0", "a", store.address, directory)
    await host.start()
    assert host.process is not None
    try:
        await _until_it_serves(host)
        before_s = _processor_s(host.process.pid)
        for number in range(_REQUESTS):
            await _call(host, "POST", "/plain/x", f"r{number}", b"b" * 600)
        request_s = (_processor_s(host.process.pid) - before_s) / _REQUESTS
        few, many = await _job(host, "few", 1), await _job(host, "many", 41)
        event_s = (many - few) / (_ITEMS * 40)
        figures = {
            "request_ms": round(request_s * 1000, 2),
            "item_ms": round((few / _ITEMS - event_s) * 1000, 2),
            "event_ms": round(event_s * 1000, 3),
        }
        print(json.dumps(figures))
    finally:
        await host.stop()
        for served in (*scene.engines, *scene.plain, store):
            assert isinstance(served, WireServer | WireStore)
            await served.stop()


def main() -> None:
    """Measure and print one JSON object."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(_measure(Path(directory)))


if __name__ == "__main__":
    main()
