"""Another writer's registry entry cannot be read; engines that drain afterwards are not left."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standin_http import call  # noqa: E402
from lab import LIMITS, CannotRun, run  # noqa: E402

DRAIN_S = 2.5
PER_S = 25
# Bytes that are no entry: a list that is opened again and again and never closed.
UNREADABLE = b"[" * 2000


async def play(lab):
    lab.store.put("op", "config", {
        "version": 3, "limits": LIMITS,
        "routes": [{
            "name": "lookup", "host": "desk.example", "path-prefix": "/stock/", "service": "desk",
            "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 600,
            "max-attempts": 1, "priority": 2,
        }],
        "services": [{"name": "desk", "health-path": "/health", "max-connections": 170}],
    })
    options = {"service": "desk", "slots": 16, "work_s": 0.4}
    engines = await lab.engines(*({"id": f"i-e{n}", **options} for n in range(4)))
    daemons = await lab.daemons("edge-1", "edge-2", "edge-3")
    await asyncio.sleep(4.5)
    counts = {}

    async def request(number):
        request_id = f"a{number:04d}"
        answer = await call(
            daemons[number % 3].front, "POST", f"/stock/{number}",
            [("Host", "desk.example"), ("X-Verbenawind-Attempt-Id", request_id),
             ("X-Verbenawind-Deadline-Ms", "3000")], b"clippers", timeout_s=3.0,
        )
        status = answer.status if answer else 0
        counts[status] = counts.get(status, 0) + 1

    async def traffic(seconds):
        tasks, ends = [], time.monotonic() + seconds
        while time.monotonic() < ends:
            traffic.number += 1
            tasks.append(asyncio.create_task(request(traffic.number)))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)

    traffic.number = 0
    await traffic(3.0)
    if lab.trouble:
        lab.store.put("servers", "i-foreign", UNREADABLE)
        lab.record(f"servers/i-foreign written: {len(UNREADABLE)} unreadable bytes")
    acknowledged = {}

    async def release():
        """Two releases, half of the engines each: a new one starts, the old one drains and ends."""
        await asyncio.sleep(2.0)
        for number, engine in enumerate(list(engines)):
            engines.extend(await lab.engines({"id": f"i-n{number}", **options}))
            await asyncio.sleep(1.0)
            engine.signal(signal.SIGTERM)
            while b'"draining"' not in lab.store.get("servers", engine.id):
                await asyncio.sleep(0.01)
            acknowledged[engine.id] = time.time()
            lab.record(f"the store has acknowledged that {engine.id} is draining")
            await asyncio.sleep(DRAIN_S + 2.0)
            engine.signal(signal.SIGKILL)
            lab.store.drop("servers", engine.id)
            lab.record(f"{engine.id} has ended, its entry is removed")

    await asyncio.gather(release(), traffic(26.0))
    lab.record(f"answers to clients by status, during the releases: {counts}")
    counts.clear()
    await traffic(5.0)
    lab.record(f"answers to clients by status, after the releases: {counts}")
    lab.record_engines(engines, "begin")
    broken = []
    for engine in engines:
        if engine.id not in acknowledged:
            continue
        late = [
            line["t"] - acknowledged[engine.id] for line in engine.log()
            if line["what"] == "begin" and line["t"] > acknowledged[engine.id] + DRAIN_S
        ]
        if late:
            broken.append(f"{len(late)} requests reached {engine.id} later than {DRAIN_S} s after "
                          f"it was acknowledged as draining, the last {max(late):.1f} s after")
    if not any(line["what"] == "begin" for line in engines[0].log()):
        raise CannotRun("no request was served")
    return broken


run(Path(__file__).parent, play)
