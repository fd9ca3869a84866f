"""A dispatcher over stand-in engines on virtual time, with the policy that a bench sets."""

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
from verbenawind.standins.engine import EngineProfile
from verbenawind.standins.network import Process
from verbenawind.standins.world import World

__all__ = ["Answer", "FixedPeers", "Rig", "quiet_logs"]

_TOKEN = "0" * 64
_WARM_UP_S = 1.0
_PROBE_PERIOD_S = 0.25
_SUSPECT_S = 1.0


def quiet_logs() -> None:
    """Drop log lines; a bench counts, it does not explain."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


class FixedPeers:
    """A peer bus whose peers are given and never answer; implements PeerBus."""

    def __init__(self, peer_id: str = "daemon-0", peers: Sequence[Peer] = ()) -> None:
        self.peer_id = peer_id
        self._peers = tuple(peers)
        self._listeners: dict[str, list[Callable[[SpreadItem], None]]] = {}

    def peers(self) -> Sequence[Peer]:
        """Return the given peers."""
        return self._peers

    def spread(self, item: SpreadItem) -> None:
        """Tell this daemon's listeners."""
        for listener in self._listeners.get(item.kind, ()):
            listener(item)

    def items(self, kind: str) -> Sequence[SpreadItem]:
        """Return nothing; items are not kept."""
        return ()

    def on_item(self, kind: str, listener: Callable[[SpreadItem], None]) -> None:
        """Remember a listener."""
        self._listeners.setdefault(kind, []).append(listener)

    def on_call(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Do nothing: nobody calls."""

    async def call(self, peer_id: str, kind: str, body: bytes, timeout_s: float) -> bytes:
        """Raise PeerUnreachable."""
        raise PeerUnreachable(f"peer {peer_id} does not answer")


class _FixedConfiguration:
    """One document in force; implements Configuration."""

    def __init__(self, world: World, document: EnvironmentDocument) -> None:
        self._document = document
        self._clock = world.clock

    def current(self, environment: str, stage: str) -> EnvironmentRevision:
        """Return the document as a revision."""
        return EnvironmentRevision(
            environment=environment,
            stage="production",  # type: ignore[arg-type]
            revision=1,
            digest="",
            document=self._document,
            accepted_at=self._clock.now(),
        )

    def environments(self) -> Sequence[EnvironmentRevision]:
        """Return the one revision."""
        return (self.current("bench", "production"),)

    def subscribe(self, listener: Callable[[EnvironmentRevision], None]) -> None:
        """Do nothing: nothing changes."""


class Answer:
    """What became of one request; times are on the virtual clock, in seconds."""

    __slots__ = ("asked_at_s", "ended_at_s", "error", "first_at_s", "kind", "tokens")

    def __init__(self, kind: WorkKind, asked_at_s: float) -> None:
        self.kind = kind
        self.asked_at_s = asked_at_s
        self.first_at_s: float | None = None
        self.ended_at_s: float | None = None
        self.error: VerbenawindError | None = None
        self.tokens = 0

    @property
    def whole(self) -> bool:
        """Whether the whole answer came."""
        return self.ended_at_s is not None


class Rig:
    """One dispatcher over a pool of stand-in engines; make it inside a virtual-time loop.

    Args:
        seed: Seed of all randomness.
        policy: The mechanisms in force.
        engines: Number of engines; they alternate between the regions.
        profile: Their speed and limits.
        regions: One zone is made for each; the daemon runs in the first.
        price_per_gib: Price of bytes between regions.
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
        self.world = World(seed=seed, regions=regions)
        for index in range(engines):
            self.world.add_engine(
                f"engine-{index}",
                "tuning",
                {"tuner": 0},
                zone_index=index % len(regions),
                profile=profile,
            )
        clock = self.world.clock
        outside = self.world.outside(Process(self.world.network, self.world.locations[0].zone))
        fleet = Fleet(clock, self.world.locations[0])
        self._fleet, self._outside = fleet, outside
        self.dispatcher = Dispatcher(
            fleet=fleet,
            clients=outside.clients,
            clock=clock,
            rng=self.rng,
            configuration=_FixedConfiguration(self.world, _document(price_per_gib)),
            table=outside.table,
            objects=outside.objects,
            peers=FixedPeers(),
            metrics=Metrics(),
            policy=policy,
        )
        self.answers: list[Answer] = []
        self._tasks: set[asyncio.Task[Answer]] = set()
        self._watching: asyncio.Task[None] | None = None
        self._number = 0

    async def start(self) -> None:
        """Begin to watch the engines."""
        self._watching = asyncio.get_running_loop().create_task(self._watch())
        await asyncio.sleep(_WARM_UP_S)

    async def stop(self) -> None:
        """Cancel everything."""
        for task in [*self._tasks, *([self._watching] if self._watching else [])]:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.world.stop()

    def send(
        self,
        kind: WorkKind = WorkKind.APPLICATION,
        *,
        prompt: str = "",
        timeout_s: float = 5.0,
        caller: str = "desk",
        max_tokens: int = 64,
    ) -> "asyncio.Task[Answer]":
        """Send one request and keep its answer."""
        self._number += 1
        answer = Answer(kind, self.world.clock.monotonic_s())
        request = GenerateRequest(
            request_id=f"r{self._number}",
            environment="bench/production",
            caller=caller,
            kind=kind,
            model="tuner",
            pool="tuning",
            prompt=prompt or f"prompt {self._number}",
            max_tokens=max_tokens,
            seed=self._number,
            deadline_s=answer.asked_at_s + timeout_s,
        )
        self.answers.append(answer)
        task = asyncio.get_running_loop().create_task(self._run(request, answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def open_loop(
        self, rate_per_s: float, duration_s: float, send: Callable[[], object]
    ) -> None:
        """Send at random times of a steady mean rate."""
        clock = self.world.clock
        ends_at_s = clock.monotonic_s() + duration_s
        while clock.monotonic_s() < ends_at_s:
            send()
            await clock.sleep(self.rng.expovariate(rate_per_s))

    async def closed_loop(self, width: int, duration_s: float, kind: WorkKind) -> None:
        """Keep *width* requests in flight."""
        ends_at_s = self.world.clock.monotonic_s() + duration_s

        async def one() -> None:
            while self.world.clock.monotonic_s() < ends_at_s:
                answer = await self.send(kind, timeout_s=600.0, caller="trainer")
                if answer.error is not None:
                    await asyncio.sleep(0.5)

        await asyncio.gather(*(one() for _ in range(width)))

    async def settle(self) -> None:
        """Wait until every request has ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _watch(self) -> None:
        for host in await self._outside.hosts.hosts():
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
            self._fleet.observe(await self._outside.clients.engine(view.server).status())
        except VerbenawindError:
            self._fleet.suspect(view.server.server_id, _SUSPECT_S)

    async def _run(self, request: GenerateRequest, answer: Answer) -> Answer:
        clock = self.world.clock
        try:
            async for event in self.dispatcher.generate(request):
                self._note(answer, event)
        except VerbenawindError as error:
            answer.error = error
        else:
            answer.ended_at_s = clock.monotonic_s()
        return answer

    def _note(self, answer: Answer, event: EngineEvent) -> None:
        if answer.first_at_s is None:
            answer.first_at_s = self.world.clock.monotonic_s()
        if not isinstance(event, GenerationEnded):
            answer.tokens += len(event.token_ids)


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
