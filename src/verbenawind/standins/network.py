"""A simulated network between stand-ins and daemons, with partitions, loss, delay and pauses."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable, Coroutine, Mapping, Sequence
from random import Random
from typing import Any, TypeVar

from verbenawind.clock import Clock
from verbenawind.errors import (
    BackendServerFailed,
    BackendServerUnreachable,
    StoreUnavailable,
)
from verbenawind.kernel.messages import (
    BackendServer,
    CacheEvents,
    EngineEvent,
    EngineOrder,
    EngineStatus,
    GenerationAttempt,
    HostEntry,
    ScoringRequest,
    ScoringResponse,
    ServiceRequest,
    ServiceResponse,
    WeightManifest,
)
from verbenawind.kernel.ports import (
    EngineClient,
    HostList,
    ObjectStore,
    PeerChannel,
    Row,
    ScoringClient,
    ServiceClient,
    TableStore,
    Transaction,
    WeightStore,
)

__all__ = [
    "CUT_DETECTION_S",
    "PLATFORM",
    "NetworkEngine",
    "NetworkHosts",
    "NetworkObjects",
    "NetworkScoring",
    "NetworkService",
    "NetworkTable",
    "NetworkWeights",
    "PausableClock",
    "Process",
    "StandinNetwork",
]

T = TypeVar("T")

PLATFORM = "platform"
CUT_DETECTION_S = 0.5


class StandinNetwork:
    """Defines which sites can reach each other; a site is an availability zone or the platform.

    Args:
        clock: Time source.
        rng: Seeded random source for message loss.
        delay_s: One-way delay between two sites, in seconds.
    """

    def __init__(
        self, clock: Clock, rng: Random, delay_s: Callable[[str, str], float] | None = None
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.loss_rate = 0.0
        self.listeners: dict[
            str, tuple[str, Callable[[PeerChannel], Coroutine[Any, Any, None]]]
        ] = {}
        self._delay_s = delay_s or (lambda _a, _b: 0.001)
        self._cuts: set[tuple[str, str]] = set()
        self._next_port = 7000

    def cut(self, source: str, target: str, *, both_ways: bool = True) -> None:
        """Drop all messages from *source* to *target* and, with *both_ways*, in reverse."""
        self._cuts.add((source, target))
        if both_ways:
            self._cuts.add((target, source))

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def reaches(self, source: str, target: str) -> bool:
        """Return whether *source* can send to *target*."""
        return (source, target) not in self._cuts

    async def transmit(self, source: str, target: str) -> bool:
        """Wait for the one-way delay and return whether the message arrives."""
        await self.clock.sleep(self._delay_s(source, target))
        return self.reaches(source, target)

    def new_address(self) -> str:
        """Return an unused address."""
        self._next_port += 1
        return f"127.0.0.1:{self._next_port}"


class Process:
    """A daemon's process in the simulated network, which can be paused and resumed.

    Args:
        network: The network.
        zone: The daemon's availability zone.
    """

    def __init__(self, network: StandinNetwork, zone: str) -> None:
        self.network = network
        self.zone = zone
        self._running = asyncio.Event()
        self._running.set()

    def pause(self) -> None:
        """Block the daemon's external calls and its sleeps until it is resumed."""
        self._running.clear()

    def resume(self) -> None:
        """Unblock the daemon."""
        self._running.set()

    async def wait_until_running(self) -> None:
        """Return when the process is not paused."""
        await self._running.wait()

    async def store_call(self, what: str, call: Callable[[], Awaitable[T]]) -> T:
        """Make a call to the platform; raises StoreUnavailable when it is cut off."""
        await self.wait_until_running()
        if not await self.network.transmit(self.zone, PLATFORM):
            await self.network.clock.sleep(CUT_DETECTION_S)
            raise StoreUnavailable(f"{what}: platform is cut off", effect_possible=False)
        result = await call()
        if not await self.network.transmit(PLATFORM, self.zone):
            await self.network.clock.sleep(CUT_DETECTION_S)
            raise StoreUnavailable(f"{what}: no response from the platform", effect_possible=True)
        await self.wait_until_running()
        return result

    async def backend_call(self, server: BackendServer, call: Callable[[], Awaitable[T]]) -> T:
        """Make a call to a backend server; raises the errors of the EngineClient port."""
        await self.wait_until_running()
        site = server.location.zone
        if not await self.network.transmit(self.zone, site):
            await self.network.clock.sleep(CUT_DETECTION_S)
            raise BackendServerUnreachable(f"server {server.server_id} is cut off")
        result = await call()
        if not await self.network.transmit(site, self.zone):
            await self.network.clock.sleep(CUT_DETECTION_S)
            raise BackendServerFailed(f"server {server.server_id} did not respond")
        await self.wait_until_running()
        return result


class PausableClock:
    """A clock whose sleeps do not end while the process is paused; implements Clock.

    Args:
        clock: The shared clock.
        process: The daemon's process.
    """

    def __init__(self, clock: Clock, process: Process) -> None:
        self._clock = clock
        self._process = process
        self.now = clock.now
        self.monotonic_s = clock.monotonic_s

    async def sleep(self, duration_s: float) -> None:
        """Sleep, then wait until the process is not paused."""
        await self._clock.sleep(duration_s)
        await self._process.wait_until_running()


