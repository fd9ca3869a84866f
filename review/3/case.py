"""An engine goes silent while it runs streams; the route's timeout passes without an answer."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standin_http import read_chunks, read_head  # noqa: E402
from lab import LIMITS, CannotRun, run  # noqa: E402

TIMEOUT_MS = 1300
# A client leaves a stream after a gap of two seconds, four times the objective (0.3 s) or eight
# times the longest pause (0.15 s): here two seconds.
GAP_S = 2.0
LATE_S = 0.5
STREAMS = 480
PER_S = 60
SILENT_FROM_S = 3.0
SILENT_S = 4.0


class Stream:
    """A client's stream, and what it saw by half a second after the route's timeout."""

    def __init__(self, number):
        self.number, self.request_id = number, f"a{number:03d}"
        self.sent_s = 0.0
        self.status, self.events, self.ended_s, self.how = 0, 0, None, "left after a gap"

    async def play(self, address):
        host, _, port = address.rpartition(":")
        self.sent_s = time.monotonic()
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((
            f"POST /chat/{self.number} HTTP/1.1\r\nHost: chat.example\r\n"
            f"X-Verbenawind-Attempt-Id: {self.request_id}\r\nX-Verbenawind-Deadline-Ms: 6000\r\n"
            "X-Verbenawind-Model-Name: m0\r\nX-Verbenawind-Token-Counts: 116,100\r\n"
            f"X-Verbenawind-Prompt-Prefix: 9c2e:100,{self.number:x}:16\r\n"
            "Content-Length: 2\r\n\r\n{}"
        ).encode())
        try:
            head = await asyncio.wait_for(read_head(reader), GAP_S)
            if head is None:
                self.how = "connection closed"
            else:
                self.status = int(head[0].split(" ")[1])
                self.how = "complete"
                if "transfer-encoding" in head[1]:
                    chunks = read_chunks(reader)
                    while True:
                        try:
                            await asyncio.wait_for(anext(chunks), GAP_S)
                        except StopAsyncIteration:
                            break
                        self.events += 1
            self.ended_s = time.monotonic()
        except TimeoutError:
            self.how = "left after a gap"
        except (OSError, asyncio.IncompleteReadError):
            self.how, self.ended_s = "connection cut", time.monotonic()
        finally:
            writer.close()

    def took_s(self):
        return None if self.ended_s is None else self.ended_s - self.sent_s


async def play(lab):
    lab.store.put("op", "config", {
        "version": 3, "limits": LIMITS,
        "routes": [{
            "name": "chat", "host": "chat.example", "path-prefix": "/chat/", "service": "llm",
            "kind": "streaming", "timeout-ms": TIMEOUT_MS, "target-latency-ms": 300,
            "max-attempts": 1, "priority": 1, "sticky": True,
        }],
        "services": [{
            "name": "llm", "health-path": "/health", "max-connections": 170,
            "engine": {"slots": 16, "models": [{"name": "m0"}]},
        }],
    })
    options = {"service": "llm", "events": 16, "event_s": 0.05, "models": {"m0": 1}}
    engines = await lab.engines(*({"id": f"i-e{n}", **options} for n in range(6)))
    daemons = await lab.daemons("edge-1", "edge-2", "edge-3")
    await asyncio.sleep(4.5)

    async def disrupt():
        await asyncio.sleep(SILENT_FROM_S)
        engines[0].signal(signal.SIGSTOP)
        await asyncio.sleep(SILENT_S)
        engines[0].signal(signal.SIGCONT)

    disruption = asyncio.create_task(disrupt()) if lab.trouble else None
    streams, tasks = [Stream(number) for number in range(STREAMS)], []
    for stream in streams:
        tasks.append(asyncio.create_task(stream.play(daemons[stream.number % 3].front)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    if disruption is not None:
        await disruption
    limit_s = TIMEOUT_MS / 1000
    unanswered = [s for s in streams if s.took_s() is None or s.took_s() > limit_s]
    late = [s for s in unanswered if s.took_s() is None or s.took_s() > limit_s + LATE_S]
    for s in streams:
        took = "-" if s.took_s() is None else f"{s.took_s():.3f} s"
        lab.record(f"client {s.request_id}: status {s.status or '-'}, {s.events} events, {s.how}, {took}")
    lab.record_engines(engines, "begin")
    lab.record(f"{len(streams)} streams, {len(unanswered)} without a final answer at {limit_s} s, "
               f"{len(late)} of these at {limit_s + LATE_S} s")
    if sum(s.how == "complete" for s in streams) < STREAMS / 2:
        raise CannotRun("fewer than half of the streams were served")
    if len(unanswered) >= 8 and 2 * len(late) > len(unanswered):
        return [f"{len(late)} of {len(unanswered)} streams that were unanswered at the route's "
                f"timeout had no answer {LATE_S} s later"]
    return []


run(Path(__file__).parent, play)
