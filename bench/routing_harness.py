"""A dispatcher with a given policy over stand-in engines, in virtual time."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from random import Random

import structlog

from verbenawind.document import EnvironmentDocument, EnvironmentRevision, parse_document
from verbenawind.errors import PeerUnreachable, VerbenawindError
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import (
    BackendKind,
    BackendServer,
    EngineEvent,
    GenerateRequest,
    GenerationEnded,
    WorkKind,
)
from verbenawind.kernel.ports import Peer, SpreadItem
from verbenawind.metrics import Metrics
from verbenawind.routing import Dispatcher, RoutingPolicy
from verbenawind.standins.deployment import Deployment
from verbenawind.standins.engine import EngineProfile
from verbenawind.standins.network import Process

__all__ = ["FixedPeers", "RequestResult", "RoutingHarness", "disable_logs"]

_TOKEN = "0" * 64
_WARM_UP_TIME_S = 1.0
_PROBE_PERIOD_S = 0.25
_SUSPICION_S = 1.0


def disable_logs() -> None:
    """Drop log lines below critical, which the benches do not need."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


class FixedPeers:
    """A peer bus with fixed peers that never respond; implements PeerBus."""

    def __init__(self, peer_id: str = "daemon-0", peers: Sequence[Peer] = ()) -> None:
        self.peer_id = peer_id
        self._peers = tuple(peers)
        self._listeners: dict[str, list[Callable[[SpreadItem], None]]] = {}

    def peers(self) -> Sequence[Peer]:
        """Return the fixed peers."""
        return self._peers

    def spread(self, item: SpreadItem) -> None:
        """Call the local listeners only."""
        for listener in self._listeners.get(item.kind, ()):
            listener(item)

    def items(self, kind: str) -> Sequence[SpreadItem]:
        """Return no items; none are stored."""
        return ()

    def on_item(self, kind: str, listener: Callable[[SpreadItem], None]) -> None:
        """Register a local listener."""
        self._listeners.setdefault(kind, []).append(listener)

    def on_call(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Do nothing, since no peer calls."""

    async def call(self, peer_id: str, kind: str, body: bytes, timeout_s: float) -> bytes:
        """Raise PeerUnreachable."""
        raise PeerUnreachable(f"peer {peer_id} does not answer")


class _FixedConfiguration:
    """A configuration of one document that never changes; implements Configuration."""

    def __init__(self, deployment: Deployment, document: EnvironmentDocument) -> None:
        self._document = document
        self._clock = deployment.clock

    def current(self, environment: str, stage: str) -> EnvironmentRevision:
        """Return the document as revision 1."""
        return EnvironmentRevision(
            environment=environment,
            stage="production",  # type: ignore[arg-type]
            revision=1,
            digest="",
            document=self._document,
            accepted_at=self._clock.now(),
        )

    def environments(self) -> Sequence[EnvironmentRevision]:
        """Return the only revision."""
        return (self.current("bench", "production"),)

    def subscribe(self, listener: Callable[[EnvironmentRevision], None]) -> None:
        """Do nothing, since the document never changes."""


class RequestResult:
    """The outcome of one request; times are of the virtual clock, in seconds."""

    __slots__ = ("ended_at_s", "error", "first_token_at_s", "kind", "sent_at_s", "tokens")

    def __init__(self, kind: WorkKind, sent_at_s: float) -> None:
        self.kind = kind
        self.sent_at_s = sent_at_s
        self.first_token_at_s: float | None = None
        self.ended_at_s: float | None = None
        self.error: VerbenawindError | None = None
        self.tokens = 0

    @property
    def complete(self) -> bool:
        """Whether the answer ended without an error."""
        return self.ended_at_s is not None


class RoutingHarness:
    """A dispatcher over a pool of stand-in engines; create it inside a virtual-time loop.

    Args:
        seed: Seed of all randomness.
        policy: Enabled routing mechanisms.
        engines: Number of engines; they alternate between the regions.
        profile: Speed and limits of the engines.
        regions: Regions, with one zone each; the daemon runs in the first.
        price_per_gib: Price of cross-region traffic.
    """

    def __init__(
        self,
        seed: int,
        policy: RoutingPolicy,
        *,
        engines: int = 4,
        profile: EngineProfile | None = None,
        regions: Sequence[str] = ("bangkok",),
        price_per_gib: float = 0.05,
    ) -> None:
        self.rng = Random(seed)
        self.deployment = Deployment(seed=seed, regions=regions)
        for index in range(engines):
            self.deployment.add_engine(
                f"engine-{index}",
                "tuning",
                {"tuner": 0},
                zone_index=index % len(regions),
                profile=profile,
            )
        clock = self.deployment.clock
        dependencies = self.deployment.dependencies(
            Process(self.deployment.network, self.deployment.locations[0].zone)
        )
        fleet = Fleet(clock, self.deployment.locations[0])
        self._fleet, self._dependencies = fleet, dependencies
        self.dispatcher = Dispatcher(
            fleet=fleet,
            clients=dependencies.clients,
            clock=clock,
            rng=self.rng,
            configuration=_FixedConfiguration(self.deployment, _document(price_per_gib)),
            table=dependencies.table,
            objects=dependencies.objects,
            peers=FixedPeers(),
            metrics=Metrics(),
            policy=policy,
        )
        self.results: list[RequestResult] = []
        self._tasks: set[asyncio.Task[RequestResult]] = set()
        self._probing_task: asyncio.Task[None] | None = None
        self._request_count = 0

    async def start(self) -> None:
        """Start probing the engines and wait until they are known."""
        self._probing_task = asyncio.get_running_loop().create_task(self._probe_engines())
        await asyncio.sleep(_WARM_UP_TIME_S)

    async def stop(self) -> None:
        """Cancel all requests and stop the deployment."""
        for task in [*self._tasks, *([self._probing_task] if self._probing_task else [])]:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.deployment.stop()

    def send(
        self,
        kind: WorkKind = WorkKind.APPLICATION,
        *,
        prompt: str = "",
        timeout_s: float = 5.0,
        caller: str = "desk",
        max_tokens: int = 64,
    ) -> "asyncio.Task[RequestResult]":
        """Send a request and record its result in ``results``."""
        self._request_count += 1
        result = RequestResult(kind, self.deployment.clock.monotonic_s())
        request = GenerateRequest(
            request_id=f"r{self._request_count}",
            environment="bench/production",
            caller=caller,
            kind=kind,
            model="tuner",
            pool="tuning",
            prompt=prompt or f"prompt {self._request_count}",
            max_tokens=max_tokens,
            seed=self._request_count,
            deadline_s=result.sent_at_s + timeout_s,
        )
        self.results.append(result)
        task = asyncio.get_running_loop().create_task(self._run(request, result))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def open_loop(
        self, rate_per_s: float, duration_s: float, send: Callable[[], object]
    ) -> None:
        """Send at random times with a constant mean rate, independent of the answers."""
        clock = self.deployment.clock
        end_s = clock.monotonic_s() + duration_s
        while clock.monotonic_s() < end_s:
            send()
            await clock.sleep(self.rng.expovariate(rate_per_s))

    async def closed_loop(self, concurrency: int, duration_s: float, kind: WorkKind) -> None:
        """Keep *concurrency* requests in flight."""
        end_s = self.deployment.clock.monotonic_s() + duration_s

        async def send_repeatedly() -> None:
            while self.deployment.clock.monotonic_s() < end_s:
                result = await self.send(kind, timeout_s=600.0, caller="trainer")
                if result.error is not None:
                    await asyncio.sleep(0.5)

        await asyncio.gather(*(send_repeatedly() for _ in range(concurrency)))

    async def wait_for_all(self) -> None:
        """Wait until all requests have ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _probe_engines(self) -> None:
        for host in await self._dependencies.hosts.hosts():
            self._fleet.add(
                BackendServer(
                    server_id=host.host_id,
                    kind=BackendKind.ENGINE,
                    group=host.group,
                    address=host.address,
                    location=host.location,
                )
            )
        while True:
            await asyncio.gather(*map(self._probe, self._fleet.all()))
            await asyncio.sleep(_PROBE_PERIOD_S)

    async def _probe(self, view: ServerView) -> None:
        try:
            self._fleet.observe(await self._dependencies.clients.engine(view.server).status())
        except VerbenawindError:
            self._fleet.suspect(view.server.server_id, _SUSPICION_S)

    async def _run(self, request: GenerateRequest, result: RequestResult) -> RequestResult:
        clock = self.deployment.clock
        try:
            async for event in self.dispatcher.generate(request):
                self._record_event(result, event)
        except VerbenawindError as error:
            result.error = error
        else:
            result.ended_at_s = clock.monotonic_s()
        return result

    def _record_event(self, result: RequestResult, event: EngineEvent) -> None:
        if result.first_token_at_s is None:
            result.first_token_at_s = self.deployment.clock.monotonic_s()
        if not isinstance(event, GenerationEnded):
            result.tokens += len(event.token_ids)


def _document(price_per_gib: float) -> EnvironmentDocument:
    return parse_document(f"""
    {{
      "environment": "bench",
      "pools": [{{"name": "tuning"}}],
      "models": [{{"name": "tuner", "pool": "tuning"}}],
      "cross_region": {{"price_per_gib": {price_per_gib}}},
      "callers": [
        {{"name": "desk", "kind": "application", "models": ["tuner"], "rate_per_s": 100000,
         "max_concurrency": 100000, "token_sha256": "{_TOKEN}"}}
      ]
    }}
    """)
