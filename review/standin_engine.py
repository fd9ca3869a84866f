"""An engine or plain server as a process of its own, as PROTOCOL.md tells.

It registers in the store, serves requests, streams and items, obeys orders, and appends to its log
a JSON line for each request that it began, ended or refused. SIGTERM makes it report ``draining``;
it goes on serving until it is killed.

    python3 engine.py '{"id": ..., "service": ..., "store": ..., "log": ...}'
"""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from standin_http import Server, call  # noqa: E402

PREFIX = "x-verbenawind-"


class Engine:
    """Options: ``events`` and ``event_s`` of a stream, ``prefill_s`` before its first event,
    ``work_s`` of a plain request, ``load_s`` of a change of version, ``slots``, ``models``."""

    def __init__(self, options):
        self.options = options
        self.id = options["id"]
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.versions = dict(options.get("models", {}))
        self.seq, self.orders, self.loading_until, self.loading = 0, 0, 0.0, None
        self.running = 0
        self.log = open(options["log"], "a", buffering=1)  # noqa: SIM115
        self.server = Server(self._handle, options.get("port", 0))

    def note(self, what, **fields):
        line = {"t": round(time.time(), 4), "engine": self.id, "what": what, **fields}
        self.log.write(json.dumps(line) + "\n")

    def entry(self):
        self.seq += 1
        return {
            "service": self.options["service"],
            "address": self.server.address,
            "zone": self.options.get("zone", "z1"),
            "version": "r1",
            "slots": self.options.get("slots", 16),
            "state": self.state,
            "cold-remaining-ms": 0,
            "seq": self.seq,
            "born": self.born,
            "stage": "both",
            "models": self._models(),
        }

    def _models(self):
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]

    async def register(self):
        body = {"table": "servers", "key": self.id, "value": self.entry()}
        await call(
            self.options["store"], "POST", "/standin/put", [("Host", "store")],
            json.dumps(body).encode(),
        )

    async def run(self):
        await self.server.start()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._drain)
        self.note("started", address=self.server.address)
        while True:
            await self.register()
            await asyncio.sleep(1.2)

    def _drain(self):
        self.state = "draining"
        self.note("draining")
        self._task = asyncio.get_running_loop().create_task(self.register())

    async def _handle(self, request):
        if request.path == "/api/order":
            await self._order(request)
            return
        expected = request.headers.get(PREFIX + "expect-instance")
        if expected not in (None, self.id):
            await request.answer(421, b"", [("X-Verbenawind-Instance-Id", self.id)])
            return
        if request.path == "/api/report":
            self._finish_load()
            await request.answer(200, {
                "stage": "both", "models": self._models(), "busy": self.loading is not None,
                "seq": self.orders, "num-waiting": 0, "num-running": self.running,
                "kv-used": 0, "kv-total": 90000, "handles": 0,
            })
            return
        await self._work(request)

    # Requests.

    async def _work(self, request):
        headers = request.headers
        request_id = headers.get(PREFIX + "attempt-id", "")
        deadline = time.monotonic() + int(headers.get(PREFIX + "deadline-ms", "60000")) / 1000
        echo = [("X-Verbenawind-Attempt-Id", request_id)]
        self._finish_load()
        model = headers.get(PREFIX + "model-name")
        wanted = headers.get(PREFIX + "expect-version")
        if wanted is not None and str(self.versions.get(model)) != wanted:
            await request.answer(421, b"", [*echo, ("X-Verbenawind-Instance-Id", self.id)])
            return
        if self.loading is not None or self.running >= self.options.get("slots", 16) + 8:
            await request.answer(503, b"", [*echo, ("X-Verbenawind-Not-Executed", "1")])
            return
        self.running += 1
        first = int(headers.get("last-event-id", "0")) + 1
        self.note("begin", id=request_id, path=request.path, first=first)
        try:
            stamp = ("X-Verbenawind-Server-Stamp", f"{self.id}.{request_id}")
            if PREFIX + "token-counts" in headers:
                await self._stream(request, [*echo, stamp], request_id, model, first, deadline)
            else:
                await asyncio.sleep(self.options.get("work_s", 0.03))
                if "crash" in request.path:
                    self.crash(request_id)
                await request.answer(200, f"answer of {request_id}".encode(), [*echo, stamp])
            self.note("end", id=request_id)
        finally:
            self.running -= 1

    def crash(self, request_id):
        self.note("crash", id=request_id)
        os._exit(9)

    async def _stream(self, request, headers, request_id, model, first, deadline):
        """Send the events from ``first`` on; a run that has sent nothing by its deadline gets 504."""
        prefill_s = self.options.get("prefill_s", 0.02)
        left_s = deadline - time.monotonic()
        crash_at = self.options.get("crash_at")
        if crash_at == 0 and "crash" in request.path:
            self.crash(request_id)
        if prefill_s >= left_s:
            await asyncio.sleep(max(0.0, left_s))
            self.note("timed_out", id=request_id, first=first)
            await request.answer(504, b"", headers)
            return
        await asyncio.sleep(prefill_s)
        headers = [*headers, ("Content-Type", "text/event-stream"),
                   ("X-Verbenawind-Weight-Versions", str(self.versions.get(model, 1)))]
        await request.start_chunked(200, headers)
        for number in range(first, self.options.get("events", 12) + 1):
            if crash_at == number and "crash" in request.path:
                await asyncio.sleep(0.05)
                self.crash(request_id)
            if time.monotonic() >= deadline:
                request.writer.transport.abort()
                return
            await request.chunk(f"id: {number}\ndata: {request_id}-{number}\n\n".encode())
            await asyncio.sleep(self.options.get("event_s", 0.02))
        await request.chunk(b"")

    # Orders.

    def _finish_load(self):
        if self.loading is not None and time.monotonic() >= self.loading_until:
            model, version = self.loading
            self.versions[model] = version
            self.loading = None
            self.note("loaded", model=model, version=version)

    async def _order(self, request):
        self._finish_load()
        body = request.json()
        expected = request.headers.get(PREFIX + "expect-instance")
        if expected not in (None, self.id):
            status = 421
        elif "holder" not in body or "fencing-token" not in body:
            status = 400
        elif self.versions.get(body["model"], 0) >= body["version"]:
            status = 200
        elif self.loading is not None or body.get("expect", self.orders) != self.orders:
            status = 409
        else:
            status = 202
            self.orders += 1
            self.loading = (body["model"], body["version"])
            self.loading_until = time.monotonic() + self.options.get("load_s", 0.9)
        self.note("order", status=status, holder=body.get("holder"), fence=body.get("fencing-token"),
                  model=body.get("model"), version=body.get("version"), expect=body.get("expect"))
        await request.answer(status, b"")


if __name__ == "__main__":
    asyncio.run(Engine(json.loads(sys.argv[1])).run())
