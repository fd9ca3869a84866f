"""The demonstration's deployment: stand-ins behind HTTP servers and three daemons on loopback."""

from random import Random

import httpx
from litestar import Litestar

from verbenawind.clock import SystemClock
from verbenawind.daemon import Daemon, connect_dependencies
from verbenawind.http_server import HttpServer
from verbenawind.ids import digest_hex
from verbenawind.kernel.messages import HostEntry, HostRole, Location
from verbenawind.settings import DaemonSettings
from verbenawind.standins.engine import StandinEngine
from verbenawind.standins.http import engine_app, platform_app, service_app
from verbenawind.standins.isolation import IsolatedProcess, TrafficMeter, isolate
from verbenawind.standins.network import PLATFORM, StandinNetwork
from verbenawind.standins.platform import (
    StandinHostList,
    StandinObjects,
    StandinTable,
    StandinWeights,
)
from verbenawind.standins.services import StandinService

__all__ = [
    "APPLICATION_TOKEN",
    "ENVIRONMENT",
    "MAX_VERSIONS",
    "MODEL",
    "SERVICE",
    "TRAINER_TOKEN",
    "DemoDeployment",
    "document",
]

ENVIRONMENT = "siam-fold"
MODEL = "tuner"
POOL = "tuning"
SERVICE = "job-cards"
TRAINER_TOKEN = "trainer-token"
APPLICATION_TOKEN = "application-token"
MAX_VERSIONS = 2
_OPERATOR_TOKEN = "operator-token"
_PEER_KEY = "demo-peer-key-0123456789"
_REGIONS = ("bangkok", "chiang-mai", "hat-yai")
_ENGINES = 7
_HOST_LIST_LAG_S = 0.5


def document() -> dict[str, object]:
    """Return the demonstration's environment document."""
    trainer = {
        "name": "plant-trainer",
        "kind": "trainer",
        "token_sha256": digest_hex(TRAINER_TOKEN.encode()),
        "models": [MODEL],
    }
    application = {
        "name": "line-supervisors",
        "kind": "application",
        "token_sha256": digest_hex(APPLICATION_TOKEN.encode()),
        "models": [MODEL],
        "services": [SERVICE],
    }
    return {
        "environment": ENVIRONMENT,
        "pools": [{"name": POOL, "checks_fencing": True}],
        "models": [{"name": MODEL, "pool": POOL, "staleness": {"max_versions": MAX_VERSIONS}}],
        "callers": [trainer, application],
        "trainers": [{"name": "folders", "caller": "plant-trainer", "model": MODEL}],
        "services": [
            {"name": SERVICE, "routes": [{"path_prefix": "/bookings", "idempotent": False}]}
        ],
    }


class DemoDeployment:
    """The platform, engines, plain service hosts and daemons of the demonstration.

    Args:
        seed: Seed of the stand-ins' randomness.
    """

    def __init__(self, seed: int) -> None:
        self.clock = SystemClock()
        self.rng = Random(seed)
        self.network = StandinNetwork(self.clock, self.rng, lambda _a, _b: 0.0)
        self.meter = TrafficMeter()
        self.table = StandinTable(self.clock, self.rng)
        self.objects = StandinObjects(self.clock, self.rng)
        self.hosts = StandinHostList(self.clock, lag_s=_HOST_LIST_LAG_S)
        self.weights = StandinWeights()
        self.engines: list[StandinEngine] = []
        self.services: list[StandinService] = []
        self.daemons: list[Daemon] = []
        self.base_urls: list[str] = []
        self._servers: list[HttpServer] = []
        self._platform_address = ""

    async def start(self) -> None:
        """Start all stand-ins and one daemon in each availability zone."""
        platform = platform_app(self.table, self.objects, self.hosts, self.weights)
        self._platform_address = await self._serve(platform)
        for index in range(_ENGINES):
            engine = StandinEngine(f"engine-{index}", {MODEL: 0}, self.clock, self.rng)
            self.engines.append(engine)
            address = await self._serve(engine_app(engine))
            self._add_to_host_list(engine.server_id, HostRole.ENGINE, POOL, address, index)
        for index in range(len(_REGIONS)):
            service = StandinService(f"{SERVICE}-{index}", self.clock)
            self.services.append(service)
            address = await self._serve(service_app(service))
            self._add_to_host_list(service.server_id, HostRole.SERVICE, SERVICE, address, index)
        for index in range(len(_REGIONS)):
            self.daemons.append(await self._start_daemon(f"daemon-{index}", index))
            self.base_urls.append(self._base_url(index))

    async def apply_document(self, text: str) -> None:
        """Apply a document to the production stage at the first daemon."""
        path = f"/operators/v1/environments/{ENVIRONMENT}/production"
        async with httpx.AsyncClient(trust_env=False) as operator:
            response = await operator.put(
                f"http://{self.daemons[0].address}{path}",
                content=text,
                headers={"authorization": f"Bearer {_OPERATOR_TOKEN}"},
            )
            response.raise_for_status()

    async def kill_daemon(self, index: int) -> None:
        """Stop a daemon abruptly, without a graceful shutdown."""
        await self.daemons[index].kill()

    async def replace_daemon(self, index: int) -> None:
        """Start a daemon at a new address in place of a killed one."""
        self.daemons[index] = await self._start_daemon(f"daemon-{index}-replaced", index)
        self.base_urls[index] = self._base_url(index)

    def cut_off(self, index: int) -> None:
        """Partition an availability zone from the platform and the other zones."""
        zone = f"{_REGIONS[index]}-a"
        for other in (PLATFORM, *(f"{region}-a" for region in _REGIONS)):
            if other != zone:
                self.network.cut(zone, other)

    async def stop(self) -> None:
        """Shut the daemons down gracefully, then stop the stand-ins."""
        for daemon in self.daemons:
            await daemon.stop()
        for engine in self.engines:
            await engine.stop()
        for server in self._servers:
            await server.kill()

    async def _start_daemon(self, daemon_id: str, index: int) -> Daemon:
        region = _REGIONS[index]
        location = Location(zone=f"{region}-a", region=region)
        settings = DaemonSettings(
            daemon_id=daemon_id,
            zone=location.zone,
            region=location.region,
            listen="127.0.0.1:0",
            peer_listen="127.0.0.1:0",
            peer_key=_PEER_KEY,
            platform_url=f"http://{self._platform_address}",
            operator_token_sha256=digest_hex(_OPERATOR_TOKEN.encode()),
            peer_seeds=tuple(daemon.core.peers.address for daemon in self.daemons),
            unready_grace_s=0.1,
        )
        process = IsolatedProcess(self.network, location.zone)
        dependencies = isolate(connect_dependencies(settings), process, location, self.meter)
        daemon = Daemon(settings, dependencies)
        await daemon.start()
        return daemon

    def _base_url(self, index: int) -> str:
        return f"http://{self.daemons[index].address}/environments/{ENVIRONMENT}/production/v1"

    async def _serve(self, app: Litestar) -> str:
        server = HttpServer(app, "127.0.0.1", 0)
        await server.start()
        self._servers.append(server)
        return server.address

    def _add_to_host_list(
        self, host_id: str, role: HostRole, group: str, address: str, index: int
    ) -> None:
        region = _REGIONS[index % len(_REGIONS)]
        entry = HostEntry(
            host_id=host_id,
            role=role,
            group=group,
            address=address,
            location=Location(zone=f"{region}-a", region=region),
        )
        self.hosts.add(entry, at_once=True)
