"""A simulated deployment in one process, without sockets, on a virtual-time event loop."""

import asyncio
from collections.abc import Coroutine, Sequence
from datetime import UTC, datetime
from random import Random
from typing import Any, TypeVar

import async_solipsism

from verbenawind.clock import LoopClock
from verbenawind.daemon import Core
from verbenawind.document import EnvironmentDocument, EnvironmentRevision, Stage
from verbenawind.ids import digest_hex
from verbenawind.kernel.messages import BackendServer, HostEntry, HostRole, Location
from verbenawind.kernel.ports import (
    EngineClient,
    ExternalDependencies,
    ScoringClient,
    ServiceClient,
)
from verbenawind.settings import DaemonSettings
from verbenawind.standins.engine import EngineProfile, StandinEngine
from verbenawind.standins.network import (
    NetworkEngine,
    NetworkHosts,
    NetworkObjects,
    NetworkScoring,
    NetworkService,
    NetworkTable,
    NetworkWeights,
    PausableClock,
    Process,
    StandinNetwork,
)
from verbenawind.standins.peer_network import NetworkTransport
from verbenawind.standins.platform import (
    StandinHostList,
    StandinObjects,
    StandinTable,
    StandinWeights,
)
from verbenawind.standins.services import StandinScoring, StandinService

__all__ = ["Deployment", "run_virtual"]

T = TypeVar("T")

_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
_PEER_KEY = "stand-in-peer-key-0123456789"
_OPERATOR_TOKEN = "operator-token"


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run *work* on an event loop that advances its clock to the next timer when idle."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(work)


class Deployment:
    """The platform, backend servers and daemons of one test; create it inside an event loop.

    Args:
        seed: Seed of all randomness.
        regions: Regions, each with one availability zone.
    """

    def __init__(
        self, seed: int = 1, regions: Sequence[str] = ("bangkok", "chiang-mai", "hat-yai")
    ) -> None:
        self.rng = Random(seed)
        self.clock = LoopClock(_EPOCH)
        self.locations = [Location(zone=f"{region}-a", region=region) for region in regions]
        self.network = StandinNetwork(self.clock, self.rng, self._delay_s)
        self.table = StandinTable(self.clock, self.rng)
        self.objects = StandinObjects(self.clock, self.rng)
        self.hosts = StandinHostList(self.clock, lag_s=2.0)
        self.weights = StandinWeights()
        self.engines: dict[str, StandinEngine] = {}
        self.services: dict[str, StandinService] = {}
        self.scoring: dict[str, StandinScoring] = {}
        self.daemons: dict[str, Core] = {}
        self._peer_addresses: dict[str, str] = {}
        self.processes: dict[str, Process] = {}

    def add_engine(
        self,
        server_id: str,
        pool: str,
        models: dict[str, int],
        *,
        zone_index: int = 0,
        profile: EngineProfile | None = None,
        checks_fencing: bool = True,
    ) -> StandinEngine:
        """Add an engine to the host list."""
        engine = StandinEngine(
            server_id,
            models,
            self.clock,
            self.rng,
            profile=profile,
            checks_fencing=checks_fencing,
        )
        self.engines[server_id] = engine
        self._add_to_host_list(server_id, HostRole.ENGINE, pool, zone_index)
        return engine

    def add_service(self, server_id: str, service: str, *, zone_index: int = 0) -> StandinService:
        """Add a plain-service host to the host list."""
        self.services[server_id] = StandinService(server_id, self.clock)
        self._add_to_host_list(server_id, HostRole.SERVICE, service, zone_index)
        return self.services[server_id]

    def add_scoring(self, server_id: str, service: str, *, zone_index: int = 0) -> StandinScoring:
        """Add a scoring-service host to the host list."""
        self.scoring[server_id] = StandinScoring(server_id, self.clock)
        self._add_to_host_list(server_id, HostRole.SCORING, service, zone_index)
        return self.scoring[server_id]

    def add_daemon(self, daemon_id: str, *, zone_index: int = 0) -> Core:
        """Create a daemon core without starting it; it replaces one with the same identifier."""
        location = self.locations[zone_index % len(self.locations)]
        address = self._peer_addresses.setdefault(daemon_id, self.network.new_address())
        seeds = tuple(seed for seed in self._peer_addresses.values() if seed != address)
        settings = DaemonSettings(
            daemon_id=daemon_id,
            zone=location.zone,
            region=location.region,
            listen="127.0.0.1:0",
            peer_listen=address,
            peer_key=_PEER_KEY,
            platform_url="http://127.0.0.1:1",
            operator_token_sha256=digest_hex(_OPERATOR_TOKEN.encode()),
            peer_seeds=seeds,
        )
        process = Process(self.network, location.zone)
        core = Core(settings, self.dependencies(process))
        self.daemons[daemon_id] = core
        self.processes[daemon_id] = process
        return core

    def dependencies(self, process: Process) -> ExternalDependencies:
        """Return the external dependencies of a process, accessed over the simulated network."""
        return ExternalDependencies(
            clock=PausableClock(self.clock, process),
            rng=Random(self.rng.random()),
            table=NetworkTable(process, self.table),
            objects=NetworkObjects(process, self.objects),
            hosts=NetworkHosts(process, self.hosts),
            weights=NetworkWeights(process, self.weights),
            clients=_WorldClients(self, process),
            transport=NetworkTransport(process),
        )

    async def accept(
        self, document: EnvironmentDocument, stage: Stage = Stage.PRODUCTION
    ) -> EnvironmentRevision:
        """Submit a document to the first daemon."""
        core = next(iter(self.daemons.values()))
        return await core.configuration.accept(document, stage)

    async def stop(self) -> None:
        """Kill every daemon and stop the engines."""
        for core in self.daemons.values():
            await core.kill()
        for engine in self.engines.values():
            await engine.stop()

    def _add_to_host_list(self, host_id: str, role: HostRole, group: str, zone_index: int) -> None:
        entry = HostEntry(
            host_id=host_id,
            role=role,
            group=group,
            address=self.network.new_address(),
            location=self.locations[zone_index % len(self.locations)],
        )
        self.hosts.add(entry, at_once=True)

    def _delay_s(self, source: str, target: str) -> float:
        regions = {location.zone: location.region for location in self.locations}
        if source == target or "platform" in (source, target):
            return 0.001
        return 0.001 if regions.get(source) == regions.get(target) else 0.012


class _WorldClients:
    """Clients of the simulated backend servers; implements BackendClients."""

    def __init__(self, deployment: Deployment, process: Process) -> None:
        self._world = deployment
        self._process = process

    def engine(self, server: BackendServer) -> EngineClient:
        """Return the client of an engine."""
        return NetworkEngine(self._process, server, self._world.engines[server.server_id])

    def service(self, server: BackendServer) -> ServiceClient:
        """Return the client of a plain-service host."""
        return NetworkService(self._process, server, self._world.services[server.server_id])

    def scoring(self, server: BackendServer) -> ScoringClient:
        """Return the client of a scoring-service host."""
        return NetworkScoring(self._process, server, self._world.scoring[server.server_id])