class NetworkTable:
    """A process's client of the table service; implements TableStore."""

    def __init__(self, process: Process, table: TableStore) -> None:
        self._process = process
        self._table = table

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows that exist among *keys*."""
        return await self._process.store_call("read", lambda: self._table.read(keys))

    async def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return rows whose keys start with *prefix*."""
        return await self._process.store_call(
            "scan", lambda: self._table.scan(prefix, after=after, limit=limit)
        )

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction."""
        await self._process.store_call("commit", lambda: self._table.commit(transaction))


class NetworkObjects:
    """A process's client of the object store; implements ObjectStore."""

    def __init__(self, process: Process, objects: ObjectStore) -> None:
        self._process = process
        self._objects = objects

    async def put(self, key: str, data: bytes) -> None:
        """Store *data* under *key*."""
        await self._process.store_call("put", lambda: self._objects.put(key, data))

    async def get(self, key: str) -> bytes | None:
        """Return the object, or None if there is none."""
        return await self._process.store_call("get", lambda: self._objects.get(key))

    async def delete(self, key: str) -> None:
        """Remove an object."""
        await self._process.store_call("delete", lambda: self._objects.delete(key))


class NetworkHosts:
    """A process's client of the host list; implements HostList."""

    def __init__(self, process: Process, hosts: HostList) -> None:
        self._process = process
        self._hosts = hosts

    async def hosts(self) -> Sequence[HostEntry]:
        """Return the hosts that the platform lists."""
        return await self._process.store_call("hosts", self._hosts.hosts)


class NetworkWeights:
    """A process's client of the weight store; implements WeightStore."""

    def __init__(self, process: Process, weights: WeightStore) -> None:
        self._process = process
        self._weights = weights

    async def manifest(self, model: str, version: int) -> WeightManifest | None:
        """Return a version's manifest."""
        return await self._process.store_call(
            "manifest", lambda: self._weights.manifest(model, version)
        )


class NetworkEngine:
    """A process's client of one engine; implements EngineClient."""

    def __init__(self, process: Process, server: BackendServer, engine: EngineClient) -> None:
        self._process = process
        self._server = server
        self._engine = engine

    async def generate(self, attempt: GenerationAttempt) -> AsyncGenerator[EngineEvent, None]:
        """Stream an attempt; a network cut ends the stream with BackendServerFailed."""
        process, site = self._process, self._server.location.zone
        await process.wait_until_running()
        if not await process.network.transmit(process.zone, site):
            await process.network.clock.sleep(CUT_DETECTION_S)
            raise BackendServerUnreachable(f"engine {self._server.server_id} is cut off")
        events = self._engine.generate(attempt)
        try:
            async for event in events:
                if not process.network.reaches(site, process.zone):
                    await process.network.clock.sleep(CUT_DETECTION_S)
                    raise BackendServerFailed(f"engine {self._server.server_id} is cut off")
                await process.wait_until_running()
                yield event
        finally:
            await events.aclose()

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt."""
        await self._process.backend_call(self._server, lambda: self._engine.cancel(attempt_id))

    async def status(self) -> EngineStatus:
        """Return the engine's status."""
        return await self._process.backend_call(self._server, self._engine.status)

    async def order(self, order: EngineOrder) -> EngineStatus:
        """Execute an order."""
        return await self._process.backend_call(self._server, lambda: self._engine.order(order))

    async def cache_events(self, position: int) -> CacheEvents:
        """Return the cache events after *position*."""
        return await self._process.backend_call(
            self._server, lambda: self._engine.cache_events(position)
        )

    async def export_cache(self, attempt_id: str) -> bytes:
        """Return the KV cache of a running attempt."""
        return await self._process.backend_call(
            self._server, lambda: self._engine.export_cache(attempt_id)
        )

    async def import_cache(self, attempt_id: str, cache: bytes) -> None:
        """Load a KV cache."""
        await self._process.backend_call(
            self._server, lambda: self._engine.import_cache(attempt_id, cache)
        )

    async def aclose(self) -> None:
        """Do nothing: there is no connection to close."""


class NetworkService:
    """A process's client of one plain-service host; implements ServiceClient."""

    def __init__(self, process: Process, server: BackendServer, service: ServiceClient) -> None:
        self._process = process
        self._server = server
        self._service = service

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Send the request once."""
        return await self._process.backend_call(self._server, lambda: self._service.call(request))

    async def aclose(self) -> None:
        """Do nothing: there is no connection to close."""


class NetworkScoring:
    """A process's client of one scoring-service host; implements ScoringClient."""

    def __init__(self, process: Process, server: BackendServer, scoring: ScoringClient) -> None:
        self._process = process
        self._server = server
        self._scoring = scoring

    async def score(self, request: ScoringRequest, timeout_s: float) -> ScoringResponse:
        """Return the grade of one sample."""
        return await self._process.backend_call(
            self._server, lambda: self._scoring.score(request, timeout_s)
        )

    async def aclose(self) -> None:
        """Do nothing: there is no connection to close."""
