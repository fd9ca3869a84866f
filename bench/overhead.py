"""The overhead of a daemon process on streamed answers, over real sockets and in real time."""

import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random

import httpx
import msgspec

from bench.measurements import Better, Measurement
from bench.overhead_client import StreamResult, free_port, is_ready, stream_completion
from bench.overhead_engine import FastEngine
from verbenawind.clock import SystemClock
from verbenawind.http_server import HttpServer
from verbenawind.ids import digest_hex
from verbenawind.kernel.messages import HostEntry, HostRole, Location
from verbenawind.standins.http import platform_app
from verbenawind.standins.platform import (
    StandinHostList,
    StandinObjects,
    StandinTable,
    StandinWeights,
)

__all__ = ["run"]

_BENCH = "overhead"
_BOUND_SOURCE = "issue 4"
_DIRECT = "direct"
_DAEMON = "daemon"
_MIN_RATE_FRACTION = 0.98
_ENGINES = 8
_TARGET_RATE_PER_S = 150.0
_RATES_PER_S = (_TARGET_RATE_PER_S / 2, _TARGET_RATE_PER_S)
_TOKENS = 200
_TICK_S = 0.02
_TOKENS_PER_TICK = 2
_CALLER_TOKEN = "bench-caller-token"
_OPERATOR_TOKEN = "bench-operator-token"
_SETTLE_TIME_S = 2.0
_READY_TIMEOUT_S = 20.0
_WARM_UP_REQUESTS = 20
_CLOCK_TICKS_PER_S = 100.0


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the figures of requests sent directly to the engines and through the daemon."""
    return asyncio.run(_run(seed, 4.0 if short else 30.0))


async def _run(seed: int, duration_s: float) -> list[Measurement]:
    engines = [FastEngine(f"engine-{index}") for index in range(_ENGINES)]
    for engine in engines:
        await engine.start(_TOKENS, _TOKENS_PER_TICK, _TICK_S)
    platform = await _start_platform(seed, engines)
    port = free_port()
    with tempfile.TemporaryDirectory() as directory:
        settings = Path(directory) / "settings.json"
        settings.write_text(_settings(port, platform.address), encoding="utf-8")
        daemon = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "verbenawind.daemon",
            f"--settings={settings}",
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            await _wait_until_ready(port)
            return await _measure(seed, duration_s, port, engines, daemon.pid)
        finally:
            daemon.kill()
            await daemon.wait()
            await platform.stop()
            for engine in engines:
                await engine.stop()


async def _measure(
    seed: int, duration_s: float, port: int, engines: Sequence[FastEngine], pid: int
) -> list[Measurement]:
    path = "/environments/bench/production/v1/completions"
    via_daemon = [(port, path)]
    direct = [(engine.port, "/v1/completions") for engine in engines]
    await asyncio.gather(
        *(_send_request(via_daemon, number) for number in range(_WARM_UP_REQUESTS))
    )
    figures = []
    for rate_per_s in _RATES_PER_S:
        results = await _generate_load(Random(seed), direct, duration_s, rate_per_s)
        figures += _summarize(_DIRECT, rate_per_s, results, duration_s)
        cpu_s, started_s = _cpu_s(pid), time.monotonic()
        results = await _generate_load(Random(seed), via_daemon, duration_s, rate_per_s)
        cores = (_cpu_s(pid) - cpu_s) / (time.monotonic() - started_s)
        figures += _summarize(_DAEMON, rate_per_s, results, duration_s)
        figures.append(
            _measurement("daemon_processor", _DAEMON, rate_per_s, cores, "cores", Better.LOWER)
        )
    return figures


async def _generate_load(
    rng: Random, targets: Sequence[tuple[int, str]], duration_s: float, rate_per_s: float
) -> list[StreamResult]:
    """Send evenly spaced requests at a rate and return the results."""
    started_s = time.monotonic()
    tasks = []
    for number in range(int(rate_per_s * duration_s)):
        wait_s = started_s + number / rate_per_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        tasks.append(asyncio.ensure_future(_send_request([rng.choice(targets)], number)))
    return await asyncio.gather(*tasks)


async def _send_request(targets: Sequence[tuple[int, str]], number: int) -> StreamResult:
    port, path = targets[0]
    body = msgspec.json.encode(
        {
            "model": "tuner",
            "prompt": f"prompt {number}",
            "max_tokens": _TOKENS,
            "stream": True,
            "attempt_id": f"a{number}",
        }
    )
    return await stream_completion(port, path, body, _CALLER_TOKEN)


def _summarize(
    variant: str, rate_per_s: float, results: Sequence[StreamResult], duration_s: float
) -> list[Measurement]:
    complete = [item for item in results if item.complete and item.tokens == _TOKENS]
    span_s = max(item.ended_at_s for item in results) - min(item.sent_at_s for item in results)
    # The last request starts at the end of the load. The mean rate is therefore taken over the time
    # from the first start to the last end, less the engines' time for one answer.
    busy_s = max(duration_s, span_s - _TOKENS / _TOKENS_PER_TICK * _TICK_S)
    bounded = variant == _DAEMON and rate_per_s == _TARGET_RATE_PER_S
    min_rate_per_s = rate_per_s * _MIN_RATE_FRACTION if bounded else None
    figures = [
        _measurement(
            "requests",
            variant,
            rate_per_s,
            len(complete) / busy_s,
            "requests/s",
            Better.HIGHER,
            bound=min_rate_per_s,
        ),
        _measurement(
            "tokens",
            variant,
            rate_per_s,
            len(complete) * _TOKENS / busy_s,
            "tokens/s",
            Better.HIGHER,
            bound=min_rate_per_s * _TOKENS if min_rate_per_s else None,
        ),
        _measurement(
            "whole_answers",
            variant,
            rate_per_s,
            len(complete) / len(results),
            "fraction",
            Better.HIGHER,
        ),
    ]
    for name, times_s in (
        ("first_token_p50", [item.first_token_at_s - item.sent_at_s for item in complete]),
        ("whole_answer_p50", [item.ended_at_s - item.sent_at_s for item in complete]),
    ):
        median_s = statistics.median(times_s)
        figures.append(_measurement(name, variant, rate_per_s, median_s, "s", Better.LOWER))
    return figures


def _cpu_s(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


async def _wait_until_ready(port: int) -> None:
    deadline_s = time.monotonic() + _READY_TIMEOUT_S
    while not await is_ready(port):
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"the daemon on port {port} did not become ready")
        await asyncio.sleep(0.1)
    async with httpx.AsyncClient(trust_env=False) as operator:
        answer = await operator.put(
            f"http://127.0.0.1:{port}/operators/v1/environments/bench/production",
            content=_document(),
            headers={"authorization": f"Bearer {_OPERATOR_TOKEN}"},
        )
        answer.raise_for_status()
    await asyncio.sleep(_SETTLE_TIME_S)


async def _start_platform(seed: int, engines: Sequence[FastEngine]) -> HttpServer:
    clock, rng = SystemClock(), Random(seed)
    table, objects = StandinTable(clock, rng), StandinObjects(clock, rng)
    hosts, weights = StandinHostList(clock, lag_s=0.0), StandinWeights()
    for engine in engines:
        hosts.add(
            HostEntry(
                host_id=engine.server_id,
                role=HostRole.ENGINE,
                group="tuning",
                address=f"127.0.0.1:{engine.port}",
                location=Location(zone="bangkok-a", region="bangkok"),
            ),
            at_once=True,
        )
    server = HttpServer(platform_app(table, objects, hosts, weights), "127.0.0.1", 0)
    await server.start()
    return server


def _document() -> str:
    return f"""
    {{
      "environment": "bench",
      "pools": [{{"name": "tuning"}}],
      "models": [{{"name": "tuner", "pool": "tuning"}}],
      "callers": [
        {{"name": "desk", "kind": "application", "models": ["tuner"], "rate_per_s": 100000,
         "max_concurrency": 100000, "token_sha256": "{digest_hex(_CALLER_TOKEN.encode())}"}}
      ]
    }}
    """


def _settings(port: int, platform: str) -> str:
    settings = {
        "daemon_id": "daemon-0",
        "zone": "bangkok-a",
        "region": "bangkok",
        "listen": f"127.0.0.1:{port}",
        "peer_listen": "127.0.0.1:0",
        "peer_key": "bench-peer-key-0123456789",
        "platform_url": f"http://{platform}",
        "operator_token_sha256": digest_hex(_OPERATOR_TOKEN.encode()),
    }
    return msgspec.json.encode(settings).decode()


def _measurement(
    figure: str,
    variant: str,
    rate_per_s: float,
    value: float,
    unit: str,
    better: Better,
    *,
    bound: float | None = None,
) -> Measurement:
    return Measurement(
        bench=_BENCH,
        figure=figure,
        variant=f"{variant} at {rate_per_s:.0f}/s",
        value=value,
        unit=unit,
        better=better,
        baseline_variant=f"{_DIRECT} at {rate_per_s:.0f}/s" if variant == _DAEMON else None,
        bound=bound,
        bound_source=_BOUND_SOURCE if bound is not None else "",
    )


if __name__ == "__main__":
    for item in run(1, True):
        print(f"{item.figure:20} {item.variant:18} {item.value:12.4f} {item.unit}")
