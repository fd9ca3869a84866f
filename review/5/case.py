"""A configuration removes the route of a finished batch job, whose results are then gone."""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standin_http import call  # noqa: E402
from lab import LIMITS, CannotRun, run  # noqa: E402

JOB = "7c41e09b52d6a3f8"
ITEMS = 16
EVENTS = 12
CONFIG_APPLY_S = 2.5
SETTLE_S = 1.0

ROLLOUT = {
    "name": "tune", "host": "tune.example", "path-prefix": "/tune/", "service": "llm",
    "kind": "rollout", "timeout-ms": 10000, "target-latency-ms": 400, "max-attempts": 3,
    "priority": 1, "sticky": True, "result-deadline-ms": 7500, "retention-s": 40,
}
LOOKUP = {
    "name": "lookup", "host": "desk.example", "path-prefix": "/stock/", "service": "desk",
    "kind": "idempotent", "timeout-ms": 3000, "target-latency-ms": 242, "max-attempts": 3,
    "priority": 2,
}
NEXT_ROLLOUT = {**ROLLOUT, "name": "tune-2", "host": "tune-2.example"}


def configuration(version, *routes):
    return {
        "version": version, "limits": LIMITS, "routes": list(routes),
        "services": [
            {"name": "desk", "health-path": "/health", "max-connections": 100},
            {"name": "llm", "health-path": "/health", "max-connections": 170,
             "engine": {"slots": 16, "models": [{"name": "m0"}]}},
        ],
    }


def item(number):
    return {
        "id": f"e5b2907c14da{number:04x}", "path": f"/tune/3/{number}", "tokens": 940,
        "group": f"g{number // 4}", "body": base64.b64encode(b"prompt").decode(),
        "headers": {
            "X-Verbenawind-Model-Name": "m0", "X-Verbenawind-Token-Counts": "540,400",
            "X-Verbenawind-Prompt-Prefix": f"9c2e41:300,{number:x}:240",
        },
    }


async def play(lab):
    lab.store.put("op", "config", configuration(3, ROLLOUT, LOOKUP))
    engines = await lab.engines(*(
        {"id": f"i-e{n}", "service": "llm", "events": EVENTS, "models": {"m0": 1}} for n in range(3)
    ))
    daemons = await lab.daemons("edge-1", "edge-2", "edge-3")
    await asyncio.sleep(4.5)
    host = [("Host", "tune.example")]
    body = {"step": 0, "model": "m0", "min-version": 1, "desired-count": 4,
            "items": [item(number) for number in range(ITEMS)]}
    accepted = await call(
        daemons[0].front, "POST", f"/tune/{JOB[:6]}",
        [*host, ("X-Verbenawind-Attempt-Id", JOB), ("X-Verbenawind-Deadline-Ms", "6000"),
         ("Content-Type", "application/json")], json.dumps(body).encode(),
    )
    if accepted is None or accepted.status != 202:
        raise CannotRun(f"the batch job was not accepted: {accepted and accepted.status}")
    accepted_s = time.monotonic()
    lab.record(f"batch job {JOB} with {ITEMS} items: 202")

    async def read(daemon, after=0):
        answer = await call(daemon.front, "GET", f"/api/lots/{JOB}?after={after}", host)
        status = answer.status if answer else 0
        found = answer.json()["results"] if status == 200 else []
        lab.record(f"read of {JOB} from {after} at {daemon.name}: {status}, {len(found)} results")
        return status, found

    read_ids = []
    while len(read_ids) < ITEMS and time.monotonic() < accepted_s + 20:
        _, found = await read(daemons[1], len(read_ids))
        read_ids += [result["id"] for result in found if result["state"] == "completed"]
        await asyncio.sleep(0.5)
    if len(read_ids) < ITEMS:
        raise CannotRun("the batch job did not finish")
    ended = await call(daemons[2].front, "DELETE", f"/api/lots/{JOB}", host)
    lab.record(f"end of {JOB}: {ended.status if ended else 0}")
    await asyncio.sleep(1.0)
    if lab.trouble:
        lab.store.put("op", "config", configuration(7, NEXT_ROLLOUT, LOOKUP))
        lab.record("the store has acknowledged configuration 7, without the route of the batch job")
    await asyncio.sleep(CONFIG_APPLY_S + SETTLE_S)
    broken = []
    for _ in range(3):
        for daemon in daemons:
            status, found = await read(daemon)
            age_s = time.monotonic() - accepted_s
            if status in (404, 410):
                broken.append(f"{daemon.name} answers {status} for a batch job that was accepted "
                              f"{age_s:.1f} s ago, whose {ITEMS} results had all been read")
            elif status == 200 and [result["id"] for result in found] != read_ids:
                broken.append(f"{daemon.name} lists other results than were read before")
        await asyncio.sleep(1.0)
    lab.record_engines(engines, "begin")
    return broken


run(Path(__file__).parent, play)
