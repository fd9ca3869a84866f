"""Keeps one client for each backend server."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from verbenawind.document import EnvironmentRevision
from verbenawind.kernel import Registry
from verbenawind.kernel.messages import BackendServer
from verbenawind.kernel.ports import EngineClient, ScoringClient, ServiceClient
from verbenawind.plugins.registries import ENGINE_ADAPTERS, SCORING_ADAPTERS, SERVICE_ADAPTERS

__all__ = ["PluginBackendClients"]

_ENGINE_DEFAULT = "openai-http"
_SERVICE_DEFAULT = "service-http"
_SCORING_DEFAULT = "scoring-http"
_CLOSE_AFTER_S = 60.0

C = TypeVar("C", EngineClient, ServiceClient, ScoringClient)


class _Kept:
    __slots__ = ("adapter", "address", "client")

    def __init__(
        self, adapter: str, address: str, client: EngineClient | ServiceClient | ScoringClient
    ) -> None:
        self.adapter = adapter
        self.address = address
        self.client = client


class PluginBackendClients:
    """Connects backend servers with the adapters that documents name; a BackendClients port."""

    __slots__ = ("_closing", "_engine_adapters", "_kept", "_scoring_adapters", "_service_adapters")

    def __init__(self) -> None:
        self._engine_adapters: dict[str, str] = {}
        self._service_adapters: dict[str, str] = {}
        self._scoring_adapters: dict[str, str] = {}
        self._kept: dict[tuple[str, str], _Kept] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def apply(self, revision: EnvironmentRevision) -> None:
        """Take in which adapters a revision names."""
        document = revision.document
        self._engine_adapters.update({pool.name: pool.engine for pool in document.pools})
        self._service_adapters.update({spec.name: spec.plugin for spec in document.services})
        self._scoring_adapters.update(
            {spec.name: spec.plugin for spec in document.scoring_services}
        )

    def engine(self, server: BackendServer) -> EngineClient:
        """Return the client of an engine."""
        name = self._engine_adapters.get(server.group, _ENGINE_DEFAULT)
        return self._client("engine", server, name, ENGINE_ADAPTERS)

    def service(self, server: BackendServer) -> ServiceClient:
        """Return the client of a plain service's host."""
        name = self._service_adapters.get(server.group, _SERVICE_DEFAULT)
        return self._client("service", server, name, SERVICE_ADAPTERS)

    def scoring(self, server: BackendServer) -> ScoringClient:
        """Return the client of a scoring service's host."""
        name = self._scoring_adapters.get(server.group, _SCORING_DEFAULT)
        return self._client("scoring", server, name, SCORING_ADAPTERS)

    async def aclose(self) -> None:
        """Close every client."""
        for kept in self._kept.values():
            await kept.client.aclose()
        self._kept.clear()

    def _client(
        self,
        kind: str,
        server: BackendServer,
        adapter: str,
        adapters: Registry[Callable[[BackendServer], C]],
    ) -> C:
        key = (kind, server.server_id)
        known = self._kept.get(key)
        if known is not None:
            if known.address == server.address and known.adapter == adapter:
                return known.client  # type: ignore[return-value]
            self._close_later(known)
        client = adapters.get(adapter)(server)
        self._kept[key] = _Kept(adapter, server.address, client)
        return client

    def _close_later(self, kept: _Kept) -> None:
        """Close a replaced client once the streams that it may still carry have ended."""

        async def close() -> None:
            await asyncio.sleep(_CLOSE_AFTER_S)
            await kept.client.aclose()

        task = asyncio.get_running_loop().create_task(close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
