"""A resumable stream loses its engine shortly before its route's timeout."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standin_http import call  # noqa: E402
from lab import LIMITS, CannotRun, run  # noqa: E402

EVENTS = 30
EVENT_S = 0.1
# Reading the prompt again takes longer than the route's timeout leaves after the kill.
PREFILL_S = 0.9
TIMEOUT_MS = 4200
KILL_AFTER_S = 3.5
STREAMS = 36


async def play(lab):
    lab.store.put("op", "config", {
        "version": 3, "limits": LIMITS,
        "routes": [{
            "name": "chat", "host": "chat.example", "path-prefix": "/chat/", "service": "llm",
            "kind": "streaming", "resumable": True, "timeout-ms": TIMEOUT_MS,
            "target-latency-ms": 1200, "max-attempts": 3, "priority": 1, "sticky": True,
        }],
        "services": [{
            "name": "llm", "health-path": "/health", "max-connections": 170,
            "engine": {"slots": 16, "models": [{"name": "m0"}]},
        }],
    })
    options = {"service": "llm", "events": EVENTS, "event_s": EVENT_S, "prefill_s": PREFILL_S,
               "models": {"m0": 1}}
    engines = await lab.engines(*({"id": f"i-e{n}", **options} for n in range(6)))
    daemons = await lab.daemons("edge-1", "edge-2")
    await asyncio.sleep(4.5)

    async def stream(number):
        request_id = f"a{number:03d}"
        lab.record(f"client sends {request_id}")
        answer = await call(
            daemons[number % 2].front, "POST", f"/chat/{number}",
            [("Host", "chat.example"), ("X-Verbenawind-Attempt-Id", request_id),
             ("X-Verbenawind-Deadline-Ms", "8000"), ("X-Verbenawind-Model-Name", "m0"),
             ("X-Verbenawind-Token-Counts", "1016,400"),
             ("X-Verbenawind-Prompt-Prefix", f"9c2e:1000,{number:x}:16")],
            b"{}", timeout_s=8.0,
        )
        if answer is None:
            lab.record(f"client {request_id}: no answer")
            return request_id, 0, 0, False
        got = [line for line in answer.body.decode().splitlines() if line.startswith("id:")]
        lab.record(f"client {request_id}: status {answer.status}, {len(got)} events, "
                   f"{'ended as complete' if answer.complete else 'connection cut'}")
        return request_id, answer.status, len(got), answer.complete

    tasks = [asyncio.create_task(stream(number)) for number in range(STREAMS)]
    await asyncio.sleep(KILL_AFTER_S)
    if lab.trouble:
        engines[0].signal(signal.SIGKILL)
    results = await asyncio.gather(*tasks)
    lab.record_engines(engines, "begin", "timed_out", "end")
    if not any(status == 200 for _, status, _, _ in results):
        raise CannotRun("no stream was served")
    return [f"stream {request_id} ended as complete after {count} of {EVENTS} events"
            for request_id, status, count, complete in results
            if status == 200 and complete and count < EVENTS]


run(Path(__file__).parent, play)
