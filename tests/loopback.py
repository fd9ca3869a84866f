"""Runs a daemon with its real HTTP interface on loopback, with stand-ins for the rest."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import httpx

from verbenawind.daemon import Daemon
from verbenawind.document import EnvironmentDocument, Stage, parse_document
from verbenawind.ids import digest_hex
from verbenawind.settings import LimitSettings
from verbenawind.standins.deployment import Deployment
from verbenawind.standins.engine import EngineProfile, StandinEngine
from verbenawind.standins.network import Process
from verbenawind.standins.services import StandinService

OPERATOR_TOKEN = "operator-token"
APPLICATION_TOKEN = "application-token"
TRAINER_TOKEN = "trainer-token"
TEST_TIMEOUT_S = 20.0
DOCUMENT_TEXT = """
{
  "environment": "siam-fold",  // environment of the loopback tests
  "pools": [{"name": "tuning", "checks_fencing": true}],
  "models": [{"name": "tuner", "pool": "tuning", "staleness": {"max_versions": 1}}],
  "callers": [
    {"name": "plant", "kind": "trainer", "models": ["tuner"], "token_sha256": "TRAINER"},
    {"name": "line", "kind": "application", "models": ["tuner"], "services": ["job-cards"],
     "token_sha256": "APPLICATION"}
  ],
  "trainers": [{"name": "folders", "caller": "plant", "model": "tuner"}],
  "services": [
    {"name": "job-cards", "routes": [{"path_prefix": "/bookings", "idempotent": false}]}
  ]
}
""".replace("TRAINER", digest_hex(TRAINER_TOKEN.encode())).replace(
    "APPLICATION", digest_hex(APPLICATION_TOKEN.encode())
)
DOCUMENT = parse_document(DOCUMENT_TEXT)

T = TypeVar("T")


class Loopback:
    """One daemon on loopback with two engines and one service host."""

    def __init__(self, limits: LimitSettings, profile: EngineProfile | None) -> None:
        self.deployment = Deployment()
        self.engines: list[StandinEngine] = [
            self.deployment.add_engine(f"engine-{index}", "tuning", {"tuner": 0}, profile=profile)
            for index in range(2)
        ]
        self.service: StandinService = self.deployment.add_service("cards-0", "job-cards")
        core = self.deployment.add_daemon("daemon-0")
        process = Process(self.deployment.network, core.settings.zone)
        settings = type(core.settings)(
            **{name: getattr(core.settings, name) for name in core.settings.__struct_fields__}
            | {"limits": limits}
        )
        self.daemon = Daemon(settings, self.deployment.dependencies(process))

    @property
    def url(self) -> str:
        """The daemon's base URL."""
        return f"http://{self.daemon.address}"

    @property
    def v1(self) -> str:
        """The base URL of the caller API."""
        return f"{self.url}/environments/siam-fold/production/v1"

    @property
    def operators(self) -> str:
        """The base URL of the operator API."""
        return f"{self.url}/operators/v1"

    async def accept(self, document: EnvironmentDocument = DOCUMENT) -> None:
        """Accept a document as the next production revision."""
        await self.daemon.core.configuration.accept(document, Stage.PRODUCTION)

    def client(self, token: str = APPLICATION_TOKEN) -> httpx.AsyncClient:
        """Return an HTTP client that sends a bearer token."""
        headers = {"authorization": f"Bearer {token}"}
        return httpx.AsyncClient(headers=headers, timeout=10.0, trust_env=False)


def run_loopback(
    scenario: Callable[[Loopback], Awaitable[T]],
    *,
    limits: LimitSettings | None = None,
    profile: EngineProfile | None = None,
) -> T:
    """Run *scenario* against a running daemon, with a timeout."""

    async def run_and_stop() -> T:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            loopback = Loopback(limits or LimitSettings(), profile)
            await loopback.daemon.start()
            try:
                return await scenario(loopback)
            finally:
                await loopback.daemon.kill()
                for engine in loopback.engines:
                    await engine.stop()

    return asyncio.run(run_and_stop())
