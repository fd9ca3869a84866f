"""Processor time that a daemon's caller front adds to a streamed generation, over loopback."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Sequence
from random import Random

import httpx
import msgspec

from bench.measurements import Better, Measurement
from verbenawind.clock import SystemClock
from verbenawind.daemon import Daemon, connect_outside
from verbenawind.document import Stage, parse_document
from verbenawind.http_server import HttpServer
from verbenawind.ids import digest_hex
from verbenawind.kernel.messages import GenerationAttempt, HostEntry, HostRole, Location
from verbenawind.settings import DaemonSettings
from verbenawind.standins.engine import EngineProfile, StandinEngine, natural_length
from verbenawind.standins.http import engine_app, platform_app
from verbenawind.standins.platform import (
    StandinHostList,
    StandinObjects,
    StandinTable,
    StandinWeights,
)

__all__ = ["run"]

_TOKEN = "bench-token"
_LENGTHS = (4, 64)
_CONCURRENCY = 8
_PROMPT = "which glue for the envelope job"
_LOCATION = Location(zone="bangkok-a", region="bangkok")

Ask = Callable[[int, int], Awaitable[None]]


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the processor time of requests with and without a daemon, and its slopes."""
    return asyncio.run(_run(seed, 160 if short else 1600))


async def _run(seed: int, requests: int) -> Sequence[Measurement]:
    rig = _Rig(seed)
    await rig.start()
    try:
        return await _measure(rig, requests)
    finally:
        await rig.stop()


async def _measure(rig: "_Rig", requests: int) -> Sequence[Measurement]:
    costs: dict[tuple[str, int], float] = {}
    measured: list[Measurement] = []
    for tokens in _LENGTHS:
        for name, ask in (("direct", rig.ask_engine), ("daemon", rig.ask_daemon)):
            await _burst(ask, tokens, _CONCURRENCY)
            cost_us = await _burst(ask, tokens, requests)
            costs[(name, tokens)] = cost_us
            measured.append(
                _figure(
                    "processor time of a request",
                    f"{name}, {tokens} chunks",
                    cost_us,
                    f"direct, {tokens} chunks" if name == "daemon" else None,
                )
            )
    low, high = _LENGTHS
    added = {tokens: costs[("daemon", tokens)] - costs[("direct", tokens)] for tokens in _LENGTHS}
    per_chunk = (added[high] - added[low]) / (high - low)
    measured.append(_figure("front per streamed chunk", "slope", per_chunk))
    measured.append(_figure("front per request", "slope", added[low] - per_chunk * low))
    return measured


async def _burst(ask: Ask, tokens: int, requests: int) -> float:
    """Return the processor time of each request, in microseconds."""
    numbers = iter(range(requests))

    async def work() -> None:
        for number in numbers:
            await ask(number, tokens)

    started_s = time.process_time()
    await asyncio.gather(*(work() for _ in range(_CONCURRENCY)))
    return (time.process_time() - started_s) / requests * 1e6


def _figure(
    figure: str, variant: str, value_us: float, baseline_variant: str | None = None
) -> Measurement:
    return Measurement(
        bench="overhead",
        figure=figure,
        variant=variant,
        value=value_us,
        unit="us",
        better=Better.LOWER,
        baseline_variant=baseline_variant,
    )


class _Rig:
    """One engine, one daemon and the platform, each behind its HTTP server on loopback."""

    def __init__(self, seed: int) -> None:
        clock, rng = SystemClock(), Random(seed)
        profile = EngineProfile(max_running=64, tick_s=0.001, tokens_per_tick=1)
        self._engine = StandinEngine("engine-0", {"tuner": 0}, clock, rng, profile=profile)
        self._table = StandinTable(clock, rng)
        self._objects = StandinObjects(clock, rng)
        self._hosts = StandinHostList(clock, lag_s=0.0)
        self._servers: list[HttpServer] = []
        self._client = httpx.AsyncClient(
            timeout=30.0, trust_env=False, headers={"authorization": f"Bearer {_TOKEN}"}
        )
        self._seeds = [
            number for number in range(2000) if natural_length(_PROMPT, number) >= max(_LENGTHS)
        ]

    async def start(self) -> None:
        """Start everything and accept the document."""
        self._engine_url = f"http://{await self._serve(engine_app(self._engine))}"
        platform = platform_app(self._table, self._objects, self._hosts, StandinWeights())
        platform_address = await self._serve(platform)
        self._hosts.add(
            HostEntry(
                host_id="engine-0",
                role=HostRole.ENGINE,
                group="tuning",
                address=self._engine_url.removeprefix("http://"),
                location=_LOCATION,
            ),
            at_once=True,
        )
        settings = DaemonSettings(
            daemon_id="daemon-0",
            zone=_LOCATION.zone,
            region=_LOCATION.region,
            listen="127.0.0.1:0",
            peer_listen="127.0.0.1:0",
            peer_key="bench-peer-key-0123456789",
            platform_url=f"http://{platform_address}",
            operator_token_sha256=digest_hex(b"operator"),
            unready_grace_s=0.0,
        )
        self._daemon = Daemon(settings, connect_outside(settings))
        await self._daemon.start()
        document = parse_document(_document())
        await self._daemon.core.configuration.accept(document, Stage.PRODUCTION)
        await asyncio.sleep(1.0)

    async def stop(self) -> None:
        """Stop everything."""
        await self._client.aclose()
        await self._daemon.kill()
        await self._engine.stop()
        for server in self._servers:
            await server.kill()

    async def ask_engine(self, number: int, tokens: int) -> None:
        """Stream a generation from the engine itself."""
        attempt = GenerationAttempt(
            attempt_id=f"a{number}-{tokens}",
            request_id=f"r{number}",
            model="tuner",
            prompt=_PROMPT,
            max_tokens=tokens,
            seed=self._seeds[number % len(self._seeds)],
        )
        await self._read(f"{self._engine_url}/v1/completions", msgspec.json.encode(attempt))

    async def ask_daemon(self, number: int, tokens: int) -> None:
        """Stream the same generation through the daemon."""
        body = {
            "model": "tuner",
            "prompt": _PROMPT,
            "max_tokens": tokens,
            "seed": self._seeds[number % len(self._seeds)],
            "stream": True,
        }
        url = f"http://{self._daemon.address}/environments/bench/production/v1/completions"
        await self._read(url, json.dumps(body).encode())

    async def _read(self, url: str, body: bytes) -> None:
        async with self._client.stream("POST", url, content=body) as response:
            lines = [line async for line in response.aiter_lines()]
        if response.status_code != httpx.codes.OK or "data: [DONE]" not in lines:
            raise RuntimeError(f"{url}: {response.status_code} {lines[-1:]}")

    async def _serve(self, app: object) -> str:
        server = HttpServer(app, "127.0.0.1", 0)
        await server.start()
        self._servers.append(server)
        return server.address


def _document() -> str:
    return json.dumps(
        {
            "environment": "bench",
            "pools": [{"name": "tuning"}],
            "models": [{"name": "tuner", "pool": "tuning"}],
            "callers": [
                {
                    "name": "desk",
                    "kind": "application",
                    "token_sha256": digest_hex(_TOKEN.encode()),
                    "models": ["tuner"],
                    "rate_per_s": 1e9,
                }
            ],
        }
    )
