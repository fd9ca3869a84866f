"""Helpers for the generation tests: simulated engines and daemons on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from verbenawind.daemon import Core
from verbenawind.document import parse_document
from verbenawind.errors import VerbenawindError
from verbenawind.kernel.messages import (
    EngineEvent,
    GenerateRequest,
    GenerationEnded,
    TokensGenerated,
    WorkKind,
)
from verbenawind.standins.deployment import Deployment, run_virtual
from verbenawind.standins.engine import EngineProfile, expected_token, natural_length

DOCUMENT = parse_document("""
{
  "environment": "siam-fold",
  "pools": [{"name": "tuning"}],
  "models": [{"name": "tuner", "pool": "tuning"}],
  "callers": [
    {"name": "desk", "kind": "application", "models": ["tuner"], "rate_per_s": 1000,
     "max_concurrency": 1000,
     "token_sha256": "0000000000000000000000000000000000000000000000000000000000000000"},
    {"name": "slow", "kind": "application", "models": ["tuner"], "rate_per_s": 2,
     "max_concurrency": 4,
     "token_sha256": "1000000000000000000000000000000000000000000000000000000000000000"}
  ]
}
""")
DISCOVERY_S = 8.0


def run_deployment(
    work: Callable[[Deployment], Awaitable[Any]], regions: tuple[str, ...] = ("bangkok",)
) -> Any:
    """Run *work* in a new deployment on virtual time."""

    async def run_and_stop() -> Any:
        deployment = Deployment(seed=5, regions=regions)
        try:
            return await work(deployment)
        finally:
            await deployment.stop()

    return run_virtual(run_and_stop())


async def start(
    deployment: Deployment,
    *,
    engines: int = 3,
    daemons: int = 1,
    profile: EngineProfile | None = None,
) -> list[Core]:
    """Start engines and daemons; return the daemons' cores once discovery is complete."""
    zones = len(deployment.locations)
    for index in range(engines):
        deployment.add_engine(
            f"engine-{index}", "tuning", {"tuner": 0}, zone_index=index % zones, profile=profile
        )
    cores = []
    for index in range(daemons):
        cores.append(deployment.add_daemon(f"daemon-{index}", zone_index=index % zones))
        await cores[-1].start()
    await deployment.accept(DOCUMENT)
    await asyncio.sleep(DISCOVERY_S)
    return cores


def make_request(
    core: Core,
    request_id: str = "r1",
    prompt: str = "fold",
    *,
    kind: WorkKind = WorkKind.APPLICATION,
    caller: str = "desk",
    max_tokens: int = 64,
    timeout_s: float = 30.0,
    reconnect: bool = False,
) -> GenerateRequest:
    """Return a generation request whose seed is derived from its id."""
    return GenerateRequest(
        request_id=request_id,
        environment="siam-fold/production",
        caller=caller,
        kind=kind,
        model="tuner",
        pool="tuning",
        prompt=prompt,
        max_tokens=max_tokens,
        seed=sum(request_id.encode()),
        deadline_s=core.dependencies.clock.monotonic_s() + timeout_s,
        reconnect=reconnect,
    )


async def collect_events(
    core: Core, request: GenerateRequest
) -> list[EngineEvent] | VerbenawindError:
    """Return all events of the generation, or the error that ended it."""
    try:
        return [event async for event in core.dispatcher.generate(request)]
    except VerbenawindError as error:
        return error


def is_complete(events: list[EngineEvent] | VerbenawindError, request: GenerateRequest) -> bool:
    """Return whether the events are exactly the expected answer to the request."""
    if isinstance(events, VerbenawindError) or not isinstance(events[-1], GenerationEnded):
        return False
    tokens = [
        token
        for event in events[:-1]
        if isinstance(event, TokensGenerated)
        for token in event.token_ids
    ]
    count = min(request.max_tokens, natural_length(request.prompt, request.seed))
    return events[-1].token_count == count and tokens == [
        expected_token("tuner", 0, request.prompt, request.seed, index) for index in range(count)
    ]


def count_starts(deployment: Deployment, request_id: str) -> int:
    """Return how many times engines started the request."""
    return sum(
        engine.started_request_ids.count(request_id) for engine in deployment.engines.values()
    )


def count_running(deployment: Deployment) -> int:
    """Return the number of attempts running or waiting on the engines."""
    return sum(
        len(engine._running) + len(engine._waiting) for engine in deployment.engines.values()
    )
