"""Creates and caches the clients of backend servers."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from verbenawind.document import EnvironmentRevision
from verbenawind.kernel import Registry
from verbenawind.kernel.messages import BackendServer
from verbenawind.kernel.ports import EngineClient, ScoringClient, ServiceClient
from verbenawind.plugins.registries import ENGINE_ADAPTERS, SCORING_ADAPTERS, SERVICE_ADAPTERS

__all__ = ["PluginBackendClients"]

_DEFAULT_ENGINE_ADAPTER = "openai-http"
_DEFAULT_SERVICE_ADAPTER = "service-http"
_DEFAULT_SCORING_ADAPTER = "scoring-http"
# A replaced client is closed after this delay, so that its open streams can end first.
_CLOSE_DELAY_S = 60.0

C = TypeVar("C", EngineClient, ServiceClient, ScoringClient)


class _CachedClient:
    """A client with the adapter and address that it was created for."""

    __slots__ = ("adapter", "address", "client")

    def __init__(
        self, adapter: str, address: str, client: EngineClient | ServiceClient | ScoringClient
    ) -> None:
        self.adapter = adapter
        self.address = address
        self.client = client


class PluginBackendClients:
    """Creates clients with the adapters named in documents; implements the BackendClients port."""

    __slots__ = (
        "_clients",
        "_close_tasks",
        "_engine_adapters",
        "_scoring_adapters",
        "_service_adapters",
    )

    def __init__(self) -> None:
        self._engine_adapters: dict[str, str] = {}
        self._service_adapters: dict[str, str] = {}
        self._scoring_adapters: dict[str, str] = {}
        self._clients: dict[tuple[str, str], _CachedClient] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()

    def apply(self, revision: EnvironmentRevision) -> None:
        """Use the adapters that a revision names."""
        document = revision.document
        self._engine_adapters.update({pool.name: pool.engine for pool in document.pools})
        self._service_adapters.update({spec.name: spec.plugin for spec in document.services})
        self._scoring_adapters.update(
            {spec.name: spec.plugin for spec in document.scoring_services}
        )

    def engine(self, server: BackendServer) -> EngineClient:
        """Return the client of an engine."""
        name = self._engine_adapters.get(server.group, _DEFAULT_ENGINE_ADAPTER)
        return self._client("engine", server, name, ENGINE_ADAPTERS)

    def service(self, server: BackendServer) -> ServiceClient:
        """Return the client of a plain service host."""
        name = self._service_adapters.get(server.group, _DEFAULT_SERVICE_ADAPTER)
        return self._client("service", server, name, SERVICE_ADAPTERS)

    def scoring(self, server: BackendServer) -> ScoringClient:
        """Return the client of a scoring service host."""
        name = self._scoring_adapters.get(server.group, _DEFAULT_SCORING_ADAPTER)
        return self._client("scoring", server, name, SCORING_ADAPTERS)

    async def aclose(self) -> None:
        """Close all current clients."""
        for cached in self._clients.values():
            await cached.client.aclose()
        self._clients.clear()

    def _client(
        self,
        kind: str,
        server: BackendServer,
        adapter: str,
        adapters: Registry[Callable[[BackendServer], C]],
    ) -> C:
        key = (kind, server.server_id)
        cached = self._clients.get(key)
        if cached is not None:
            if cached.address == server.address and cached.adapter == adapter:
                return cached.client  # type: ignore[return-value]
            self._close_later(cached)
        client = adapters.get(adapter)(server)
        self._clients[key] = _CachedClient(adapter, server.address, client)
        return client

    def _close_later(self, cached: _CachedClient) -> None:
        """Close a replaced client after a delay that lets its open streams end."""

        async def close() -> None:
            await asyncio.sleep(_CLOSE_DELAY_S)
            await cached.client.aclose()

        task = asyncio.get_running_loop().create_task(close())
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)
