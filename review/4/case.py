"""A machine gets SIGTERM while clients send long streams over connections that they keep open."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standin_http import read_chunks, read_head  # noqa: E402
from lab import LIMITS, CannotRun, run  # noqa: E402

EVENTS = 50
EVENT_S = 0.1
CLIENTS_PER_DAEMON = 110
# Idle time of a kept connection between two streams; the limit of the configuration is 15 s.
LEAST_IDLE_S, MOST_IDLE_S = 2.0, 8.0
GRACE_S = 8.0
# A stream that was sent no later than this after the SIGTERM may be cut in the last sixth of the
# grace period.
EXCUSED_S = 3.0
# The client's own clock and the signal may differ by so much.
SLACK_S = 0.03


class Client:
    """Sends one stream after the other over one connection, as long as it stays open."""

    def __init__(self, number, daemon):
        self.number, self.daemon = number, daemon
        self.streams = []

    async def play(self, until_s, rng):
        host, _, port = self.daemon.front.rpartition(":")
        await asyncio.sleep(rng.uniform(0, 5))
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        try:
            while time.monotonic() < until_s:
                if not await self._stream(reader, writer):
                    return
                idle_s = rng.uniform(LEAST_IDLE_S, MOST_IDLE_S)
                try:
                    # A node may close an idle connection.
                    await asyncio.wait_for(reader.read(1), idle_s)
                    return
                except TimeoutError:
                    pass
        except OSError:
            return
        finally:
            writer.close()

    async def _stream(self, reader, writer):
        """Send a stream and read it; return whether the connection may be used again."""
        request_id = f"a{self.number:03d}-{len(self.streams)}"
        entry = {"id": request_id, "daemon": self.daemon.name, "sent": time.time(), "status": 0,
                 "events": 0, "how": "cut", "ended": 0.0}
        self.streams.append(entry)
        writer.write((
            f"POST /chat/{request_id} HTTP/1.1\r\nHost: chat.example\r\n"
            f"X-Verbenawind-Attempt-Id: {request_id}\r\nX-Verbenawind-Deadline-Ms: 12000\r\n"
            "X-Verbenawind-Model-Name: m0\r\nX-Verbenawind-Token-Counts: 116,400\r\n"
            f"X-Verbenawind-Prompt-Prefix: 9c2e:100,{self.number:x}:16\r\n"
            "Content-Length: 2\r\n\r\n{}"
        ).encode())
        try:
            head = await read_head(reader)
            if head is None:
                return False
            entry["status"] = int(head[0].split(" ")[1])
            if "transfer-encoding" not in head[1]:
                await reader.readexactly(int(head[1].get("content-length", "0")))
            else:
                async for _ in read_chunks(reader):
                    entry["events"] += 1
            entry["how"] = "complete"
            return head[1].get("connection", "") != "close"
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            entry["ended"] = time.time()


async def play(lab):
    lab.store.put("op", "config", {
        "version": 3, "limits": LIMITS,
        "routes": [{
            "name": "chat", "host": "chat.example", "path-prefix": "/chat/", "service": "llm",
            "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 400,
            "max-attempts": 1, "priority": 1, "sticky": True,
        }],
        "services": [{
            "name": "llm", "health-path": "/health", "max-connections": 400,
            "engine": {"slots": 64, "models": [{"name": "m0"}]},
        }],
    })
    options = {"service": "llm", "events": EVENTS, "event_s": EVENT_S, "slots": 64,
               "models": {"m0": 1}}
    engines = await lab.engines(*({"id": f"i-e{n}", **options} for n in range(4)))
    daemons = await lab.daemons("edge-1", "edge-2", "edge-3")
    await asyncio.sleep(4.5)
    rng = random.Random(7)
    until_s = time.monotonic() + 40
    clients = [Client(number, daemons[number % 3]) for number in range(3 * CLIENTS_PER_DAEMON)]
    tasks = [asyncio.create_task(client.play(until_s, rng)) for client in clients]
    stopped = {}
    await asyncio.sleep(9)
    for daemon in daemons:
        if lab.trouble:
            stopped[daemon.name] = time.time()
            daemon.signal(signal.SIGTERM)
            await daemon.process.wait()
            lab.record(f"{daemon.name} has ended with {daemon.process.returncode}")
            await daemon.start()
            await daemon.wait_ready()
        else:
            await asyncio.sleep(8)
    await asyncio.gather(*tasks)
    begun = {line["id"] for engine in engines for line in engine.log() if line["what"] == "begin"}
    broken, served = [], 0
    for entry in (entry for client in clients for entry in client.streams):
        after_s = entry["sent"] - stopped.get(entry["daemon"], float("inf"))
        served += entry["how"] == "complete" and entry["status"] == 200
        lab.record(f"client {entry['id']} to {entry['daemon']}: status {entry['status'] or '-'}, "
                   f"{entry['events']} events, {entry['how']}, took "
                   f"{entry['ended'] - entry['sent']:.2f} s"
                   + (f", sent {after_s:.3f} s after its SIGTERM" if 0 < after_s < GRACE_S else ""),
                   entry["sent"])
        if (entry["how"] == "cut" and entry["id"] in begun
                and EXCUSED_S + SLACK_S < after_s < GRACE_S + 1):
            broken.append(f"{entry['id']} was sent to {entry['daemon']} {after_s:.3f} s after its "
                          f"SIGTERM, passed on to an engine and cut after {entry['events']} of "
                          f"{EVENTS} events, {entry['ended'] - entry['sent']:.2f} s later")
    if served < 100:
        raise CannotRun(f"only {served} streams were served")
    return broken


run(Path(__file__).parent, play)
