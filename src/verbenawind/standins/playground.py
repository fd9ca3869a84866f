"""Serves stand-ins on loopback for trying a daemon without a real platform.

``python -m verbenawind.standins.playground`` serves a platform at 127.0.0.1:9000 and the engines
and services of each example document until it is interrupted.
"""

import asyncio
import contextlib
from collections.abc import Sequence
from pathlib import Path
from random import Random

from absl import app as absl_app
from absl import flags
from litestar import Litestar

from verbenawind.clock import SystemClock
from verbenawind.document import EnvironmentDocument, parse_document
from verbenawind.http_server import HttpServer
from verbenawind.kernel.messages import HostEntry, HostRole, Location
from verbenawind.standins.engine import StandinEngine
from verbenawind.standins.http import engine_app, platform_app, scoring_app, service_app
from verbenawind.standins.platform import (
    StandinHostList,
    StandinObjects,
    StandinTable,
    StandinWeights,
)
from verbenawind.standins.services import StandinScoring, StandinService

__all__ = ["Playground"]

_PORT = flags.DEFINE_integer("platform_port", 9000, "Port of the platform; 0 selects a free port.")
_DOCUMENTS = flags.DEFINE_multi_string(
    "document",
    ["examples/siam-fold-and-seal.jsonc", "examples/kallioniemi.jsonc"],
    "Environment document whose backend servers are started; may be repeated.",
)
_LOCATION = Location(zone="bangkok-a", region="bangkok")
_ENGINES_PER_POOL = 4
_HOSTS_PER_SERVICE = 3


class Playground:
    """Serves a platform and the backend servers of environment documents.

    Args:
        documents: Environment documents.
        port: Port of the platform; 0 selects a free port.
    """

    def __init__(self, documents: Sequence[EnvironmentDocument], port: int) -> None:
        self._documents = documents
        self._port = port
        self._clock = SystemClock()
        self._rng = Random(1)
        self._hosts = StandinHostList(self._clock, lag_s=0.5)
        self._servers: list[HttpServer] = []

    async def start(self) -> str:
        """Start all servers and return the platform's address."""
        table = StandinTable(self._clock, self._rng)
        objects = StandinObjects(self._clock, self._rng)
        platform = platform_app(table, objects, self._hosts, StandinWeights())
        address = await self._serve(platform, self._port)
        for document in self._documents:
            await self._serve_backends(document)
        return address

    async def stop(self) -> None:
        """Stop all servers."""
        for server in self._servers:
            await server.kill()

    async def _serve_backends(self, document: EnvironmentDocument) -> None:
        for pool in document.pools:
            versions = {
                model.name: model.initial_version
                for model in document.models
                if model.pool == pool.name
            }
            for number in range(_ENGINES_PER_POOL):
                name = f"{pool.name}-{number}"
                engine = StandinEngine(name, versions, self._clock, self._rng)
                await self._add(name, HostRole.ENGINE, pool.name, engine_app(engine))
        for service in document.services:
            for number in range(_HOSTS_PER_SERVICE):
                name = f"{service.name}-{number}"
                host = StandinService(name, self._clock)
                await self._add(name, HostRole.SERVICE, service.name, service_app(host))
        for scoring in document.scoring_services:
            name = f"{scoring.name}-0"
            scoring_host = StandinScoring(name, self._clock)
            await self._add(name, HostRole.SCORING, scoring.name, scoring_app(scoring_host))

    async def _add(self, name: str, role: HostRole, group: str, app: Litestar) -> None:
        address = await self._serve(app, 0)
        entry = HostEntry(host_id=name, role=role, group=group, address=address, location=_LOCATION)
        self._hosts.add(entry, at_once=True)

    async def _serve(self, app: Litestar, port: int) -> str:
        server = HttpServer(app, "127.0.0.1", port)
        await server.start()
        self._servers.append(server)
        return server.address


async def _run(documents: Sequence[EnvironmentDocument]) -> None:
    playground = Playground(documents, _PORT.value)
    print(f"platform at http://{await playground.start()}; press Ctrl+C to stop", flush=True)
    await asyncio.Event().wait()


def _main(_: list[str]) -> None:
    documents = [parse_document(Path(path).read_text()) for path in _DOCUMENTS.value]
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_run(documents))


if __name__ == "__main__":
    absl_app.run(_main)
