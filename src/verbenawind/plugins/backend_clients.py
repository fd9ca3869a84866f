"""Keeps one client for each incarnation of each backend server."""

from collections.abc import Callable
from typing import TypeVar

from verbenawind.kernel import Registry
from verbenawind.kernel.messages import BackendServer
from verbenawind.kernel.ports import EngineClient, ScoringClient, ServiceClient
from verbenawind.plugins.registries import ENGINE_ADAPTERS, SCORING_ADAPTERS, SERVICE_ADAPTERS

__all__ = ["PluginBackendClients"]

C = TypeVar("C", EngineClient, ServiceClient, ScoringClient)


class PluginBackendClients:
    """Connects backend servers with the adapters that documents name; a BackendClients port.

    Args:
        engine_adapter: Gives the adapter name of an engine pool.
        service_adapter: Gives the adapter name of a plain service.
        scoring_adapter: Gives the adapter name of a scoring service.
    """

    __slots__ = (
        "_engine_adapter",
        "_engines",
        "_scoring",
        "_scoring_adapter",
        "_service_adapter",
        "_services",
    )

    def __init__(
        self,
        *,
        engine_adapter: Callable[[str], str],
        service_adapter: Callable[[str], str],
        scoring_adapter: Callable[[str], str],
    ) -> None:
        self._engine_adapter = engine_adapter
        self._service_adapter = service_adapter
        self._scoring_adapter = scoring_adapter
        self._engines: dict[tuple[str, str], EngineClient] = {}
        self._services: dict[tuple[str, str], ServiceClient] = {}
        self._scoring: dict[tuple[str, str], ScoringClient] = {}

    def engine(self, server: BackendServer) -> EngineClient:
        """Return the client of an engine."""
        return _kept(self._engines, server, ENGINE_ADAPTERS, self._engine_adapter)

    def service(self, server: BackendServer) -> ServiceClient:
        """Return the client of a plain service's host."""
        return _kept(self._services, server, SERVICE_ADAPTERS, self._service_adapter)

    def scoring(self, server: BackendServer) -> ScoringClient:
        """Return the client of a scoring service's host."""
        return _kept(self._scoring, server, SCORING_ADAPTERS, self._scoring_adapter)

    async def aclose(self) -> None:
        """Close every client."""
        kept: list[EngineClient | ServiceClient | ScoringClient] = [
            *self._engines.values(),
            *self._services.values(),
            *self._scoring.values(),
        ]
        for client in kept:
            await client.aclose()


def _kept(
    clients: dict[tuple[str, str], C],
    server: BackendServer,
    adapters: Registry[Callable[[BackendServer], C]],
    adapter_name: Callable[[str], str],
) -> C:
    key = (server.server_id, server.address)
    if key not in clients:
        clients[key] = adapters.get(adapter_name(server.group))(server)
    return clients[key]
